"""Randomized soak test: node processes under faults that are injected from outside them."""

from .fault_plan import (
    EXTRA_FAULTS,
    Fault,
    FaultKind,
    draw_extra_faults,
    draw_notices,
    draw_plan,
)
from .fault_proxy import FaultProxy
from .invariants import Violation, find_violations
from .records import (
    ArrivalRecord,
    CallRecord,
    Disturbance,
    KeyRecord,
    LimitRecord,
    NoticeRecord,
    OrderRecord,
    RunRecord,
    SoakRecord,
)
from .run_soak import SoakReport, run_soak

__all__ = [
    "EXTRA_FAULTS",
    "ArrivalRecord",
    "CallRecord",
    "Disturbance",
    "Fault",
    "FaultKind",
    "FaultProxy",
    "KeyRecord",
    "LimitRecord",
    "NoticeRecord",
    "OrderRecord",
    "RunRecord",
    "SoakRecord",
    "SoakReport",
    "Violation",
    "draw_extra_faults",
    "draw_notices",
    "draw_plan",
    "find_violations",
    "run_soak",
]
