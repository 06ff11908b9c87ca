"""Conversion between frozen data classes and the plain values that msgpack can encode.

A codec is derived from a type hint. A data class is encoded as a list of its fields in order, an
enumeration member as its value, an optional value as itself or nil, and a union of data classes
as a pair of the member's position in the union and its value. Decoding checks every type and
raises ``ValueError`` on a mismatch, which ``decode_message`` converts to a ``MalformedMessage``.
"""

import types
from collections.abc import Callable
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from functools import cache
from typing import Any, Union, get_args, get_origin, get_type_hints

__all__ = ["FieldCodec", "codec_for"]


@dataclass(frozen=True)
class FieldCodec:
    """Encoder and decoder of one type."""

    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


@cache
def codec_for(hint: Any) -> FieldCodec:
    """Return the codec of a type hint.

    Raises ``TypeError`` for an unsupported type hint.

    >>> codec_for(tuple[int, ...]).decode([1, 2])
    (1, 2)
    """
    origin = get_origin(hint)
    if hint in (str, bytes, bool, int, float):
        return _scalar(hint)
    if origin is tuple:
        return _tuple(get_args(hint))
    if origin is dict:
        return _dict(*get_args(hint))
    if origin in (Union, types.UnionType):
        return _union(get_args(hint))
    if isinstance(hint, type) and issubclass(hint, Enum):
        return FieldCodec(lambda value: value.value, hint)
    if is_dataclass(hint):
        return _data_class(hint)
    raise TypeError(f"type {hint!r} has no codec")


def _scalar(kind: type) -> FieldCodec:
    def decode(value: Any) -> Any:
        if type(value) is kind:
            return value
        if kind is float and type(value) is int:
            return float(value)
        raise ValueError(f"expected {kind.__name__}, got {type(value).__name__}")

    return FieldCodec(lambda value: value, decode)


def _expect_list(value: Any, length: int | None) -> list[Any]:
    if not isinstance(value, list) or (length is not None and len(value) != length):
        raise ValueError(f"expected a list of {length if length is not None else 'any'} items")
    return value


def _tuple(args: tuple[Any, ...]) -> FieldCodec:
    if len(args) == 2 and args[1] is Ellipsis:
        item = codec_for(args[0])
        return FieldCodec(
            lambda value: [item.encode(each) for each in value],
            lambda value: tuple([item.decode(each) for each in _expect_list(value, None)]),
        )
    items = tuple(codec_for(arg) for arg in args)
    return FieldCodec(
        lambda value: [c.encode(v) for c, v in zip(items, value, strict=True)],
        lambda value: tuple(
            c.decode(v) for c, v in zip(items, _expect_list(value, len(items)), strict=True)
        ),
    )


def _dict(key_hint: Any, value_hint: Any) -> FieldCodec:
    keys, values = codec_for(key_hint), codec_for(value_hint)

    def decode(value: Any) -> dict[Any, Any]:
        if not isinstance(value, dict):
            raise ValueError("expected a map")
        return {keys.decode(k): values.decode(v) for k, v in value.items()}

    return FieldCodec(lambda d: {keys.encode(k): values.encode(v) for k, v in d.items()}, decode)


def _union(args: tuple[Any, ...]) -> FieldCodec:
    members = tuple(arg for arg in args if arg is not type(None))
    optional = len(members) < len(args)
    if len(members) == 1:
        only = codec_for(members[0])
        return FieldCodec(
            lambda value: None if value is None else only.encode(value),
            lambda value: None if value is None else only.decode(value),
        )
    codecs = tuple(codec_for(member) for member in members)
    positions = {member: position for position, member in enumerate(members)}

    def encode(value: Any) -> Any:
        if value is None and optional:
            return None
        position = positions[type(value)]
        return [position, codecs[position].encode(value)]

    def decode(value: Any) -> Any:
        if value is None and optional:
            return None
        position, inner = _expect_list(value, 2)
        if type(position) is not int or not 0 <= position < len(codecs):
            raise ValueError("unknown member of a union")
        return codecs[position].decode(inner)

    return FieldCodec(encode, decode)


def _data_class(kind: Any) -> FieldCodec:
    hints = get_type_hints(kind)
    names = tuple(field.name for field in fields(kind))
    codecs = [codec_for(hints[name]) for name in names]
    encoders = tuple(zip(names, (codec.encode for codec in codecs), strict=True))
    decoders = tuple(codec.decode for codec in codecs)
    size = len(decoders)

    def decode(value: Any) -> Any:
        items = _expect_list(value, size)
        return kind(*[decode(item) for decode, item in zip(decoders, items, strict=True)])

    return FieldCodec(
        lambda value: [encode(getattr(value, name)) for name, encode in encoders], decode
    )
