"""Engine orders and engine status, as specified in section 7 of the design page."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from result import Err, Ok, Result

from ..documents import MALFORMED

__all__ = [
    "EngineOrder",
    "EngineStatus",
    "Item",
    "ItemKind",
    "OrderKind",
    "OrderState",
    "Resident",
    "StatusFormatError",
]


class ItemKind(Enum):
    """Kind of an item in an engine's memory."""

    MODEL = "model"
    ADAPTER = "adapter"


class OrderKind(Enum):
    """Kind of an engine order."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    FENCE = "fence"

    @property
    def is_load(self) -> bool:
        """Whether the order loads an item and therefore needs memory."""
        return self in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)

    @property
    def item_kind(self) -> ItemKind:
        """Kind of the item that the order loads or unloads; ``MODEL`` for a fence."""
        adapter = self in (OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER)
        return ItemKind.ADAPTER if adapter else ItemKind.MODEL

    @classmethod
    def load(cls, kind: ItemKind) -> "OrderKind":
        """Return the kind of order that loads an item of this kind."""
        return cls.LOAD_ADAPTER if kind is ItemKind.ADAPTER else cls.LOAD_MODEL

    @classmethod
    def unload(cls, kind: ItemKind) -> "OrderKind":
        """Return the kind of order that unloads an item of this kind."""
        return cls.UNLOAD_ADAPTER if kind is ItemKind.ADAPTER else cls.UNLOAD_MODEL


class OrderState(Enum):
    """State of an order in the engine; ``UNKNOWN`` if the engine does not list its id."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True)
class Item:
    """Version of a model or adapter."""

    kind: ItemKind
    name: str
    version: str

    def __hash__(self) -> int:
        # The kind is left out: the hash of an enum member is computed in Python and took a quarter
        # of the time of a plan.
        return hash((self.name, self.version))

    def sort_key(self) -> tuple[str, str, str]:
        """Return a key that sorts items in a fixed order."""
        return (self.kind.value, self.name, self.version)


@dataclass(frozen=True)
class Resident:
    """Item in an engine's memory.

    ``running`` is the number of its running requests, or None if the engine does not report it.
    ``leaving`` is True if the engine is unloading the item and accepts no new requests for it.
    """

    item: Item
    memory_mib: int
    running: int | None = None
    leaving: bool = False


@dataclass(frozen=True)
class EngineOrder:
    """Body of ``POST /admin/orders``. ``base`` is the base model of an adapter."""

    order_id: str
    kind: OrderKind
    name: str
    version: str
    memory_mib: int
    fence: int
    base: str = ""

    def to_json(self) -> dict[str, Any]:
        """Return the order as a JSON object of the engine's API."""
        return {
            "order_id": self.order_id,
            "kind": self.kind.value,
            "name": self.name,
            "version": self.version,
            "memory_mib": self.memory_mib,
            "base": self.base,
            "fence": self.fence,
        }


@dataclass(frozen=True)
class StatusFormatError:
    """Error for an engine status that cannot be decoded."""

    step: str
    peer: str
    detail: str


# Order states by their name in the engine's JSON.
STATES = {
    "done": OrderState.DONE,
    "loaded": OrderState.DONE,
    "unloaded": OrderState.DONE,
    "failed": OrderState.FAILED,
    "refused": OrderState.FAILED,
}


@dataclass(frozen=True)
class EngineStatus:
    """Status of an engine as returned by ``GET /admin/status``.

    >>> EngineStatus.parse({"memory_mib": 10, "residents": []}, "u1").unwrap().memory_mib
    10
    """

    memory_mib: int
    used_mib: int = 0
    fence: int = 0
    residents: tuple[Resident, ...] = ()
    loading: tuple[Resident, ...] = ()
    orders: Mapping[str, OrderState] = field(default_factory=dict)
    running: int = 0
    queued: int = 0
    leaving: bool = False

    @classmethod
    def parse(cls, body: Any, peer: str) -> Result["EngineStatus", StatusFormatError]:
        """Decode the engine's JSON. Order states with unlisted names count as running."""
        try:
            orders = body.get("orders", {})
            return Ok(
                cls(
                    memory_mib=int(body["memory_mib"]),
                    used_mib=int(body.get("used_mib", 0)),
                    fence=int(body.get("fence", 0)),
                    residents=tuple(parse_resident(r) for r in body.get("residents", ())),
                    loading=tuple(parse_resident(r) for r in body.get("loading", ())),
                    orders={str(k): STATES.get(v, OrderState.RUNNING) for k, v in orders.items()},
                    running=int(body.get("running", 0)),
                    queued=int(body.get("queued", 0)),
                    leaving=body.get("state") == "leaving",
                )
            )
        except MALFORMED as exc:
            return Err(StatusFormatError("parse_status", peer, repr(exc)))

    def state_of(self, order_id: str) -> OrderState:
        """Return the state of an order."""
        return self.orders.get(order_id, OrderState.UNKNOWN)


def parse_resident(entry: Any) -> Resident:
    """Decode one entry of ``residents`` or ``loading``."""
    kind = ItemKind.ADAPTER if "adapter" in str(entry.get("kind", "model")) else ItemKind.MODEL
    running = entry.get("running")
    return Resident(
        Item(kind, str(entry["name"]), str(entry["version"])),
        int(entry.get("memory_mib", 0)),
        None if running is None else int(running),
        leaving=entry.get("state") == "unloading",
    )
