"""Decisions on the tenants of requests, without I/O."""

from .fair_shares import FairShares, WaitingRequest
from .key_check import Identified, KeyDecision, UnknownKey, Unsure, check_key

__all__ = [
    "FairShares",
    "Identified",
    "KeyDecision",
    "UnknownKey",
    "Unsure",
    "WaitingRequest",
    "check_key",
]
