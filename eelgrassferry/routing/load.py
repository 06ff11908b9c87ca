"""How many requests are at each upstream now, estimated from reports that lag.

An engine's report says how many requests it held some time ago. What this node had in flight
there at that time is known exactly, so the rest of the report is the peers' share. To that are
added the changes since: this node's own, exactly, and each peer's as it gossips them. As a newer
report arrives, the changes it already contains drop out of the sum by themselves.

While every peer is heard, the sum of what the nodes have sent is closer to the truth than a
report, because only one lag enters it.
"""

from bisect import bisect_right
from collections.abc import Mapping

from .messages import LoadReport

__all__ = ["LoadBook"]

# A report or a peer's figure older than this says nothing about the present.
STALE_AFTER_S = 5.0
# A peer heard within this time counts as heard; gossip comes several times a second.
FRESH_S = 0.6
# Steps of in-flight history kept for each source; reports lag by a second or two at most.
HISTORY_STEPS = 256


class _Level:
    """A count with its recent history."""

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

    def at(self, time: float) -> float:
        index = bisect_right(self.times, time)
        if index:
            return self.values[index - 1]
        return 0.0 if len(self.times) < HISTORY_STEPS else self.values[0]


class LoadBook:
    """Own, peers' and reported requests for every upstream.

    ``peers`` is the number of peers that send their exact figures, or 0 when not all do.

    >>> book = LoadBook()
    >>> book.change_own("u1", 1, now=0.0)
    >>> book.report(LoadReport("u1", running=4, queued=0, measured_at=1.0))
    >>> book.change_own("u1", 1, now=2.0)
    >>> book.in_flight("u1", now=2.0)
    5.0
    """

    def __init__(self) -> None:
        self.peers = 0
        self.changes = 0
        self._own: dict[str, _Level] = {}
        self._peers: dict[str, dict[str, _Level]] = {}
        self._heard: dict[str, float] = {}
        self._reports: dict[str, LoadReport] = {}
        # Estimates made at ``_known_at``; one input of the router asks for each several times.
        self._known: dict[str, float] = {}
        self._known_at = float("-inf")

    def change_own(self, upstream: str, change: int, now: float) -> None:
        """Count a request that this node sent (+1) or that ended (-1)."""
        level = self._own.setdefault(upstream, _Level())
        level.set(max(0.0, level.value + change), now)
        self._note_change(upstream)

    def report(self, report: LoadReport) -> None:
        """Take an engine's report; one that is older than the last is ignored."""
        last = self._reports.get(report.upstream)
        if last is None or report.measured_at >= last.measured_at:
            self._reports[report.upstream] = report
            self._note_change(report.upstream)

    def set_peer(self, node: str, work: Mapping[str, float], now: float) -> None:
        """Replace what a peer has in flight at each upstream; a missing upstream means none."""
        self._heard[node] = now
        self._note_change(None)
        for upstream in {*work, *(u for u, peers in self._peers.items() if node in peers)}:
            level = self._peers.setdefault(upstream, {}).setdefault(node, _Level())
            level.set(work.get(upstream, 0.0), now)

    def forget_peer(self, node: str) -> None:
        """Drop what a peer that is gone had in flight."""
        self._heard.pop(node, None)
        self._note_change(None)
        for peers in self._peers.values():
            peers.pop(node, None)

    def forget_upstream(self, upstream: str) -> None:
        """Drop reports about an upstream that is gone or restarted."""
        self._note_change(upstream)
        self._reports.pop(upstream, None)
        self._peers.pop(upstream, None)

    def own(self, upstream: str) -> int:
        """Return how many requests of this node are at the upstream."""
        level = self._own.get(upstream)
        return int(level.value) if level else 0

    def own_all(self) -> dict[str, float]:
        """Return this node's requests at each upstream, for gossip."""
        return {name: level.value for name, level in self._own.items() if level.value}

    def in_flight(self, upstream: str, now: float) -> float:
        """Return the estimated number of requests of all nodes at the upstream."""
        if now != self._known_at:
            self._known.clear()
            self._known_at = now
        known = self._known.get(upstream)
        if known is None:
            known = self._known[upstream] = self._estimate(upstream, now)
        return known

    def _note_change(self, upstream: str | None) -> None:
        self.changes += 1
        if upstream is None:
            self._known.clear()
        else:
            self._known.pop(upstream, None)

    def _estimate(self, upstream: str, now: float) -> float:
        own = self._own.get(upstream)
        own_now = own.value if own else 0.0
        peers = self._peers.get(upstream, {})
        fresh = [level for node, level in peers.items() if now - self._heard[node] <= STALE_AFTER_S]
        if self.peers and sum(now - at <= FRESH_S for at in self._heard.values()) >= self.peers:
            return own_now + sum(level.value for level in fresh)
        report = self._reports.get(upstream)
        if report is None or now - report.measured_at > STALE_AFTER_S:
            return own_now + sum(level.value for level in fresh)
        own_then = own.at(report.measured_at) if own else 0.0
        others = report.running + report.queued - own_then
        others += sum(level.value - level.at(report.measured_at) for level in fresh)
        return own_now + max(0.0, others)
