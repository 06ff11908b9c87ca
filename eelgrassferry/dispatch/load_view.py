"""What runs at each upstream: this node's own flights and those of the other nodes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .job import Job

__all__ = ["NO_LOAD", "LoadView", "UpstreamLoad"]

# The other nodes' figures are dropped when none has come for this long, in seconds.
STALE_AFTER_S = 2.0
# Nodes tell each other of unread prompts from this time on, in seconds; less has no effect on a
# choice and is mostly the rest of sums.
LEAST_BACKLOG_S = 0.0005


@dataclass
class UpstreamLoad:
    """Requests in flight, tokens that their runs keep in memory, and by priority the time to read
    the prompts that are not read yet, in seconds.
    """

    requests: float = 0.0
    cache_tokens: float = 0.0
    backlog: dict[int, float] = field(default_factory=dict)

    def ahead_s(self, priority: int) -> float:
        """Return the time to read the prompts that are at least as urgent as ``priority``."""
        return sum(wait_s for level, wait_s in self.backlog.items() if level <= priority)

    def plus(self, other: "UpstreamLoad", sign: float = 1.0) -> "UpstreamLoad":
        """Return the sum, or with ``sign`` -1 the difference where it is positive."""
        levels = self.backlog.keys() | other.backlog.keys()
        backlog = {
            level: max(0.0, self.backlog.get(level, 0.0) + sign * other.backlog.get(level, 0.0))
            for level in levels
        }
        return UpstreamLoad(
            max(0.0, self.requests + sign * other.requests),
            max(0.0, self.cache_tokens + sign * other.cache_tokens),
            backlog,
        )

    def rounded(self) -> "UpstreamLoad":
        """Return what other nodes are told: whole requests, tokens and ms."""
        return UpstreamLoad(
            round(self.requests),
            round(self.cache_tokens),
            {
                level: round(wait_s, 3)
                for level, wait_s in self.backlog.items()
                if wait_s >= LEAST_BACKLOG_S
            },
        )


NO_LOAD = UpstreamLoad()


class LoadView:
    """Sums of flights by upstream."""

    def __init__(self) -> None:
        self._own: dict[str, UpstreamLoad] = {}
        self._running: dict[tuple[str, str, str], int] = {}
        self._others: Mapping[str, UpstreamLoad] = {}
        self._others_at = float("-inf")

    def add(self, job: Job) -> None:
        """Count a job's new flight."""
        flight = job.flight
        assert flight is not None
        load = self._own.setdefault(flight.instance, UpstreamLoad())
        load.requests += 1
        level = job.route.priority
        load.backlog[level] = load.backlog.get(level, 0.0) + flight.prefill_s
        load.cache_tokens += flight.cache_tokens
        key = (flight.instance, job.model, job.adapter)
        self._running[key] = self._running.get(key, 0) + 1

    def note_first_event(self, job: Job) -> None:
        """Take that the prompt of a job's flight has been read."""
        flight = job.flight
        assert flight is not None
        self._own[flight.instance].backlog[job.route.priority] -= flight.prefill_s

    def remove(self, job: Job) -> None:
        """Count the end of a job's flight."""
        flight = job.flight
        assert flight is not None
        load = self._own[flight.instance]
        load.requests -= 1
        if flight.first_event_at is None:
            load.backlog[job.route.priority] -= flight.prefill_s
        load.cache_tokens -= flight.cache_tokens
        key = (flight.instance, job.model, job.adapter)
        self._running[key] -= 1
        if not self._running[key]:
            del self._running[key]
        if load.requests <= 0:
            del self._own[flight.instance]

    def set_others(self, loads: Mapping[str, UpstreamLoad], now: float) -> None:
        """Replace what the other nodes have in flight."""
        self._others = loads
        self._others_at = now

    def at(self, instance: str, now: float) -> UpstreamLoad:
        """Return what all nodes have at an upstream."""
        own = self._own.get(instance, NO_LOAD)
        if now - self._others_at > STALE_AFTER_S:
            return own
        others = self._others.get(instance)
        return own if others is None else own.plus(others)

    def own(self) -> Mapping[str, UpstreamLoad]:
        """Return this node's own flights by upstream."""
        return self._own

    def own_running(self) -> Mapping[tuple[str, str, str], int]:
        """Return this node's own flights by upstream, model and adapter."""
        return self._running
