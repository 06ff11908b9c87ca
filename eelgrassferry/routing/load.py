"""Estimate of the current number of requests at each upstream from delayed reports.

A load report of an engine describes its requests at an earlier time. This node's own requests at
that time are known exactly, so the remainder of the report is the share of the peers. The estimate
adds the changes since then: this node's exactly, and those of each peer as received by gossip. When
a newer report arrives, the changes that it already contains are no longer added.

While the counts of all peers are fresh, the sum of the requests of all nodes is used instead. It is
more accurate than a report, because only the delay of the gossip affects it.
"""

from bisect import bisect_right
from collections.abc import Mapping

from .messages import LoadReport

__all__ = ["LoadEstimator"]

# Age in seconds above which a report or the counts of a peer are ignored.
STALE_AFTER_S = 5.0
# Maximum age in seconds of the counts of a peer that are regarded as fresh. Gossip arrives
# several times per second.
PEER_FRESH_S = 0.6
# Minimum number of recent values retained per history once old ones are discarded. Reports are
# delayed by one or two seconds at most.
HISTORY_STEPS = 256


class _CountHistory:
    """Count with the history of its recent values."""

    __slots__ = ("times", "value", "values")

    def __init__(self) -> None:
        self.value = 0.0
        self.times: list[float] = []
        self.values: list[float] = []

    def set(self, value: float, now: float) -> None:
        self.value = value
        self.times.append(now)
        self.values.append(value)
        if len(self.times) > 2 * HISTORY_STEPS:
            del self.times[:HISTORY_STEPS]
            del self.values[:HISTORY_STEPS]

    def value_at(self, time: float) -> float:
        index = bisect_right(self.times, time)
        if index:
            return self.values[index - 1]
        return 0.0 if len(self.times) < HISTORY_STEPS else self.values[0]


class LoadEstimator:
    """Estimator of the requests in flight at each upstream.

    ``peer_count`` is the number of peers whose counts must be fresh for the sum over all nodes to
    be used. With 0, the estimate is based on the reports. ``revision`` increases with each change.

    >>> estimator = LoadEstimator()
    >>> estimator.adjust_own_count("u1", 1, now=0.0)
    >>> estimator.update_report(LoadReport("u1", running=4, queued=0, measured_at=1.0))
    >>> estimator.adjust_own_count("u1", 1, now=2.0)
    >>> estimator.in_flight("u1", now=2.0)
    5.0
    """

    def __init__(self) -> None:
        self.peer_count = 0
        self.revision = 0
        self._own: dict[str, _CountHistory] = {}
        self._peers: dict[str, dict[str, _CountHistory]] = {}
        self._peer_updated_at: dict[str, float] = {}
        self._reports: dict[str, LoadReport] = {}
        # Estimates for the time ``_estimated_at``. Each is needed several times per router input.
        self._estimates: dict[str, float] = {}
        self._estimated_at = float("-inf")

    def adjust_own_count(self, upstream: str, delta: int, now: float) -> None:
        """Add a request of this node that was sent (+1) or that ended (-1)."""
        history = self._own.setdefault(upstream, _CountHistory())
        history.set(max(0.0, history.value + delta), now)
        self._invalidate(upstream)

    def update_report(self, report: LoadReport) -> None:
        """Replace the report of an engine. A report older than the current one is ignored."""
        last = self._reports.get(report.upstream)
        if last is None or report.measured_at >= last.measured_at:
            self._reports[report.upstream] = report
            self._invalidate(report.upstream)

    def update_peer(self, node: str, counts: Mapping[str, float], now: float) -> None:
        """Replace the in-flight counts of a peer. A missing upstream counts as 0."""
        self._peer_updated_at[node] = now
        self._invalidate(None)
        for upstream in {*counts, *(u for u, peers in self._peers.items() if node in peers)}:
            history = self._peers.setdefault(upstream, {}).setdefault(node, _CountHistory())
            history.set(counts.get(upstream, 0.0), now)

    def remove_peer(self, node: str) -> None:
        """Remove the in-flight counts of a peer."""
        self._peer_updated_at.pop(node, None)
        self._invalidate(None)
        for peers in self._peers.values():
            peers.pop(node, None)

    def remove_upstream(self, upstream: str) -> None:
        """Remove the report and the peers' counts of an upstream that left or restarted."""
        self._invalidate(upstream)
        self._reports.pop(upstream, None)
        self._peers.pop(upstream, None)

    def own_count(self, upstream: str) -> int:
        """Return the number of this node's requests in flight at an upstream."""
        history = self._own.get(upstream)
        return int(history.value) if history else 0

    def own_counts(self) -> dict[str, float]:
        """Return the non-zero numbers of this node's requests by upstream, for gossip."""
        return {name: history.value for name, history in self._own.items() if history.value}

    def in_flight(self, upstream: str, now: float) -> float:
        """Return the estimated number of requests of all nodes at an upstream."""
        if now != self._estimated_at:
            self._estimates.clear()
            self._estimated_at = now
        estimate = self._estimates.get(upstream)
        if estimate is None:
            estimate = self._estimates[upstream] = self._estimate(upstream, now)
        return estimate

    def _invalidate(self, upstream: str | None) -> None:
        self.revision += 1
        if upstream is None:
            self._estimates.clear()
        else:
            self._estimates.pop(upstream, None)

    def _estimate(self, upstream: str, now: float) -> float:
        own = self._own.get(upstream)
        own_now = own.value if own else 0.0
        peers = self._peers.get(upstream, {})
        fresh_histories = [
            history
            for node, history in peers.items()
            if now - self._peer_updated_at[node] <= STALE_AFTER_S
        ]
        if (
            self.peer_count
            and sum(now - at <= PEER_FRESH_S for at in self._peer_updated_at.values())
            >= self.peer_count
        ):
            return own_now + sum(history.value for history in fresh_histories)
        report = self._reports.get(upstream)
        if report is None or now - report.measured_at > STALE_AFTER_S:
            return own_now + sum(history.value for history in fresh_histories)
        own_at_report = own.value_at(report.measured_at) if own else 0.0
        peer_requests = report.running + report.queued - own_at_report
        peer_requests += sum(
            history.value - history.value_at(report.measured_at) for history in fresh_histories
        )
        return own_now + max(0.0, peer_requests)
