"""The router and planner of this project as a policy of the benchmark.

Each entry node has a ``Router`` with a delayed view. Load reports of engines arrive late, nodes
exchange their in-flight counts every ``GOSSIP_S`` seconds, and messages between nodes and
residency changes are delayed.
"""

from collections.abc import Iterable
from random import Random
from statistics import median

from ..routing import (
    Action,
    ClaimDigest,
    Dispatch,
    FailureKind,
    GrantClaim,
    LoadReport,
    NodeIdentity,
    Preempt,
    Refuse,
    ReleaseClaim,
    ResidentCopy,
    Router,
    RouteRequest,
    UpstreamFailure,
    UpstreamState,
)
from .engine import Engine, Run
from .fleet import Fleet
from .placed import PlacementMover
from .tally import MAX_GAP_S
from .trace import Arrival

__all__ = ["RoutedNodes"]

REPORT_EVERY_S = 0.25
REPORT_LAG_S = 0.5
GOSSIP_S = 0.2
PEER_DELAY_S = 0.0005
RESIDENCY_DELAY_S = 0.2
TICK_S = 0.05
EVENTS_EVERY_S = 0.5
EVENT_LOSS = 0.02
TOKENS_EVERY_S = 0.25


class RoutedNodes:
    """Entry nodes with routers in front of the simulated engines."""

    def __init__(self, fleet: Fleet, nodes: int, rng: Random) -> None:
        self.fleet = fleet
        self._rng = rng
        self._mover = PlacementMover(fleet, self._spread, self._speed)
        domains = fleet.deployment.site.domains
        self._names = [f"node-{index}" for index in range(nodes)]
        self.routers = {
            name: Router(
                fleet.deployment,
                NodeIdentity(name, domains[index % len(domains)]),
                Random(rng.random()),
            )
            for index, name in enumerate(self._names)
        }
        self._runs: dict[str, tuple[Run, Engine]] = {}
        self._arrivals: dict[str, Arrival] = {}
        self._events_read = dict.fromkeys(fleet.engines, 0)

    def start(self, until: float) -> None:
        """Give the routers the initial residency and schedule all periodic work."""
        clock = self.fleet.clock
        for router in self.routers.values():
            router.update_nodes(self._names, 0.0)
            for engine in self.fleet.engines.values():
                router.update_residency(engine.upstream.name, *self._residency(engine), 0.0)
        clock.every(TICK_S, until, self._tick)
        clock.every(REPORT_EVERY_S, until, self._report)
        clock.every(GOSSIP_S, until, self._gossip)
        clock.every(EVENTS_EVERY_S, until, self._tell_events)
        clock.every(TOKENS_EVERY_S, until, self._tell_tokens)
        self._mover.start(until)

    def arrive(self, arrival: Arrival) -> None:
        """Submit a request to the router of its entry node."""
        self._arrivals[arrival.request_id] = arrival
        self._mover.note_demand(arrival)
        request = RouteRequest(
            arrival.request_id,
            arrival.name,
            arrival.urgent,
            arrival.first_token_by,
            arrival.prompt_tokens,
            arrival.output_tokens,
            arrival.request_id,
            arrival.prefix_hashes,
        )
        node = self._names[arrival.node]
        self._carry_out(node, self.routers[node].submit(request, self.fleet.clock.now))

    def engines_lost(self, engines: list[Engine]) -> None:
        """Announce that the engines are gone and fail the requests that run or wait there."""
        for engine in engines:
            self._spread(engine)
            for run in (*engine.running.values(), *engine.queue):
                self._fail(run, engine, FailureKind.BROKEN)

    def engines_back(self, engines: list[Engine]) -> None:
        """Announce the residency of the recovered engines."""
        for engine in engines:
            self._spread(engine)

    def _carry_out(self, node: str, actions: Iterable[Action]) -> None:
        clock = self.fleet.clock
        for action in actions:
            match action:
                case Dispatch():
                    self._dispatch(node, action)
                case Refuse():
                    del self._arrivals[action.request_id]
                    self.fleet.tally.note_refusal(action.reason.value)
                case Preempt(request_id, _):
                    run, engine = self._runs[request_id]
                    clock.after(0.0, lambda run=run, engine=engine: self._preempt(run, engine))
                case ClaimDigest(request_id, digest, owner, lane):
                    self._to(owner, "on_claim_asked", node, request_id, digest, lane)
                case GrantClaim(peer, request_id, _, lane):
                    self._to(peer, "on_claim_granted", request_id, lane)
                case ReleaseClaim(request_id, digest, owner, outcome, incident, lane):
                    args = (node, request_id, digest, outcome, incident, lane)
                    self._to(owner, "on_claim_released", *args)
                case _:
                    pass

    def _to(self, node: str, method: str, *args: object) -> None:
        def deliver() -> None:
            actions = getattr(self.routers[node], method)(*args, self.fleet.clock.now)
            self._carry_out(node, actions)

        self.fleet.clock.after(PEER_DELAY_S, deliver)

    def _dispatch(self, node: str, action: Dispatch) -> None:
        engine = self.fleet.engines[action.upstream]
        arrival = self._arrivals[action.request_id]
        run = Run(arrival, action.tokens_done, self._first_token, self._finish)
        self._runs[action.request_id] = run, engine
        model = arrival.base
        kind = None
        if not engine.reachable:
            kind = FailureKind.NOT_RUN
        elif model not in engine.models:
            kind = FailureKind.NOT_RESIDENT
        if kind is None:
            engine.submit(run)
        else:
            run.ended = True
            self.fleet.clock.after(0.0, lambda: self._report_failure(run, engine, kind))

    def _preempt(self, run: Run, engine: Engine) -> None:
        if not run.ended:
            self._fail(run, engine, FailureKind.PREEMPTED)

    def _fail(self, run: Run, engine: Engine, kind: FailureKind) -> None:
        engine.cancel(run.arrival.request_id)
        self._report_failure(run, engine, kind)

    def _report_failure(self, run: Run, engine: Engine, kind: FailureKind) -> None:
        now = self.fleet.clock.now
        node = self._names[run.arrival.node]
        failure = UpstreamFailure(kind, engine.upstream.name)
        tokens = run.tokens(now)
        actions = self.routers[node].fail(run.arrival.request_id, failure, tokens, now)
        self._carry_out(node, actions)

    def _first_token(self, run: Run) -> None:
        now = self.fleet.clock.now
        self.fleet.tally.note_first_token(run.arrival, now)
        node = self._names[run.arrival.node]
        self._carry_out(node, self.routers[node].record_first_token(run.arrival.request_id, now))

    def _finish(self, run: Run) -> None:
        now = self.fleet.clock.now
        self.fleet.tally.note_finish(run, now)
        request_id = run.arrival.request_id
        node = self._names[run.arrival.node]
        router = self.routers[node]
        self._tell_run_tokens(run)
        del self._arrivals[request_id]
        del self._runs[request_id]
        self._carry_out(node, router.finish(request_id, now))

    def _tick(self) -> None:
        for node, router in self.routers.items():
            self._carry_out(node, router.tick(self.fleet.clock.now))

    def _report(self) -> None:
        now = self.fleet.clock.now
        for engine in self.fleet.live():
            waiting = len(engine.queue)
            report = LoadReport(engine.upstream.name, len(engine.running), waiting, now)
            self.fleet.clock.after(REPORT_LAG_S, lambda report=report: self._deliver(report))

    def _deliver(self, report: LoadReport) -> None:
        for node, router in self.routers.items():
            self._carry_out(node, router.update_load(report, self.fleet.clock.now))

    def _gossip(self) -> None:
        for node, router in self.routers.items():
            work = router.own_dispatches()
            for peer in self._names:
                if peer != node:
                    self._to(peer, "update_peer_dispatches", node, work)

    def _tell_events(self) -> None:
        for name, engine in self.fleet.engines.items():
            new = engine.events[self._events_read[name] :]
            self._events_read[name] = len(engine.events)
            kept = tuple(event for event in new if self._rng.random() >= EVENT_LOSS)
            if kept and engine.reachable:
                for router in self.routers.values():
                    router.update_cache_events(name, kept, self.fleet.clock.now)

    def _tell_tokens(self) -> None:
        for engine in self.fleet.live():
            for run in list(engine.running.values()):
                if run.first_token_at is not None:
                    self._tell_run_tokens(run)

    def _tell_run_tokens(self, run: Run) -> None:
        now = self.fleet.clock.now
        tokens = run.arrival.output_tokens if run.ended else run.tokens(now)
        router = self.routers[self._names[run.arrival.node]]
        router.record_tokens(run.arrival.request_id, tokens - run.tokens_before - run.told, now)
        run.told = tokens - run.tokens_before

    def _speed(self, engine: Engine) -> float:
        """Return the decode speed of an engine as the planner assumes it, in tokens/s.

        This is the configured speed divided by the slowness factor that the routers observe.
        """
        if not engine.reachable:
            return 0.0
        now = self.fleet.clock.now
        name = engine.upstream.name
        slowness = median(router.slowness(name, now) for router in self.routers.values())
        speed = engine.upstream.decode_tokens_per_s / max(1.0, slowness)
        # Beyond the allowed gap between tokens, a copy serves hardly any request within target.
        return speed if engine.upstream.max_batch / speed <= MAX_GAP_S else 0.05 * speed

    def _residency(self, engine: Engine) -> tuple[tuple[ResidentCopy, ...], UpstreamState]:
        if not engine.reachable:
            return (), UpstreamState.GONE
        draining = self._mover.draining(engine)
        copies = [ResidentCopy(name, "1", name not in draining) for name in sorted(engine.models)]
        copies += [ResidentCopy(name, "1") for name in engine.adapters]
        return tuple(copies), UpstreamState.LIVE

    def _spread(self, engine: Engine) -> None:
        def deliver() -> None:
            name = engine.upstream.name
            for node, router in self.routers.items():
                copies, state = self._residency(engine)
                actions = router.update_residency(name, copies, state, self.fleet.clock.now)
                self._carry_out(node, actions)

        self.fleet.clock.after(RESIDENCY_DELAY_S, deliver)
