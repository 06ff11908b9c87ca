"""Decisions on whether a tenant's quota allows a request."""

from dataclasses import dataclass

__all__ = ["Admission", "Admitted", "Deferred", "OverQuota"]


@dataclass(frozen=True)
class Admitted:
    """The request may run. Its ``units`` are given back if it does not.

    ``by_share`` is whether the node's own share was used instead of the coordinator's book.
    """

    tenant: str
    units: float
    by_share: bool = False


@dataclass(frozen=True)
class OverQuota:
    """The request is over the tenant's quota.

    It can pass after ``retry_after_s``, or never if that is None.
    """

    tenant: str
    retry_after_s: float | None


@dataclass(frozen=True)
class Deferred:
    """The coordinator is asked. The decision follows, by ``ask_id``."""

    ask_id: int


Admission = Admitted | OverQuota | Deferred
