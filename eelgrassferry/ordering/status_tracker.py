"""Last status of each node, and the totals over all nodes."""

from collections.abc import Mapping

from ..dispatch import NO_LOAD, UpstreamLoad
from .node_status import NodeStatus

__all__ = ["StatusTracker"]

# A node that has sent no status for this long is treated as failed, in seconds.
NODE_TIMEOUT_S = 2.5


class StatusTracker:
    """Keeps the last status of each node.

    ``loads`` and ``running`` are totals over all nodes. They are updated incrementally, so that
    reading them costs the same for any number of nodes.
    """

    def __init__(self) -> None:
        self.loads: dict[str, UpstreamLoad] = {}
        self.running: dict[tuple[str, str], int] = {}
        self._statuses: dict[str, tuple[float, NodeStatus]] = {}
        self._nodes_with_demand: set[str] = set()

    def __len__(self) -> int:
        return len(self._statuses)

    def update(self, status: NodeStatus, now: float) -> None:
        """Replace the status of a node."""
        self.remove(status.node)
        self._statuses[status.node] = (now, status)
        self._add(status, 1)
        if status.pending_demand:
            self._nodes_with_demand.add(status.node)

    def remove(self, node: str) -> None:
        """Remove the status of a node, if there is one."""
        previous = self._statuses.pop(node, None)
        if previous is not None:
            self._add(previous[1], -1)
            self._nodes_with_demand.discard(node)

    def expire(self, now: float) -> None:
        """Remove the nodes that have sent no status for ``NODE_TIMEOUT_S``."""
        for node in [n for n, (at, _) in self._statuses.items() if now - at > NODE_TIMEOUT_S]:
            self.remove(node)

    def pending_demand(
        self,
    ) -> tuple[dict[str, dict[str, int]], dict[str, dict[tuple[str, str], float]]]:
        """Return the waiting requests and the adapters that they need.

        The first result counts waiting requests by service and model. The second maps, by service,
        each (model, adapter) pair to the least remaining time of its requests, in seconds.
        """
        waiting: dict[str, dict[str, int]] = {}
        adapters: dict[str, dict[tuple[str, str], float]] = {}
        for node in self._nodes_with_demand:
            for demand in self._statuses[node][1].pending_demand:
                models = waiting.setdefault(demand.service, {})
                models[demand.model] = models.get(demand.model, 0) + demand.count
                if demand.adapter:
                    pairs = adapters.setdefault(demand.service, {})
                    pair = (demand.model, demand.adapter)
                    pairs[pair] = min(demand.remaining_s, pairs.get(pair, demand.remaining_s))
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
