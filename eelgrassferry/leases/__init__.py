"""Leases with fencing epochs, stored as objects in the platform's object API."""

from .keeper import LeaseKeeper
from .machine import LeaseAction, LeaseMachine, LeaseTerm, ReadLease, WriteLease
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
