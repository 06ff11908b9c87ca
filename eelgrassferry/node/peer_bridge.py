"""Exchanges messages between the router of this node and the routers of its peers."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import structlog
from result import Ok

from ..metrics import Metrics
from ..peers import Gossiper, Identity, InFlightCount, InFlightCounts, PeerMesh, load_interval_s
from ..routing import (
    ClaimDigest,
    DenyClaim,
    GrantClaim,
    ReleaseClaim,
    ReportDemand,
    ResidentCopy,
    ShareSuspect,
    StallDetected,
)
from .messages import (
    Ack,
    ClaimAnswer,
    ClaimRelease,
    ClaimRequest,
    CopyRequest,
    DemandNotice,
    HolderNotice,
    LeavingNotice,
    ResidencyNotice,
    RetiredNotice,
    StallNotice,
    SuspectNotice,
)
from .router_driver import RouterDriver
from .suspect_store import SuspectStore
from .upstream_watch import UpstreamWatch

__all__ = ["PeerBridge"]

COPY_REQUEST_TIMEOUT_S = 0.5
# A claim normally takes one round trip of about 1 ms. A grant that waits for another run with the
# same digest to end arrives later as a separate message.
CLAIM_TIMEOUT_S = 1.0
# Minimum time between two requests for a copy of the same model; the router repeats the request
# while it waits.
COPY_REQUEST_INTERVAL_S = 0.1

DemandCounts = dict[str, tuple[int, int]]

log = structlog.get_logger()


class PeerBridge:
    """Connects the router of this node with those of its peers.

    ``on_copy_request`` records a request for a copy and returns False if this node does not hold
    the area's lease. ``on_demand``, ``on_stall`` and ``on_retired`` are called with the demand,
    the stalled upstreams and the retired instance ids that peers report, and the first two also
    with those of this node. ``retired_instances`` returns the retired ids of this process, which
    are sent to each peer that announces itself as the holder.
    """

    def __init__(
        self,
        name: str,
        mesh: PeerMesh,
        gossiper: Gossiper,
        driver: RouterDriver,
        watch: UpstreamWatch,
        suspects: SuspectStore,
        metrics: Metrics,
        on_copy_request: Callable[[str, bool], bool],
        on_demand: Callable[[DemandCounts], None],
        on_stall: Callable[[str, float], None],
        on_retired: Callable[[tuple[str, ...]], None],
        retired_instances: Callable[[], tuple[str, ...]],
    ) -> None:
        self._name = name
        self._mesh = mesh
        self._gossiper = gossiper
        self._driver = driver
        self._watch = watch
        self._suspects = suspects
        self._metrics = metrics
        self._on_copy_request = on_copy_request
        self._on_demand = on_demand
        self._on_stall = on_stall
        self._retired_instances = retired_instances
        self._holder: tuple[int, str] = (0, "")
        self._copy_requested_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        mesh.handle(CopyRequest, self._handle_copy_request)
        mesh.handle(HolderNotice, self._handle_holder_notice)
        mesh.handle(ResidencyNotice, self._handle_residency_notice)
        mesh.handle(LeavingNotice, self._handle_leaving_notice)
        mesh.handle(DemandNotice, self._handle_demand_notice)
        gossiper.on_change(InFlightCounts, self._handle_dispatches)
        mesh.handle(StallNotice, self._handle_stall_notice)
        mesh.handle(RetiredNotice, lambda peer, notice: on_retired(notice.instances))
        mesh.handle(ClaimRequest, self._handle_claim_request)
        mesh.handle(ClaimAnswer, self._handle_claim_answer)
        mesh.handle(ClaimRelease, self._handle_claim_release)
        mesh.handle(SuspectNotice, self._handle_suspect_notice)

    @property
    def holder(self) -> str:
        """The node last known to hold the area's lease."""
        return self._holder[1]

    def perform(self, action: object) -> None:
        """Perform an action of the router that involves peers or the lease holder."""
        match action:
            case ReportDemand(name, _, urgent):
                self.request_copy(name, urgent)
            case ClaimDigest():
                self._spawn(self._send_claim(action))
            case GrantClaim(node, request_id, digest, lane):
                self._mesh.send(node, ClaimAnswer(request_id, digest, True, lane))
            case DenyClaim(node, request_id, digest):
                self._mesh.send(node, ClaimAnswer(request_id, digest, False, False))
            case ReleaseClaim(request_id, digest, owner, outcome, incident, lane):
                self._mesh.send(owner, ClaimRelease(request_id, digest, outcome, incident, lane))
            case ShareSuspect(digest, incidents, cleared):
                self._mesh.broadcast(SuspectNotice(digest, incidents, cleared))
                self._spawn(self._suspects.write(digest, incidents, cleared))
            case StallDetected(upstream, pause_s):
                self._on_stall(upstream, pause_s)
                self._mesh.broadcast(StallNotice(upstream, pause_s))
            case _:
                log.error("unknown action", step="perform", action=repr(action))

    def broadcast_residency(self, upstream: str, copies: tuple[ResidentCopy, ...]) -> None:
        """Apply an engine's residency, read by this node as the lease holder, here and at peers."""
        self._watch.apply_announced_residency(upstream, copies)
        self._mesh.broadcast(ResidencyNotice(upstream, copies))

    def broadcast_leaving(self, upstreams: frozenset[str]) -> None:
        """Send all peers the upstreams that this node observed leaving."""
        self._mesh.broadcast(LeavingNotice(tuple(sorted(upstreams))))

    def report_demand(self, demand: DemandCounts) -> None:
        """Send the lease holder the numbers of requests since the last call."""
        if self.holder == self._name:
            self._on_demand(demand)
        elif self.holder and demand:
            self._mesh.send(self.holder, DemandNotice(demand))

    def broadcast_holder(self, area: str, epoch: int) -> None:
        """Announce to all peers that this node holds the area's lease."""
        self._holder = (epoch, self._name)
        self._mesh.broadcast(HolderNotice(area, epoch))

    async def run(self) -> None:
        """Gossip this node's requests in flight within the failure domain until cancelled.

        An unchanged state is not sent again. The interval grows with the number of nodes in the
        domain, so that the number of messages that a node receives does not.
        """
        last: dict[str, float] | None = None
        domain = self._mesh.identity.domain
        while True:
            in_flight = self._driver.router.own_dispatches()
            if in_flight != last:
                counts = (InFlightCount(name, int(n)) for name, n in sorted(in_flight.items()))
                self._gossiper.publish(InFlightCounts(tuple(counts)))
                last = dict(in_flight)
            await asyncio.sleep(load_interval_s(len(self._gossiper.membership.live(domain))))

    def request_copy(self, name: str, urgent: bool) -> None:
        """Request a copy of ``name`` from the lease holder."""
        now = time.monotonic()
        if now - self._copy_requested_at.get(name, float("-inf")) < COPY_REQUEST_INTERVAL_S:
            return
        self._copy_requested_at[name] = now
        if not self._on_copy_request(name, urgent):
            self._spawn(self._send_copy_request(name, urgent))

    async def _send_copy_request(self, name: str, urgent: bool) -> None:
        if not self.holder:
            self._metrics.count("want.no_holder")
            return
        answer = await self._mesh.request(
            self.holder, CopyRequest(name, urgent), COPY_REQUEST_TIMEOUT_S
        )
        if answer != Ok(Ack(True)):
            self._metrics.count("want.not_accepted")

    async def _send_claim(self, claim: ClaimDigest) -> None:
        request = ClaimRequest(claim.request_id, claim.digest, claim.lane)
        answer = await self._mesh.request(claim.owner, request, CLAIM_TIMEOUT_S)
        if not isinstance(answer, Ok):
            self._metrics.count("claims.owner_unreachable")
            actions = self._driver.router.on_claim_unavailable(
                claim.request_id, claim.lane, time.monotonic()
            )
            self._driver.apply(actions)

    def _handle_copy_request(self, peer: Identity, request: CopyRequest) -> Ack:
        return Ack(self._on_copy_request(request.name, request.urgent))

    def _handle_holder_notice(self, peer: Identity, notice: HolderNotice) -> None:
        if notice.epoch >= self._holder[0]:
            self._holder = (notice.epoch, peer.name)
            retired = self._retired_instances()
            if retired:
                self._mesh.send(peer.name, RetiredNotice(retired))

    def _handle_residency_notice(self, peer: Identity, notice: ResidencyNotice) -> None:
        self._watch.apply_announced_residency(notice.upstream, notice.copies)

    def _handle_leaving_notice(self, peer: Identity, notice: LeavingNotice) -> None:
        self._watch.apply_peer_leaving(notice.upstreams)

    def _handle_demand_notice(self, peer: Identity, notice: DemandNotice) -> None:
        self._on_demand(notice.demand)

    def _handle_dispatches(self, node: str, value: InFlightCounts) -> None:
        in_flight = {count.upstream: float(count.in_flight) for count in value.upstreams}
        now = time.monotonic()
        self._driver.apply(self._driver.router.update_peer_dispatches(node, in_flight, now))

    def _handle_stall_notice(self, peer: Identity, notice: StallNotice) -> None:
        self._on_stall(notice.upstream, notice.pause_s)
        self._driver.apply(self._driver.router.on_stall(notice.upstream, time.monotonic()))

    def _handle_claim_request(self, peer: Identity, request: ClaimRequest) -> Ack:
        actions = self._driver.router.on_claim_asked(
            peer.name, request.request_id, request.digest, request.lane, time.monotonic()
        )
        self._driver.apply(actions)
        return Ack(True)

    def _handle_claim_answer(self, peer: Identity, answer: ClaimAnswer) -> None:
        router, now = self._driver.router, time.monotonic()
        if answer.granted:
            self._driver.apply(router.on_claim_granted(answer.request_id, answer.lane, now))
        else:
            self._driver.apply(router.on_claim_denied(answer.request_id, now))

    def _handle_claim_release(self, peer: Identity, release: ClaimRelease) -> None:
        actions = self._driver.router.on_claim_released(
            peer.name,
            release.request_id,
            release.digest,
            release.outcome,
            release.incident,
            release.lane,
            time.monotonic(),
        )
        self._driver.apply(actions)

    def _handle_suspect_notice(self, peer: Identity, notice: SuspectNotice) -> None:
        actions = self._driver.router.on_suspect_learned(
            notice.digest, notice.incidents, notice.cleared, time.monotonic()
        )
        self._driver.apply(actions)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
