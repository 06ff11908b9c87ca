"""Several routers whose messages reach each other, for tests."""

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
    """Nodes n1.. with routers over engines u1.., all of which hold m1.

    Messages between nodes are delivered in order and at once. ``killers`` are digests that crash
    each upstream that runs them.
    """

    def __init__(self, nodes: int, upstreams: int, killers: frozenset[str] = frozenset()) -> None:
        deployment = build_deployment(upstreams)
        names = [f"n{i}" for i in range(1, nodes + 1)]
        self.routers = {
            name: Router(deployment, NodeIdentity(name, "d1"), Random(name)) for name in names
        }
        self.killers = killers
        self.now = 0.0
        self.digests: dict[str, str] = {}
        self.node_of: dict[str, str] = {}
        self.running: dict[str, tuple[str, bool]] = {}
        self.crashes: list[str] = []
        self.refused: dict[str, Refuse] = {}
        self.done: set[str] = set()
        self.most_alone = 0
        self._mail: list[tuple[str, str, tuple]] = []
        for name, router in self.routers.items():
            router.update_nodes(names, 0.0)
            for upstream in deployment.upstreams:
                copies = (ResidentCopy("m1", "1"),)
                self.take(name, router.update_residency(upstream, copies, UpstreamState.LIVE, 0.0))

    def submit(self, node, request):
        """Give a request to a node."""
        self.digests[request.request_id] = request.digest
        self.node_of[request.request_id] = node
        self.take(node, self.routers[node].submit(request, self.now))
        self.deliver()

    def take(self, node, actions):
        """Carry out actions; messages to other nodes are put in the mail."""
        for action in actions:
            match action:
                case Dispatch():
                    self.running[action.request_id] = action.upstream, action.alone
                    alone = sum(alone for _, alone in self.running.values())
                    self.most_alone = max(self.most_alone, alone)
                case Refuse():
                    self.refused[action.request_id] = action
                case ClaimDigest(request_id, digest, owner, lane):
                    self._mail.append((owner, "on_claim_asked", (node, request_id, digest, lane)))
                case GrantClaim(peer, request_id, _, lane):
                    self._mail.append((peer, "on_claim_granted", (request_id, lane)))
                case DenyClaim(peer, request_id, _):
                    self._mail.append((peer, "on_claim_denied", (request_id,)))
                case ReleaseClaim(request_id, digest, owner, outcome, incident, lane):
                    args = (node, request_id, digest, outcome, incident, lane)
                    self._mail.append((owner, "on_claim_released", args))
                case ShareSuspect(digest, incidents, cleared):
                    for peer in self.routers:
                        if peer != node:
                            args = (digest, incidents, cleared)
                            self._mail.append((peer, "on_suspect_learned", args))

    def deliver(self):
        """Deliver mail until none is left."""
        while self._mail:
            node, method, args = self._mail.pop(0)
            self.take(node, getattr(self.routers[node], method)(*args, self.now))

    def step(self):
        """Let time pass: a running killer crashes its upstream, everything else completes."""
        self.now += 3.0
        for node, router in self.routers.items():
            self.take(node, router.tick(self.now))
        self.deliver()
        hit = {up for rid, (up, _) in self.running.items() if self.digests[rid] in self.killers}
        batch, self.running = self.running, {}
        self.crashes += sorted(hit)
        for request_id, (upstream, _) in batch.items():
            node = self.node_of[request_id]
            router = self.routers[node]
            if upstream in hit:
                failure = UpstreamFailure(FailureKind.CRASHED, upstream)
                self.take(node, router.fail(request_id, failure, 0, self.now))
            else:
                self.done.add(request_id)
                self.take(node, router.finish(request_id, self.now))
            self.deliver()

    def run(self, steps):
        """Step until nothing is left or the steps are used up."""
        for _ in range(steps):
            self.step()
            if self.done | set(self.refused) >= set(self.digests):
                return
