"""Decisions on which clients a node turns away when its memory or its connections are used up."""

from .door_budget import DoorBudget
from .door_limits import DoorLimits, split_connections, split_memory
from .free_memory import return_freed_memory
from .holding import Holding, HoldingState

__all__ = [
    "DoorBudget",
    "DoorLimits",
    "Holding",
    "HoldingState",
    "return_freed_memory",
    "split_connections",
    "split_memory",
]
