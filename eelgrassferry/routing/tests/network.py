"""Network of routers that exchange messages, for tests."""

from random import Random

from .. import (
    ClaimDigest,
    DenyClaim,
    Dispatch,
    FailureKind,
    GrantClaim,
    NodeIdentity,
    Refuse,
    ReleaseClaim,
    ResidentCopy,
    Router,
    ShareSuspect,
    UpstreamFailure,
    UpstreamState,
)
from .fixtures import build_deployment


class Network:
    """Nodes n1, n2, ..., each with a router over engines u1, u2, ..., where m1 is resident.

    Messages between nodes are delivered immediately and in order. ``crashing_digests`` are the
    digests that crash each upstream that runs them.
    """

    def __init__(
        self, nodes: int, upstreams: int, crashing_digests: frozenset[str] = frozenset()
    ) -> None:
        deployment = build_deployment(upstreams)
        names = [f"n{i}" for i in range(1, nodes + 1)]
        self.routers = {
            name: Router(deployment, NodeIdentity(name, "d1"), Random(name)) for name in names
        }
        self.crashing_digests = crashing_digests
        self.now = 0.0
        self.digests: dict[str, str] = {}
        self.node_of: dict[str, str] = {}
        self.running: dict[str, tuple[str, bool]] = {}
        self.crashes: list[str] = []
        self.refused: dict[str, Refuse] = {}
        self.completed: set[str] = set()
        self.max_running_suspects = 0
        self._messages: list[tuple[str, str, tuple]] = []
        for name, router in self.routers.items():
            router.update_nodes(names, 0.0)
            for upstream in deployment.upstreams:
                copies = (ResidentCopy("m1", "1"),)
                self.perform(
                    name, router.update_residency(upstream, copies, UpstreamState.LIVE, 0.0)
                )

    def submit(self, node, request):
        """Submit a request to a node."""
        self.digests[request.request_id] = request.digest
        self.node_of[request.request_id] = node
        self.perform(node, self.routers[node].submit(request, self.now))
        self.deliver()

    def perform(self, node, actions):
        """Perform the actions of a node and queue its messages to other nodes."""
        for action in actions:
            match action:
                case Dispatch():
                    self.running[action.request_id] = action.upstream, action.alone
                    alone = sum(alone for _, alone in self.running.values())
                    self.max_running_suspects = max(self.max_running_suspects, alone)
                case Refuse():
                    self.refused[action.request_id] = action
                case ClaimDigest(request_id, digest, owner, lane):
                    self._messages.append(
                        (owner, "on_claim_asked", (node, request_id, digest, lane))
                    )
                case GrantClaim(peer, request_id, _, lane):
                    self._messages.append((peer, "on_claim_granted", (request_id, lane)))
                case DenyClaim(peer, request_id, _):
                    self._messages.append((peer, "on_claim_denied", (request_id,)))
                case ReleaseClaim(request_id, digest, owner, outcome, incident, lane):
                    args = (node, request_id, digest, outcome, incident, lane)
                    self._messages.append((owner, "on_claim_released", args))
                case ShareSuspect(digest, incidents, cleared):
                    for peer in self.routers:
                        if peer != node:
                            args = (digest, incidents, cleared)
                            self._messages.append((peer, "on_suspect_learned", args))

    def deliver(self):
        """Deliver queued messages until none remain."""
        while self._messages:
            node, method, args = self._messages.pop(0)
            self.perform(node, getattr(self.routers[node], method)(*args, self.now))

    def step(self):
        """Advance the time; crashing digests crash their upstreams, other requests complete."""
        self.now += 3.0
        for node, router in self.routers.items():
            self.perform(node, router.tick(self.now))
        self.deliver()
        crashed = {
            up
            for rid, (up, _) in self.running.items()
            if self.digests[rid] in self.crashing_digests
        }
        batch, self.running = self.running, {}
        self.crashes += sorted(crashed)
        for request_id, (upstream, _) in batch.items():
            node = self.node_of[request_id]
            router = self.routers[node]
            if upstream in crashed:
                failure = UpstreamFailure(FailureKind.CRASHED, upstream)
                self.perform(node, router.fail(request_id, failure, 0, self.now))
            else:
                self.completed.add(request_id)
                self.perform(node, router.finish(request_id, self.now))
            self.deliver()

    def run(self, steps):
        """Advance until all requests have ended, by at most ``steps`` steps."""
        for _ in range(steps):
            self.step()
            if self.completed | set(self.refused) >= set(self.digests):
                return
