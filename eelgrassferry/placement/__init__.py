"""Placement of models and adapters on upstreams.

The package estimates demand, plans loads and unloads, reserves memory, limits the load rate and
carries out version changes.
"""

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
from .driver import AreaDriver
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
from .ledger import InsufficientMemory, MemoryLedger, NotReady
from .pacer import LoadPacer
from .plan_view import ItemView, Move, MoveKind, PlanView, UpstreamView
from .planner import Planner
from .record import Reservation, UpstreamRecord
from .version_change import VersionChange, VersionState

__all__ = [
    "AreaController",
    "AreaDriver",
    "ControlAction",
    "Copy",
    "CopyState",
    "Demand",
    "DemandEstimator",
    "EngineOrder",
    "EngineStatus",
    "Explanation",
    "InsufficientMemory",
    "Item",
    "ItemKind",
    "ItemView",
    "LoadPacer",
    "MemoryLedger",
    "Move",
    "MoveKind",
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
    "UpstreamRecord",
    "UpstreamView",
    "VersionChange",
    "VersionState",
    "WriteRecord",
]
