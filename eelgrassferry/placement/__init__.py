"""What is loaded where: demand, plans, memory reservations, load pacing and version changes."""

from .actions import (
    ControlAction,
    ProbeVersion,
    ReadRecord,
    ReadStatus,
    SendOrder,
    WriteRecord,
)
from .area_state import Copy
from .controller import AreaController
from .demand import Demand, DemandEstimator
from .engine import (
    EngineOrder,
    EngineStatus,
    Item,
    ItemKind,
    OrderKind,
    OrderState,
    Resident,
)
from .explain import CopyState, Explanation, Progress
from .ledger import MemoryLedger, NoRoom, NotReady
from .pacer import LoadPacer
from .planner import Planner
from .record import Reservation, UpstreamRecord
from .shell import AreaShell
from .version_change import VersionChange, VersionState
from .view import ItemPlan, Move, MoveKind, PlanView, UpstreamPlan

__all__ = [
    "AreaController",
    "AreaShell",
    "ControlAction",
    "Copy",
    "CopyState",
    "Demand",
    "DemandEstimator",
    "EngineOrder",
    "EngineStatus",
    "Explanation",
    "Item",
    "ItemKind",
    "ItemPlan",
    "LoadPacer",
    "MemoryLedger",
    "Move",
    "MoveKind",
    "NoRoom",
    "NotReady",
    "OrderKind",
    "OrderState",
    "PlanView",
    "Planner",
    "ProbeVersion",
    "Progress",
    "ReadRecord",
    "ReadStatus",
    "Reservation",
    "Resident",
    "SendOrder",
    "UpstreamPlan",
    "UpstreamRecord",
    "VersionChange",
    "VersionState",
    "WriteRecord",
]
