"""Checks of a fleet configuration before it is put in force."""

from .check import check_fleet
from .difference import FleetDifference, diff_fleets
from .finding import Entry, EntryKind, Finding, Severity

__all__ = [
    "Entry",
    "EntryKind",
    "Finding",
    "FleetDifference",
    "Severity",
    "check_fleet",
    "diff_fleets",
]
