"""The router and planner of this project as a policy of the benchmark.

Each entry node has a ``Router`` with a delayed view. Load reports of engines arrive late, nodes
exchange their in-flight counts every ``GOSSIP_PERIOD_S`` seconds, and messages between nodes and
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
from .engine import Attempt, Engine
from .fleet import Fleet
from .placement_driver import PlacementDriver
from .result_counter import MAX_GAP_S
from .trace import Arrival

__all__ = ["RoutedNodes"]

REPORT_PERIOD_S = 0.25
REPORT_LAG_S = 0.5
GOSSIP_PERIOD_S = 0.2
PEER_DELAY_S = 0.0005
RESIDENCY_DELAY_S = 0.2
TICK_PERIOD_S = 0.05
CACHE_EVENT_PERIOD_S = 0.5
CACHE_EVENT_LOSS_SHARE = 0.02
TOKEN_REPORT_PERIOD_S = 0.25


class RoutedNodes:
    """Entry nodes with routers in front of the simulated engines."""

    def __init__(self, fleet: Fleet, nodes: int, rng: Random) -> None:
        self.fleet = fleet
        self._rng = rng
        self._placement = PlacementDriver(fleet, self._announce_residency, self._planner_speed)
        domains = fleet.deployment.site.domains
        self._node_names = [f"node-{index}" for index in range(nodes)]
        self.routers = {
            name: Router(
                fleet.deployment,
                NodeIdentity(name, domains[index % len(domains)]),
                Random(rng.random()),
            )
            for index, name in enumerate(self._node_names)
        }
        self._attempts: dict[str, tuple[Attempt, Engine]] = {}
        self._arrivals: dict[str, Arrival] = {}
        self._events_read = dict.fromkeys(fleet.engines, 0)

    def start(self, until: float) -> None:
        """Give the routers the initial residency and schedule all periodic work."""
        clock = self.fleet.clock
        for router in self.routers.values():
            router.update_nodes(self._node_names, 0.0)
            for engine in self.fleet.engines.values():
                router.update_residency(engine.upstream.name, *self._read_residency(engine), 0.0)
        clock.every(TICK_PERIOD_S, until, self._tick)
        clock.every(REPORT_PERIOD_S, until, self._report_loads)
        clock.every(GOSSIP_PERIOD_S, until, self._gossip)
        clock.every(CACHE_EVENT_PERIOD_S, until, self._report_cache_events)
        clock.every(TOKEN_REPORT_PERIOD_S, until, self._report_tokens)
        self._placement.start(until)

    def on_arrival(self, arrival: Arrival) -> None:
        """Submit a request to the router of its entry node."""
        self._arrivals[arrival.request_id] = arrival
        self._placement.record_demand(arrival)
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
        node = self._node_names[arrival.node]
        self._carry_out(node, self.routers[node].submit(request, self.fleet.clock.now))

    def on_engines_lost(self, engines: list[Engine]) -> None:
        """Announce that the engines are gone and fail the requests that run or wait there."""
        for engine in engines:
            self._announce_residency(engine)
            for attempt in (*engine.running.values(), *engine.queue):
                self._fail(attempt, engine, FailureKind.BROKEN)

    def on_engines_recovered(self, engines: list[Engine]) -> None:
        """Announce the residency of the recovered engines."""
        for engine in engines:
            self._announce_residency(engine)

    def _carry_out(self, node: str, actions: Iterable[Action]) -> None:
        clock = self.fleet.clock
        for action in actions:
            match action:
                case Dispatch():
                    self._dispatch(node, action)
                case Refuse():
                    del self._arrivals[action.request_id]
                    self.fleet.results.record_refusal(action.reason.value)
                case Preempt(request_id, _):
                    attempt, engine = self._attempts[request_id]
                    clock.after(
                        0.0, lambda attempt=attempt, engine=engine: self._preempt(attempt, engine)
                    )
                case ClaimDigest(request_id, digest, owner, lane):
                    self._send_to_peer(owner, "on_claim_asked", node, request_id, digest, lane)
                case GrantClaim(peer, request_id, _, lane):
                    self._send_to_peer(peer, "on_claim_granted", request_id, lane)
                case ReleaseClaim(request_id, digest, owner, outcome, incident, lane):
                    args = (node, request_id, digest, outcome, incident, lane)
                    self._send_to_peer(owner, "on_claim_released", *args)
                case _:
                    pass

    def _send_to_peer(self, node: str, method: str, *args: object) -> None:
        def deliver() -> None:
            actions = getattr(self.routers[node], method)(*args, self.fleet.clock.now)
            self._carry_out(node, actions)

        self.fleet.clock.after(PEER_DELAY_S, deliver)

    def _dispatch(self, node: str, action: Dispatch) -> None:
        engine = self.fleet.engines[action.upstream]
        arrival = self._arrivals[action.request_id]
        attempt = Attempt(arrival, action.tokens_done, self._on_first_token, self._on_finished)
        self._attempts[action.request_id] = attempt, engine
        model = arrival.base
        kind = None
        if not engine.reachable:
            kind = FailureKind.NOT_RUN
        elif model not in engine.models:
            kind = FailureKind.NOT_RESIDENT
        if kind is None:
            engine.submit(attempt)
        else:
            attempt.ended = True
            self.fleet.clock.after(0.0, lambda: self._report_failure(attempt, engine, kind))

    def _preempt(self, attempt: Attempt, engine: Engine) -> None:
        if not attempt.ended:
            self._fail(attempt, engine, FailureKind.PREEMPTED)

    def _fail(self, attempt: Attempt, engine: Engine, kind: FailureKind) -> None:
        engine.cancel(attempt.arrival.request_id)
        self._report_failure(attempt, engine, kind)

    def _report_failure(self, attempt: Attempt, engine: Engine, kind: FailureKind) -> None:
        now = self.fleet.clock.now
        node = self._node_names[attempt.arrival.node]
        failure = UpstreamFailure(kind, engine.upstream.name)
        tokens = attempt.tokens_at(now)
        actions = self.routers[node].fail(attempt.arrival.request_id, failure, tokens, now)
        self._carry_out(node, actions)

    def _on_first_token(self, attempt: Attempt) -> None:
        now = self.fleet.clock.now
        self.fleet.results.record_first_token(attempt.arrival, now)
        node = self._node_names[attempt.arrival.node]
        self._carry_out(
            node, self.routers[node].record_first_token(attempt.arrival.request_id, now)
        )

    def _on_finished(self, attempt: Attempt) -> None:
        now = self.fleet.clock.now
        self.fleet.results.record_finish(attempt, now)
        request_id = attempt.arrival.request_id
        node = self._node_names[attempt.arrival.node]
        router = self.routers[node]
        self._report_attempt_tokens(attempt)
        del self._arrivals[request_id]
        del self._attempts[request_id]
        self._carry_out(node, router.finish(request_id, now))

    def _tick(self) -> None:
        for node, router in self.routers.items():
            self._carry_out(node, router.tick(self.fleet.clock.now))

    def _report_loads(self) -> None:
        now = self.fleet.clock.now
        for engine in self.fleet.reachable_engines():
            waiting = len(engine.queue)
            report = LoadReport(engine.upstream.name, len(engine.running), waiting, now)
            self.fleet.clock.after(REPORT_LAG_S, lambda report=report: self._deliver_load(report))

    def _deliver_load(self, report: LoadReport) -> None:
        for node, router in self.routers.items():
            self._carry_out(node, router.update_load(report, self.fleet.clock.now))

    def _gossip(self) -> None:
        for node, router in self.routers.items():
            counts = router.own_dispatches()
            for peer in self._node_names:
                if peer != node:
                    self._send_to_peer(peer, "update_peer_dispatches", node, counts)

    def _report_cache_events(self) -> None:
        for name, engine in self.fleet.engines.items():
            new_events = engine.events[self._events_read[name] :]
            self._events_read[name] = len(engine.events)
            delivered = tuple(
                event for event in new_events if self._rng.random() >= CACHE_EVENT_LOSS_SHARE
            )
            if delivered and engine.reachable:
                for router in self.routers.values():
                    router.update_cache_events(name, delivered, self.fleet.clock.now)

    def _report_tokens(self) -> None:
        for engine in self.fleet.reachable_engines():
            for attempt in list(engine.running.values()):
                if attempt.first_token_at is not None:
                    self._report_attempt_tokens(attempt)

    def _report_attempt_tokens(self, attempt: Attempt) -> None:
        now = self.fleet.clock.now
        tokens = attempt.arrival.output_tokens if attempt.ended else attempt.tokens_at(now)
        router = self.routers[self._node_names[attempt.arrival.node]]
        router.record_tokens(
            attempt.arrival.request_id,
            tokens - attempt.tokens_before - attempt.reported_tokens,
            now,
        )
        attempt.reported_tokens = tokens - attempt.tokens_before

    def _planner_speed(self, engine: Engine) -> float:
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

    def _read_residency(self, engine: Engine) -> tuple[tuple[ResidentCopy, ...], UpstreamState]:
        if not engine.reachable:
            return (), UpstreamState.GONE
        draining = self._placement.draining(engine)
        copies = [ResidentCopy(name, "1", name not in draining) for name in sorted(engine.models)]
        copies += [ResidentCopy(name, "1") for name in engine.adapters]
        return tuple(copies), UpstreamState.LIVE

    def _announce_residency(self, engine: Engine) -> None:
        def deliver() -> None:
            name = engine.upstream.name
            for node, router in self.routers.items():
                copies, state = self._read_residency(engine)
                actions = router.update_residency(name, copies, state, self.fleet.clock.now)
                self._carry_out(node, actions)

        self.fleet.clock.after(RESIDENCY_DELAY_S, deliver)
