"""Binary encoding of gossip entries.

Entries make up most of the traffic between nodes. They are packed with ``struct`` into one byte
string, so that the pure-Python msgpack codec processes a single value per delta instead of five
values per entry.
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

# Versions have 32 bits on the wire. Half of the range is reserved, because an incarnation close
# to its end could not be raised any further.
MAX_VERSION = 1 << 31
MAX_VALUE_BYTES = 0xFFFF
MAX_NAME_BYTES = 0xFF

NODE_HEADER = struct.Struct(">IBB")
ENTRY_HEADER = struct.Struct(">BIH")


@dataclass(frozen=True)
class TopicEntry:
    """Encoded value of one topic and its counter."""

    topic: int
    counter: int
    value: bytes


@dataclass(frozen=True)
class NodeDelta:
    """Entries that one node published under one incarnation."""

    node: str
    incarnation: int
    entries: tuple[TopicEntry, ...]


def pack_nodes(nodes: tuple[NodeDelta, ...]) -> bytes:
    """Return the encoding of entries grouped by node."""
    parts = []
    for node_delta in nodes:
        name = node_delta.node.encode()
        parts += (
            NODE_HEADER.pack(node_delta.incarnation, len(name), len(node_delta.entries)),
            name,
        )
        for entry in node_delta.entries:
            parts += (ENTRY_HEADER.pack(entry.topic, entry.counter, len(entry.value)), entry.value)
    return b"".join(parts)


def unpack_nodes(data: bytes) -> Result[tuple[NodeDelta, ...], MalformedMessage]:
    """Decode the output of ``pack_nodes``; return an error for malformed data."""
    nodes = []
    offset = 0
    try:
        while offset < len(data):
            incarnation, name_size, count = NODE_HEADER.unpack_from(data, offset)
            offset += NODE_HEADER.size
            name = data[offset : offset + name_size].decode()
            offset += name_size
            entries = []
            for _ in range(count):
                topic, counter, size = ENTRY_HEADER.unpack_from(data, offset)
                offset += ENTRY_HEADER.size + size
                entries.append(TopicEntry(topic, counter, data[offset - size : offset]))
            nodes.append(NodeDelta(name, incarnation, tuple(entries)))
    except (struct.error, UnicodeDecodeError) as exc:
        return Err(MalformedMessage("decode", "", f"gossip entries: {exc}"))
    if offset != len(data):
        return Err(MalformedMessage("decode", "", "gossip entries are cut off"))
    return Ok(tuple(nodes))
