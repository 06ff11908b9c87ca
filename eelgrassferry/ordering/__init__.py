"""Placement of models and adapters on engines: the coordinator's plans and orders."""

from .coordinator import Coordinator, ReadReport, SendOrder
from .engine_report import EngineReport
from .fleet_order import FleetOrder, OrderAnswer
from .node_status import NodeStatus, PendingDemand
from .order_history import OrderHistory
from .order_update import OrderUpdate
from .takeover import Takeover

__all__ = [
    "Coordinator",
    "EngineReport",
    "FleetOrder",
    "NodeStatus",
    "OrderAnswer",
    "OrderHistory",
    "OrderUpdate",
    "PendingDemand",
    "ReadReport",
    "SendOrder",
    "Takeover",
]
