"""Carries the router's messages to peers, and theirs to the router."""

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
    DemandNotice,
    HolderNotice,
    LeavingNotice,
    ResidencyNotice,
    RetiredNotice,
    StallNotice,
    SuspectNotice,
    WantCopy,
)
from .router_driver import RouterDriver
from .suspect_log import SuspectLog
from .upstream_watch import UpstreamWatch

__all__ = ["PeerBridge"]

WANT_TIMEOUT_S = 0.5
# A claim normally takes one round trip, about 1 ms. A grant that waits for another copy's end
# comes later as a message of its own.
CLAIM_TIMEOUT_S = 1.0
# A want is passed on at most this often for each model: the router repeats it while it waits.
WANT_REPEAT_S = 0.1

Demand = dict[str, tuple[int, int]]

log = structlog.get_logger()


class PeerBridge:
    """Connects one router with those of the peers.

    ``on_want`` is called on the node that holds the area's lease; it returns False where this
    node does not hold it.
    """

    def __init__(
        self,
        name: str,
        mesh: PeerMesh,
        gossiper: Gossiper,
        driver: RouterDriver,
        watch: UpstreamWatch,
        suspects: SuspectLog,
        metrics: Metrics,
        on_want: Callable[[str, bool], bool],
        on_demand: Callable[[Demand], None],
        on_stall: Callable[[str, float], None],
        on_retired: Callable[[tuple[str, ...]], None],
        own_retired: Callable[[], tuple[str, ...]],
    ) -> None:
        self._name = name
        self._mesh = mesh
        self._gossiper = gossiper
        self._driver = driver
        self._watch = watch
        self._suspects = suspects
        self._metrics = metrics
        self._on_want = on_want
        self._on_demand = on_demand
        self._on_stall = on_stall
        self._own_retired = own_retired
        self._holder: tuple[int, str] = (0, "")
        self._wanted_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        mesh.handle(WantCopy, self._take_want)
        mesh.handle(HolderNotice, self._take_holder)
        mesh.handle(ResidencyNotice, self._take_residency)
        mesh.handle(LeavingNotice, self._take_leaving)
        mesh.handle(DemandNotice, self._take_demand)
        gossiper.on_change(InFlightCounts, self._take_dispatches)
        mesh.handle(StallNotice, self._take_stall)
        mesh.handle(RetiredNotice, lambda peer, notice: on_retired(notice.instances))
        mesh.handle(ClaimRequest, self._take_claim)
        mesh.handle(ClaimAnswer, self._take_claim_answer)
        mesh.handle(ClaimRelease, self._take_claim_release)
        mesh.handle(SuspectNotice, self._take_suspect)

    @property
    def holder(self) -> str:
        """The node last known to hold the area's lease."""
        return self._holder[1]

    def perform(self, action: object) -> None:
        """Carry out an action of the router that concerns other parts."""
        match action:
            case ReportDemand(name, _, urgent):
                self.want(name, urgent)
            case ClaimDigest():
                self._spawn(self._claim(action))
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

    def tell_residency(self, upstream: str, copies: tuple[ResidentCopy, ...]) -> None:
        """Tell all peers what the holder has read from an engine."""
        self._watch.learn_residency(upstream, copies)
        self._mesh.broadcast(ResidencyNotice(upstream, copies))

    def tell_leaving(self, upstreams: frozenset[str]) -> None:
        """Tell all peers which upstreams this node has seen leaving."""
        self._mesh.broadcast(LeavingNotice(tuple(sorted(upstreams))))

    def tell_demand(self, demand: Demand) -> None:
        """Hand the requests counted since the last call to the lease holder."""
        if self.holder == self._name:
            self._on_demand(demand)
        elif self.holder and demand:
            self._mesh.send(self.holder, DemandNotice(demand))

    def tell_holder(self, area: str, epoch: int) -> None:
        """Tell all peers that this node holds the area's lease."""
        self._holder = (epoch, self._name)
        self._mesh.broadcast(HolderNotice(area, epoch))

    async def run(self) -> None:
        """Gossip own dispatches within the failure domain until cancelled.

        An unchanged state is not repeated; the interval grows with the domain, so that what a
        node receives does not.
        """
        last: dict[str, float] | None = None
        domain = self._mesh.identity.domain
        while True:
            work = self._driver.router.own_dispatches()
            if work != last:
                sent = (InFlightCount(name, int(count)) for name, count in sorted(work.items()))
                self._gossiper.publish(InFlightCounts(tuple(sent)))
                last = dict(work)
            await asyncio.sleep(load_interval_s(len(self._gossiper.membership.live(domain))))

    def want(self, name: str, urgent: bool) -> None:
        """Ask the lease holder for a copy of ``name``."""
        now = time.monotonic()
        if now - self._wanted_at.get(name, float("-inf")) < WANT_REPEAT_S:
            return
        self._wanted_at[name] = now
        if not self._on_want(name, urgent):
            self._spawn(self._send_want(name, urgent))

    async def _send_want(self, name: str, urgent: bool) -> None:
        if not self.holder:
            self._metrics.count("want.no_holder")
            return
        answer = await self._mesh.request(self.holder, WantCopy(name, urgent), WANT_TIMEOUT_S)
        if answer != Ok(Ack(True)):
            self._metrics.count("want.not_accepted")

    async def _claim(self, claim: ClaimDigest) -> None:
        request = ClaimRequest(claim.request_id, claim.digest, claim.lane)
        answer = await self._mesh.request(claim.owner, request, CLAIM_TIMEOUT_S)
        if not isinstance(answer, Ok):
            self._metrics.count("claims.owner_unreachable")
            actions = self._driver.router.on_claim_unavailable(
                claim.request_id, claim.lane, time.monotonic()
            )
            self._driver.apply(actions)

    def _take_want(self, peer: Identity, want: WantCopy) -> Ack:
        return Ack(self._on_want(want.name, want.urgent))

    def _take_holder(self, peer: Identity, notice: HolderNotice) -> None:
        if notice.epoch >= self._holder[0]:
            self._holder = (notice.epoch, peer.name)
            retired = self._own_retired()
            if retired:
                self._mesh.send(peer.name, RetiredNotice(retired))

    def _take_residency(self, peer: Identity, notice: ResidencyNotice) -> None:
        self._watch.learn_residency(notice.upstream, notice.copies)

    def _take_leaving(self, peer: Identity, notice: LeavingNotice) -> None:
        self._watch.learn_leaving(notice.upstreams)

    def _take_demand(self, peer: Identity, notice: DemandNotice) -> None:
        self._on_demand(notice.demand)

    def _take_dispatches(self, node: str, value: InFlightCounts) -> None:
        work = {sent.upstream: float(sent.in_flight) for sent in value.upstreams}
        now = time.monotonic()
        self._driver.apply(self._driver.router.update_peer_dispatches(node, work, now))

    def _take_stall(self, peer: Identity, notice: StallNotice) -> None:
        self._on_stall(notice.upstream, notice.pause_s)
        self._driver.apply(self._driver.router.on_stall(notice.upstream, time.monotonic()))

    def _take_claim(self, peer: Identity, request: ClaimRequest) -> Ack:
        actions = self._driver.router.on_claim_asked(
            peer.name, request.request_id, request.digest, request.lane, time.monotonic()
        )
        self._driver.apply(actions)
        return Ack(True)

    def _take_claim_answer(self, peer: Identity, answer: ClaimAnswer) -> None:
        router, now = self._driver.router, time.monotonic()
        if answer.granted:
            self._driver.apply(router.on_claim_granted(answer.request_id, answer.lane, now))
        else:
            self._driver.apply(router.on_claim_denied(answer.request_id, now))

    def _take_claim_release(self, peer: Identity, release: ClaimRelease) -> None:
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

    def _take_suspect(self, peer: Identity, notice: SuspectNotice) -> None:
        actions = self._driver.router.on_suspect_learned(
            notice.digest, notice.incidents, notice.cleared, time.monotonic()
        )
        self._driver.apply(actions)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
