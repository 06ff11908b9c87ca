"""Tenants: their quotas over all nodes together, as decisions without I/O."""

from .quota_admission import Admission, Admitted, Deferred, OverQuota
from .quota_book import QuotaBook
from .quota_gate import QuotaGate
from .quota_limit import QuotaLimit
from .quota_messages import QuotaAsk, QuotaGrant, QuotaReply, QuotaReport

__all__ = [
    "Admission",
    "Admitted",
    "Deferred",
    "OverQuota",
    "QuotaAsk",
    "QuotaBook",
    "QuotaGate",
    "QuotaGrant",
    "QuotaLimit",
    "QuotaReply",
    "QuotaReport",
]
