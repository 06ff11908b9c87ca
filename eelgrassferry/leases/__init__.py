"""Leases with fencing epochs, stored as objects in the platform's object API."""

from .actions import LeaseAction, LeaseTerm, ReadLease, WriteLease
from .keeper import LeaseKeeper
from .machine import LeaseMachine
from .record import LeaseFormatError, LeaseRecord

__all__ = [
    "LeaseAction",
    "LeaseFormatError",
    "LeaseKeeper",
    "LeaseMachine",
    "LeaseRecord",
    "LeaseTerm",
    "ReadLease",
    "WriteLease",
]
