"""Registry of the message classes that peers exchange.

Classes are registered with the ``message`` decorator:

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
class _Registration:
    kind: str
    cls: type


_by_kind: dict[str, _Registration] = {}
_by_class: dict[type, _Registration] = {}


def message(kind: str) -> Callable[[type[M]], type[M]]:
    """Return a decorator that registers a frozen data class under ``kind``.

    Kinds have the form ``<package>.<name>`` and are unique in the process; the decorator raises
    ``ValueError`` for a duplicate and ``TypeError`` for a class that is not a data class. The codec
    is derived from the field types on first use, so a class may refer to classes defined later.
    """

    def register(cls: type[M]) -> type[M]:
        if not is_dataclass(cls):
            raise TypeError(f"message class {cls.__name__} is not a data class")
        if kind in _by_kind:
            raise ValueError(f"message kind {kind!r} is already registered")
        _by_kind[kind] = _by_class[cls] = _Registration(kind, cls)
        return cls

    return register


def kind_of(kind: str | type) -> str:
    """Return the kind of a message class; a string is returned unchanged."""
    return kind if isinstance(kind, str) else _by_class[kind].kind


def encode_message(msg: Message) -> tuple[str, Any]:
    """Return the kind and the plain body of a message.

    Raises ``KeyError`` if the class of the message is not registered.
    """
    entry = _by_class[type(msg)]
    return entry.kind, _codec(entry.cls).encode(msg)


def decode_message(kind: str, body: Any) -> Result[Message, MalformedMessage | UnknownKind]:
    """Return the message with the given kind and plain body."""
    entry = _by_kind.get(kind)
    if entry is None:
        return Err(UnknownKind("decode", "", kind))
    try:
        return Ok(_codec(entry.cls).decode(body))
    except (ValueError, TypeError) as exc:
        return Err(MalformedMessage("decode", "", f"{kind}: {exc}"))


def _codec(cls: type) -> FieldCodec:
    return codec_for(cls)
