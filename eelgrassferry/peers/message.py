"""The registry of message classes that peers exchange.

A package registers its own classes with the ``message`` decorator:

>>> @message("example.ping")
... @dataclass(frozen=True)
... class Ping:
...     number: int
>>> encode_message(Ping(3))
('example.ping', [3])
"""

from collections.abc import Callable
from dataclasses import dataclass, is_dataclass
from typing import Any, TypeVar

from result import Err, Ok, Result

from .errors import MalformedMessage, UnknownKind
from .field_codec import FieldCodec, codec_for

__all__ = ["Message", "decode_message", "encode_message", "kind_of", "message"]

Message = Any
"""An instance of a registered frozen data class."""

M = TypeVar("M")


@dataclass(frozen=True)
class _Entry:
    kind: str
    cls: type


_by_kind: dict[str, _Entry] = {}
_by_class: dict[type, _Entry] = {}


def message(kind: str) -> Callable[[type[M]], type[M]]:
    """Register a frozen data class under ``kind``, which is unique in the process.

    Kinds are ``<package>.<name>``. The codec is derived from the field types on first use, so
    that a class may refer to classes defined after it.
    """

    def register(cls: type[M]) -> type[M]:
        if not is_dataclass(cls):
            raise TypeError(f"message class {cls.__name__} is not a data class")
        if kind in _by_kind:
            raise ValueError(f"message kind {kind!r} is already registered")
        _by_kind[kind] = _by_class[cls] = _Entry(kind, cls)
        return cls

    return register


def kind_of(kind: str | type) -> str:
    """Return the kind of a message class, or the kind itself where a string is given."""
    return kind if isinstance(kind, str) else _by_class[kind].kind


def encode_message(msg: Message) -> tuple[str, Any]:
    """Return the kind and the plain body of a message; ``KeyError`` for an unregistered class."""
    entry = _by_class[type(msg)]
    return entry.kind, _codec(entry.cls).encode(msg)


def decode_message(kind: str, body: Any) -> Result[Message, MalformedMessage | UnknownKind]:
    """Return the typed message of a received body."""
    entry = _by_kind.get(kind)
    if entry is None:
        return Err(UnknownKind("decode", "", kind))
    try:
        return Ok(_codec(entry.cls).decode(body))
    except (ValueError, TypeError) as exc:
        return Err(MalformedMessage("decode", "", f"{kind}: {exc}"))


def _codec(cls: type) -> FieldCodec:
    return codec_for(cls)
