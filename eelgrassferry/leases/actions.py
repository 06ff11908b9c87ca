"""Actions of a lease state machine, and the term that it holds."""

from dataclasses import dataclass

__all__ = ["LeaseAction", "LeaseTerm", "ReadLease", "WriteLease"]


@dataclass(frozen=True)
class ReadLease:
    """Action: read the lease object and pass the result to ``on_read``."""


@dataclass(frozen=True)
class WriteLease:
    """Action: write the lease object and pass the result to ``on_write``.

    The write is conditional on the object's version being ``expected``.
    """

    value: bytes
    expected: int


LeaseAction = ReadLease | WriteLease


@dataclass(frozen=True)
class LeaseTerm:
    """The right to act as the holder until ``valid_until``, in seconds on the holder's own clock.

    ``epoch`` is the fencing token. ``acknowledged`` names the earlier holders that have released
    the lease and thereby promised to send nothing more. ``sole_host_since`` is the time on the same
    clock since which no other host has acted as the holder, or None if it is not known. With
    ``is_first``, nobody has held the lease before.
    """

    epoch: int
    valid_until: float
    acknowledged: frozenset[str] = frozenset()
    sole_host_since: float | None = None
    is_first: bool = False
