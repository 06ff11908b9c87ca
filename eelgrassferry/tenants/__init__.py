"""Decisions on the tenants of requests and on their quotas, without I/O."""

from .fair_shares import FairShares, WaitingRequest
from .key_check import Identified, KeyDecision, UnknownKey, Unsure, check_key
from .quota_admission import Admission, Admitted, Deferred, OverQuota
from .quota_book import QuotaBook
from .quota_gate import QuotaGate
from .quota_limit import QuotaLimit
from .quota_messages import QuotaAsk, QuotaGrant, QuotaReply, QuotaReport

__all__ = [
    "Admission",
    "Admitted",
    "Deferred",
    "FairShares",
    "Identified",
    "KeyDecision",
    "OverQuota",
    "QuotaAsk",
    "QuotaBook",
    "QuotaGate",
    "QuotaGrant",
    "QuotaLimit",
    "QuotaReply",
    "QuotaReport",
    "UnknownKey",
    "Unsure",
    "WaitingRequest",
    "check_key",
]
