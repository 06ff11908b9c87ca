"""The statuses of all nodes, and their sums."""

from collections.abc import Mapping

from ..dispatch import NO_LOAD, UpstreamLoad
from .node_status import NodeStatus

__all__ = ["StatusBook"]

# A node that has sent no status for this long counts as gone, in seconds.
NODE_GONE_S = 2.5


class StatusBook:
    """Keeps the last status of each node. Sums change by differences, so that their cost does not
    grow with the number of nodes at each decision.
    """

    def __init__(self) -> None:
        self.loads: dict[str, UpstreamLoad] = {}
        self.running: dict[tuple[str, str], int] = {}
        self._statuses: dict[str, tuple[float, NodeStatus]] = {}
        self._waiting: set[str] = set()

    def __len__(self) -> int:
        return len(self._statuses)

    def take(self, status: NodeStatus, now: float) -> None:
        """Replace a node's status."""
        self.forget(status.node)
        self._statuses[status.node] = (now, status)
        self._add(status, 1)
        if status.wants:
            self._waiting.add(status.node)

    def forget(self, node: str) -> None:
        """Drop the status of a node."""
        known = self._statuses.pop(node, None)
        if known is not None:
            self._add(known[1], -1)
            self._waiting.discard(node)

    def expire(self, now: float) -> None:
        """Drop the nodes that have been silent for too long."""
        for node in [n for n, (at, _) in self._statuses.items() if now - at > NODE_GONE_S]:
            self.forget(node)

    def wants(self) -> tuple[dict[str, dict[str, int]], dict[str, dict[tuple[str, str], float]]]:
        """Return the waiting requests by service and model, and by service the adapters waited
        for with the least time left to a request, in seconds.
        """
        waiting: dict[str, dict[str, int]] = {}
        adapters: dict[str, dict[tuple[str, str], float]] = {}
        for node in self._waiting:
            for want in self._statuses[node][1].wants:
                models = waiting.setdefault(want.service, {})
                models[want.model] = models.get(want.model, 0) + want.count
                if want.adapter:
                    pairs = adapters.setdefault(want.service, {})
                    pair = (want.model, want.adapter)
                    pairs[pair] = min(want.left_s, pairs.get(pair, want.left_s))
        return waiting, adapters

    def _add(self, status: NodeStatus, sign: int) -> None:
        for instance, load in status.loads.items():
            total = self.loads.get(instance, NO_LOAD).plus(load, float(sign))
            if total.requests < 0.5:
                self.loads.pop(instance, None)
            else:
                self.loads[instance] = total
        _add_counts(self.running, status.running, sign)


def _add_counts(
    totals: dict[tuple[str, str], int], counts: Mapping[tuple[str, str, str], int], sign: int
) -> None:
    for (instance, model, _), count in counts.items():
        total = totals.get((instance, model), 0) + sign * count
        if total:
            totals[instance, model] = total
        else:
            totals.pop((instance, model), None)
