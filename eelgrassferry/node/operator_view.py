"""State and operations of a node for the operator API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from ..placement import Explanation as PlacementExplanation
from ..settings import DrainError, Explanation, NodeState, StatusView, UpstreamKind, UpstreamState

if TYPE_CHECKING:
    from .node import Node

__all__ = ["OperatorView"]


class OperatorView:
    """Provides the operator API with the state of one node and with drains."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def status(self) -> StatusView:
        """Return the state of this node, its peers and its upstreams, and its counters."""
        node = self._node
        nodes = tuple(
            NodeState(entry.name, entry.domain, entry.state.value, entry.revision)
            for entry in node.members.membership.entries()
        )
        counters = dict(sorted(node.metrics.counters.items()))
        return StatusView(
            node.settings.name, node.config_holder.revision, nodes, self._upstreams(), counters
        )

    async def drain(self, name: str) -> Result[str, DrainError]:
        """Start draining an upstream or this node.

        Return its new state, or an error if neither an upstream nor this node has the name.
        """
        node = self._node
        if name == node.settings.name:
            node.request_stop()
            return Ok("draining")
        if node.serving is not None and node.serving.watch.set_drained(name):
            return Ok("leaving")
        message = f"no upstream is named {name!r}, and this node is {node.settings.name!r}"
        return Err(DrainError("drain", name, message))

    def explain(self, request_id: str, model: str) -> Explanation | None:
        """Explain the routing of a request, or the routing and placement of a model.

        Return None if nothing is known about it.
        """
        serving = self._node.serving
        if serving is None:
            return None
        lines = serving.driver.router.explain(request_id or model)
        if model and serving.control.is_holder:
            lines = (*lines, *_describe(serving.control.explain(model)))
        elif model:
            lines = (*lines, f"placement is decided by {serving.bridge.holder or 'no node yet'}")
        return Explanation(request_id or model, lines) if lines else None

    def _upstreams(self) -> tuple[UpstreamState, ...]:
        serving, deployment = self._node.serving, self._node.deployment()
        if serving is None or deployment is None:
            return ()
        in_flight = serving.driver.router.own_dispatches()
        states = []
        for upstream in sorted(deployment.upstreams.values(), key=lambda u: u.name):
            view = serving.watch.views.get(upstream.name)
            state = serving.watch.state_of(upstream.name).value
            if upstream.kind is UpstreamKind.SERVICE or view is None:
                states.append(UpstreamState(upstream.name, upstream.domain, state))
                continue
            states.append(
                UpstreamState(
                    upstream.name,
                    upstream.domain,
                    state,
                    int(in_flight.get(upstream.name, 0)),
                    view.memory_mib,
                    view.used_mib,
                    tuple(copy.name for copy in view.copies),
                )
            )
        return tuple(states)


def _describe(explanation: PlacementExplanation) -> tuple[str, ...]:
    copies = tuple(f"copy: {copy}" for copy in explanation.copies) or ("no copy is loaded",)
    return (*copies, f"demand: {explanation.demand}", f"placement: {explanation.reason}")
