"""Decisions on the tenants of requests, without I/O."""

from .key_check import Identified, KeyDecision, UnknownKey, Unsure, check_key

__all__ = ["Identified", "KeyDecision", "UnknownKey", "Unsure", "check_key"]
