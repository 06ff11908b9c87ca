"""Load of each upstream, from the attempts of this node and the reports of the other nodes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .job import Job

__all__ = ["NO_LOAD", "LoadView", "UpstreamLoad"]

# Time in seconds after which the loads of the other nodes are ignored if no update arrives.
OTHER_LOADS_VALID_S = 2.0
# Smallest backlog that is sent to other nodes, in seconds. A smaller one does not affect the
# selection of an upstream and is mostly a rounding error of sums.
MIN_REPORTED_BACKLOG_S = 0.0005


@dataclass
class UpstreamLoad:
    """Load of one upstream.

    ``requests`` is the number of requests in flight, ``cache_tokens`` the number of tokens that
    they occupy in the KV cache, and ``backlog`` the time in seconds, by priority, to prefill the
    prompts that have not been read.
    """

    requests: float = 0.0
    cache_tokens: float = 0.0
    backlog: dict[int, float] = field(default_factory=dict)

    def prefill_ahead_s(self, priority: int) -> float:
        """Return the prefill time of the prompts that are at least as urgent as ``priority``.

        The time is in seconds; a lower number is more urgent.
        """
        return sum(wait_s for level, wait_s in self.backlog.items() if level <= priority)

    def plus(self, other: "UpstreamLoad", sign: float = 1.0) -> "UpstreamLoad":
        """Return the sum of two loads, or with ``sign`` -1 their difference, not below 0."""
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
        """Return the load as sent to other nodes, in whole requests, tokens and milliseconds."""
        return UpstreamLoad(
            round(self.requests),
            round(self.cache_tokens),
            {
                level: round(wait_s, 3)
                for level, wait_s in self.backlog.items()
                if wait_s >= MIN_REPORTED_BACKLOG_S
            },
        )


NO_LOAD = UpstreamLoad()


class LoadView:
    """Load of each upstream, caused by this node and by the other nodes."""

    def __init__(self) -> None:
        self._own: dict[str, UpstreamLoad] = {}
        self._attempt_counts: dict[tuple[str, str, str], int] = {}
        self._others: Mapping[str, UpstreamLoad] = {}
        self._others_updated_at = float("-inf")

    def add(self, job: Job) -> None:
        """Add the attempt that a job has started."""
        attempt = job.attempt
        assert attempt is not None
        load = self._own.setdefault(attempt.instance, UpstreamLoad())
        load.requests += 1
        level = job.priority
        load.backlog[level] = load.backlog.get(level, 0.0) + attempt.prefill_s
        load.cache_tokens += attempt.cache_tokens
        key = (attempt.instance, job.model, job.adapter)
        self._attempt_counts[key] = self._attempt_counts.get(key, 0) + 1

    def record_first_event(self, job: Job) -> None:
        """Remove the prompt of a job's attempt from the backlog, because it has been read."""
        attempt = job.attempt
        assert attempt is not None
        self._own[attempt.instance].backlog[job.priority] -= attempt.prefill_s

    def remove(self, job: Job) -> None:
        """Remove the attempt that a job has ended."""
        attempt = job.attempt
        assert attempt is not None
        load = self._own[attempt.instance]
        load.requests -= 1
        if attempt.first_event_at is None:
            load.backlog[job.priority] -= attempt.prefill_s
        load.cache_tokens -= attempt.cache_tokens
        key = (attempt.instance, job.model, job.adapter)
        self._attempt_counts[key] -= 1
        if not self._attempt_counts[key]:
            del self._attempt_counts[key]
        if load.requests <= 0:
            del self._own[attempt.instance]

    def set_others(self, loads: Mapping[str, UpstreamLoad], now: float) -> None:
        """Replace the loads caused by the other nodes."""
        self._others = loads
        self._others_updated_at = now

    def total_at(self, instance: str, now: float) -> UpstreamLoad:
        """Return the load of an upstream, caused by all nodes."""
        own = self._own.get(instance, NO_LOAD)
        if now - self._others_updated_at > OTHER_LOADS_VALID_S:
            return own
        others = self._others.get(instance)
        return own if others is None else own.plus(others)

    def own_loads(self) -> Mapping[str, UpstreamLoad]:
        """Return the loads caused by this node, by upstream."""
        return self._own

    def own_attempt_counts(self) -> Mapping[tuple[str, str, str], int]:
        """Return the number of this node's attempts by upstream, model and adapter."""
        return self._attempt_counts
