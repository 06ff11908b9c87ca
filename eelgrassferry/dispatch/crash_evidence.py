"""Observations on upstreams that crashed, as exchanged between nodes."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["BlockedContent", "BrokenRun", "CrashEvidence", "size_of"]

# Time from a verdict to the first request that tests it, in seconds, and the limit to which each
# further trial doubles this time. A trial of content that does harm costs one more crash.
FIRST_TRIAL_AFTER_S = 30.0
MAX_TRIAL_INTERVAL_S = 3600.0


@dataclass(frozen=True)
class BrokenRun:
    """A run whose connection ended before the first event of its answer.

    ``process`` is the id of the upstream's process, ``at`` the time of the end in seconds, and
    ``fingerprints`` are those of the request.
    """

    process: str
    at: float
    fingerprints: tuple[str, ...]


@dataclass(frozen=True)
class BlockedContent:
    """Fingerprints that crash an upstream if a request contains all of them.

    ``blocked_at`` is the time of the verdict in seconds, and ``served_at`` the time of the last
    answer to such a request, which refutes an earlier verdict. ``trials`` is the number of requests
    that were sent nevertheless since then, to find out whether the verdict still holds; the last
    one sets ``blocked_at``. ``crashed`` are the ids of the processes on whose crashes the verdict
    rests.
    """

    fingerprints: frozenset[str]
    blocked_at: float
    served_at: float = float("-inf")
    trials: int = 0
    crashed: tuple[str, ...] = field(default=(), compare=False)

    @property
    def in_force(self) -> bool:
        """Whether requests with the content are refused."""
        return self.blocked_at > self.served_at

    @property
    def next_trial_at(self) -> float:
        """Time from which on one request with the content may be sent, in seconds."""
        return self.blocked_at + min(MAX_TRIAL_INTERVAL_S, FIRST_TRIAL_AFTER_S * 2**self.trials)

    def merged(self, other: "BlockedContent") -> "BlockedContent":
        """Return the newest state of two observations of the same content."""
        return BlockedContent(
            self.fingerprints,
            max(self.blocked_at, other.blocked_at),
            max(self.served_at, other.served_at),
            max(self.trials, other.trials),
            self.crashed or other.crashed,
        )


@dataclass(frozen=True)
class CrashEvidence:
    """Observations that nodes exchange. They may be merged in any order and repeatedly.

    ``ended`` and ``alive`` map the ids of processes to the time at which a process was found to
    have ended, or to have received a request that it answered. ``served`` maps fingerprints of
    broken runs to the time of the last answer to a request with them. All times are in seconds.
    """

    broken_runs: tuple[BrokenRun, ...] = ()
    ended: Mapping[str, float] = field(default_factory=dict)
    alive: Mapping[str, float] = field(default_factory=dict)
    served: Mapping[str, float] = field(default_factory=dict)
    blocked: tuple[BlockedContent, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.broken_runs or self.ended or self.alive or self.served or self.blocked)


def size_of(fingerprints: Iterable[str]) -> int:
    """Return the approximate size of fingerprints in a message, in bytes.

    >>> size_of(("part:a", "part:b"))
    14
    """
    return sum(len(name) + 1 for name in fingerprints)
