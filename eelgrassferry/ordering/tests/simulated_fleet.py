"""Simulation of coordinators, engines and a lossy network between them, in virtual time."""

import heapq
from collections.abc import Callable, Mapping
from dataclasses import replace
from itertools import count
from random import Random

from ...dispatch import PrefillSlownessEstimator, UpstreamLoad, UpstreamNotices
from ...fleet import FleetConfig, Service, UpstreamDirectory, UpstreamEntry
from ...placement import OrderKind
from .. import (
    Coordinator,
    EngineReport,
    FleetOrder,
    NodeStatus,
    OrderAnswer,
    OrderHistory,
    ReadReport,
    SendOrder,
    Takeover,
)
from ..node_status import PendingDemand
from .fixtures import BOUNDS
from .simulated_engine import SimulatedEngine

__all__ = ["SimulatedFleet"]

STEP_S = 0.02
REPORT_LAG_S = 0.1
# Number of past reports of an engine that are kept, one for each step.
REPORTS_KEPT = 20


class SimulatedFleet:
    """Engines of one service under one coordinator at a time.

    ``loses_answer`` decides for each order whether its answer is lost; such an order arrives after
    ``late_delay_s``. Other orders arrive after ``transit_s()``, and once more after
    ``doubled_after_s`` if that is set. Reports are out of date by ``report_age_s``. ``orders``
    records all orders as they are sent, and ``cold_loads`` the times at which loads from the weight
    store began.
    """

    def __init__(
        self,
        service: Service,
        entries: list[UpstreamEntry],
        rng: Random | None = None,
        loses_answer: Callable[[FleetOrder], bool] = lambda order: False,
        late_delay_s: float = 4.0,
        transit_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        assert service.engine is not None
        self.now = 0.0
        self.service = service
        self.engines = {e.instance: SimulatedEngine(service.engine, e) for e in entries}
        self.directory = UpstreamDirectory()
        self.directory.replace({e.instance: e for e in entries}, 0.0)
        self.config = FleetConfig(1, (), {service.name: service})
        self.orders: list[tuple[float, str, FleetOrder]] = []
        self.pending_demand: dict[tuple[str, str], int] = {}
        self._rng = rng or Random(1)
        self._loses_answer = loses_answer
        self.cold_loads: list[float] = []
        self.late_delay_s = late_delay_s
        self.doubled_after_s: float | None = None
        self.report_age_s = 0.0
        self._reports: dict[str, list[tuple[float, EngineReport]]] = {}
        self._is_frozen = False
        self._transit_s = transit_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = count()
        self.slowness = PrefillSlownessEstimator()
        self.notices = UpstreamNotices()
        self.coordinator = self.start_coordinator(Takeover(cold_loads={}))

    def start_coordinator(self, inherited: Takeover) -> Coordinator:
        """Replace the coordinator, as after the end of a lease."""
        self.coordinator = Coordinator(
            self.directory, BOUNDS, inherited, self.slowness, self.notices
        )
        self.coordinator.set_config(self.config, self.now)
        self.coordinator.apply_directory(self.now)
        return self.coordinator

    def known_orders(self) -> Takeover:
        """Return what a node that has received all updates would take over."""
        self.coordinator.pop_order_update(self.now)
        history = OrderHistory(BOUNDS)
        history.apply(self.coordinator.full_order_update(self.now), complete=True, now=self.now)
        return history.takeover(self.now)

    def restart_engine(self, instance: str) -> None:
        """Restart an engine without models, under the same id."""
        old = self.engines[instance]
        entry = replace(old.entry, started_ms=old.entry.started_ms + 1, residents={})
        self.engines[instance] = SimulatedEngine(old.spec, entry)
        self._reports.pop(instance, None)
        self.directory.update(instance, entry)
        self.coordinator.apply_directory(self.now)

    def freeze(self, seconds: float) -> None:
        """Advance the virtual time while the coordinator is frozen; engines go on."""
        self._is_frozen = True
        self.run(seconds)
        self._is_frozen = False

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for instance, engine in self.engines.items():
                self._reports.setdefault(instance, []).append((self.now, engine.report()))
                if engine.advance(self.now):
                    self.directory.update(instance, engine.entry)
                    self.coordinator.apply_directory(self.now)
            if self._is_frozen:
                continue
            for action in self.coordinator.decide(self.now):
                match action:
                    case SendOrder():
                        self._send(action)
                    case ReadReport(entry):
                        self._read_report(entry.instance)

    def report_demand(
        self,
        pending_demand: Mapping[tuple[str, str], int],
        arrivals: Mapping[str, int] | None = None,
        work_s: float = 0.05,
        running: Mapping[tuple[str, str, str], int] | None = None,
        suspicions: Mapping[str, int] | None = None,
        loads: Mapping[str, UpstreamLoad] | None = None,
    ) -> None:
        """Send the coordinator a status of node ``n1``.

        ``pending_demand`` counts waiting requests by (model, adapter), and ``arrivals`` the
        requests by model, whose prompts take ``work_s`` seconds each.
        """
        name = self.service.name
        status = NodeStatus(
            "n1",
            arrivals={(name, m): (n, n * work_s) for m, n in (arrivals or {}).items()},
            pending_demand=tuple(
                PendingDemand(name, m, a, n, 2.0) for (m, a), n in pending_demand.items()
            ),
            running=dict(running or {}),
            suspicions=dict(suspicions or {}),
            loads=dict(loads or {}),
        )
        self.coordinator.update_status(status, self.now)

    def holders(self, model: str) -> list[str]:
        """Return the engines that have a model loaded."""
        return [name for name, engine in self.engines.items() if model in engine.models]

    def _schedule(self, seconds: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._serial), event))

    def _send(self, action: SendOrder) -> None:
        instance, order, coordinator = action.entry.instance, action.order, self.coordinator
        self.orders.append((self.now, instance, order))
        if self._loses_answer(order):
            self._schedule(self.late_delay_s, lambda: self._handle_order(instance, order))
            self._schedule(0.35, lambda: self._answer(coordinator, action, OrderAnswer.UNKNOWN))
            return
        if self.doubled_after_s is not None:
            self._schedule(self.doubled_after_s, lambda: self._handle_order(instance, order))
        transit_s = self._transit_s()
        if not transit_s:
            self._schedule_answer(coordinator, action, self._handle_order(instance, order))
            return
        self._schedule(
            transit_s,
            lambda: self._schedule_answer(coordinator, action, self._handle_order(instance, order)),
        )

    def _handle_order(self, instance: str, order: FleetOrder) -> OrderAnswer:
        engine = self.engines[instance]
        answer = engine.handle_order(order, self.now)
        is_load = order.kind is OrderKind.LOAD_MODEL and answer is OrderAnswer.ACCEPTED
        if is_load and order.model not in engine.entry.on_disk:
            self.cold_loads.append(self.now)
        return answer

    def _schedule_answer(
        self, coordinator: Coordinator, sent: SendOrder, answer: OrderAnswer
    ) -> None:
        self._schedule(0.004, lambda: self._answer(coordinator, sent, answer))

    def _answer(self, coordinator: Coordinator, sent: SendOrder, answer: OrderAnswer) -> None:
        if self._is_frozen:
            self._schedule(STEP_S, lambda: self._answer(coordinator, sent, answer))
            return
        if coordinator is not self.coordinator:
            return
        repeat = coordinator.on_answer(sent, answer, self.now)
        if repeat is not None:
            self._send(repeat)

    def _read_report(self, instance: str) -> None:
        taken = self._reports.get(instance, [])
        del taken[:-REPORTS_KEPT]
        as_of = self.now - self.report_age_s
        report = next(
            (report for at, report in reversed(taken) if at <= as_of),
            taken[0][1] if taken else self.engines[instance].report(),
        )
        requested_at, coordinator = self.now, self.coordinator
        self._schedule(
            REPORT_LAG_S,
            lambda: self._apply_report(coordinator, instance, report, requested_at),
        )

    def _apply_report(
        self, coordinator: Coordinator, instance: str, report: EngineReport, requested_at: float
    ) -> None:
        if self._is_frozen:
            self._schedule(
                STEP_S, lambda: self._apply_report(coordinator, instance, report, requested_at)
            )
        else:
            coordinator.apply_report(instance, report, requested_at, self.now)
