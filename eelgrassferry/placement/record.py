"""Stored record ``upstreams/<id>`` of an engine's residents and outstanding reservations."""

import json
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..documents import MALFORMED
from .engine import Item, ItemKind, OrderKind, Resident

__all__ = ["RecordFormatError", "Reservation", "UpstreamRecord", "record_key"]


def record_key(upstream: str) -> str:
    """Return the object key of an upstream's record."""
    return f"upstreams/{upstream}"


@dataclass(frozen=True)
class RecordFormatError:
    """Error for an upstream record that cannot be decoded."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True)
class Reservation:
    """Reservation for an engine order that may have been sent.

    ``writer`` is the instance that made it. An unload reserves no memory.
    """

    writer: str
    order_id: str
    kind: OrderKind
    name: str
    version: str
    memory_mib: int

    @property
    def item(self) -> Item:
        """Item that the order loads or unloads."""
        return Item(self.kind.item_kind, self.name, self.version)


@dataclass(frozen=True)
class UpstreamRecord:
    """Record of one upstream.

    ``write_id`` identifies the write that stored this value. ``rejected`` lists the versions whose
    probe failed on this upstream, so that a successor does not load them again.

    >>> UpstreamRecord.decode(UpstreamRecord(epoch=3).encode()).unwrap().epoch
    3
    """

    epoch: int = 0
    write_id: str = ""
    residents: tuple[Resident, ...] = ()
    reservations: tuple[Reservation, ...] = ()
    rejected: tuple[Item, ...] = ()

    def encode(self) -> bytes:
        """Return the record as JSON."""
        document = {
            "epoch": self.epoch,
            "write_id": self.write_id,
            "residents": [[*encode_item(r.item), r.memory_mib] for r in self.residents],
            "reservations": [
                [r.writer, r.order_id, r.kind.value, r.name, r.version, r.memory_mib]
                for r in self.reservations
            ],
            "rejected": [encode_item(item) for item in self.rejected],
        }
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Result["UpstreamRecord", RecordFormatError]:
        """Decode the value of a stored object."""
        try:
            document = json.loads(value)
            return Ok(
                cls(
                    epoch=int(document["epoch"]),
                    write_id=str(document["write_id"]),
                    residents=tuple(
                        Resident(decode_item(fields[:3]), int(fields[3]))
                        for fields in document["residents"]
                    ),
                    reservations=tuple(
                        Reservation(writer, order_id, OrderKind(kind), name, version, int(memory))
                        for writer, order_id, kind, name, version, memory in document[
                            "reservations"
                        ]
                    ),
                    rejected=tuple(decode_item(fields) for fields in document["rejected"]),
                )
            )
        except MALFORMED as exc:
            return Err(RecordFormatError("decode_record", "", repr(exc)))


def encode_item(item: Item) -> list[str]:
    """Return an item as a JSON list."""
    return [item.kind.value, item.name, item.version]


def decode_item(fields: list[Any]) -> Item:
    """Decode an item from a JSON list."""
    kind, name, version = fields
    return Item(ItemKind(kind), str(name), str(version))
