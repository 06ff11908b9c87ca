"""Packing of gossip entries into one byte string.

Entries are most of what nodes exchange. Packed by ``struct``, a delta costs the pure-Python
msgpack codec one value to handle in place of five for each entry.
"""

import struct
from dataclasses import dataclass

from result import Err, Ok, Result

from .errors import MalformedMessage

__all__ = [
    "MAX_NAME_BYTES",
    "MAX_VALUE_BYTES",
    "MAX_VERSION",
    "NodeDelta",
    "TopicEntry",
    "pack_nodes",
    "unpack_nodes",
]

# Versions are 32 bits on the wire; an incarnation near the end could not be raised above.
MAX_VERSION = 1 << 31
MAX_VALUE_BYTES = 0xFFFF
MAX_NAME_BYTES = 0xFF

NODE = struct.Struct(">IBB")
ENTRY = struct.Struct(">BIH")


@dataclass(frozen=True)
class TopicEntry:
    """One topic's value with its counter."""

    topic: int
    counter: int
    value: bytes


@dataclass(frozen=True)
class NodeDelta:
    """Entries that one node wrote under one incarnation."""

    node: str
    incarnation: int
    entries: tuple[TopicEntry, ...]


def pack_nodes(nodes: tuple[NodeDelta, ...]) -> bytes:
    """Return the bytes of entries grouped by node."""
    parts = []
    for told in nodes:
        name = told.node.encode()
        parts += (NODE.pack(told.incarnation, len(name), len(told.entries)), name)
        for entry in told.entries:
            parts += (ENTRY.pack(entry.topic, entry.counter, len(entry.value)), entry.value)
    return b"".join(parts)


def unpack_nodes(data: bytes) -> Result[tuple[NodeDelta, ...], MalformedMessage]:
    """Return the entries of received bytes."""
    nodes = []
    at = 0
    try:
        while at < len(data):
            incarnation, name_size, count = NODE.unpack_from(data, at)
            at += NODE.size
            name = data[at : at + name_size].decode()
            at += name_size
            entries = []
            for _ in range(count):
                topic, counter, size = ENTRY.unpack_from(data, at)
                at += ENTRY.size + size
                entries.append(TopicEntry(topic, counter, data[at - size : at]))
            nodes.append(NodeDelta(name, incarnation, tuple(entries)))
    except (struct.error, UnicodeDecodeError) as exc:
        return Err(MalformedMessage("decode", "", f"gossip entries: {exc}"))
    if at != len(data):
        return Err(MalformedMessage("decode", "", "gossip entries are cut off"))
    return Ok(tuple(nodes))
