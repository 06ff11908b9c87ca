"""The mutable state of a lease state machine."""

from dataclasses import dataclass, field

from ..objects import era_of
from .actions import LeaseTerm
from .record import LeaseRecord

__all__ = ["LeaseState", "ObservedLease", "PendingWrite"]


@dataclass
class ObservedLease:
    """The lease object as last read or written, and when its version was first observed.

    If the object does not exist, ``version`` is revision 0 of the era.
    """

    version: int
    record: LeaseRecord | None
    first_observed_s: float

    @property
    def era(self) -> int:
        """The era of the store in which the object was observed."""
        return era_of(self.version)


@dataclass(frozen=True)
class PendingWrite:
    """A write of this candidate whose outcome is not known yet."""

    sent_s: float


@dataclass
class LeaseState:
    """The mutable state of a lease machine.

    ``needs_read`` is set when the object may differ from ``observed``, for example because the
    response to a write was lost, and the object has to be read again before the next write.
    ``is_reclaiming`` is set while this candidate, which held the lease when the store was restored,
    has not written it in the new era yet.
    """

    observed: ObservedLease | None = None
    busy: bool = False
    needs_read: bool = False
    next_action_s: float = 0.0
    sent_record: LeaseRecord | None = None
    pending_writes: dict[str, PendingWrite] = field(default_factory=dict)
    term: LeaseTerm | None = None
    renewed_s: float = 0.0
    releasing: bool = False
    is_reclaiming: bool = False
