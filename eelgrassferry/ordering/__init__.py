"""Which engine holds which models and adapters: decisions and orders of the coordinator."""

from .engine_report import EngineReport
from .fleet_order import FleetOrder, OrderAnswer

__all__ = ["EngineReport", "FleetOrder", "OrderAnswer"]
