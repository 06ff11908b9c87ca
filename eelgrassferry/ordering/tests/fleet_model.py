"""Coordinators, engines and a lossy network between them, on virtual time."""

import heapq
from collections.abc import Callable, Mapping
from itertools import count
from random import Random

from ...dispatch import PrefillSlownessEstimator, UpstreamLoad
from ...fleet import FleetConfig, Service, UpstreamDirectory, UpstreamEntry
from ...placement import OrderKind
from .. import (
    AskReport,
    Coordinator,
    FleetOrder,
    GiveOrder,
    Inheritance,
    NodeStatus,
    OrderAnswer,
    OrderHistory,
)
from ..node_status import Want
from .engine_model import EngineModel
from .fixtures import BOUNDS

__all__ = ["FleetModel"]

STEP_S = 0.02
REPORT_LAG_S = 0.1


class FleetModel:
    """One service's engines under one coordinator at a time.

    ``lose`` decides by order whether its answer is lost; a lost order arrives after ``late_s``.
    Other orders arrive after ``transit_s()``. ``cold_loads`` are the times at which loads from the
    weight store began.
    """

    def __init__(
        self,
        service: Service,
        entries: list[UpstreamEntry],
        rng: Random | None = None,
        lose: Callable[[FleetOrder], bool] = lambda order: False,
        late_s: float = 4.0,
        transit_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        assert service.engine is not None
        self.now = 0.0
        self.service = service
        self.engines = {e.instance: EngineModel(service.engine, e) for e in entries}
        self.directory = UpstreamDirectory()
        self.directory.replace({e.instance: e for e in entries}, 0.0)
        self.config = FleetConfig(1, (), {service.name: service})
        self.orders: list[tuple[float, str, FleetOrder]] = []
        self.wants: dict[tuple[str, str], int] = {}
        self._rng = rng or Random(1)
        self._lose = lose
        self.cold_loads: list[float] = []
        self._late_s = late_s
        self._transit_s = transit_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = count()
        self.pace = PrefillSlownessEstimator()
        self.coordinator = self.start_coordinator(Inheritance(cold_loads={}))

    def start_coordinator(self, inherited: Inheritance) -> Coordinator:
        """Replace the coordinator, as after the end of a lease."""
        self.coordinator = Coordinator(self.directory, BOUNDS, inherited, self.pace)
        self.coordinator.set_config(self.config, self.now)
        self.coordinator.take_directory(self.now)
        return self.coordinator

    def known_orders(self) -> Inheritance:
        """Return what a node that has heard all of the coordinator's news knows."""
        self.coordinator.take_order_news(self.now)
        history = OrderHistory(BOUNDS)
        history.take(self.coordinator.told_order_news(self.now), complete=True, now=self.now)
        return history.inheritance(self.now)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for instance, engine in self.engines.items():
                if engine.advance(self.now):
                    self.directory.update(instance, engine.entry)
                    self.coordinator.take_directory(self.now)
            for action in self.coordinator.decide(self.now):
                match action:
                    case GiveOrder():
                        self._give(action)
                    case AskReport(entry):
                        self._ask(entry.instance)

    def ask_for(
        self,
        wants: Mapping[tuple[str, str], int],
        arrivals: Mapping[str, int] | None = None,
        work_s: float = 0.05,
        running: Mapping[tuple[str, str, str], int] | None = None,
        doubts: Mapping[str, int] | None = None,
        loads: Mapping[str, UpstreamLoad] | None = None,
    ) -> None:
        """Tell the coordinator what requests wait for, and how many came for each model."""
        name = self.service.name
        status = NodeStatus(
            "n1",
            arrivals={(name, m): (n, n * work_s) for m, n in (arrivals or {}).items()},
            wants=tuple(Want(name, m, a, n, 2.0) for (m, a), n in wants.items()),
            running=dict(running or {}),
            doubts=dict(doubts or {}),
            loads=dict(loads or {}),
        )
        self.coordinator.take_status(status, self.now)

    def holders(self, model: str) -> list[str]:
        """Return the engines that hold a model."""
        return [name for name, engine in self.engines.items() if model in engine.models]

    def _later(self, seconds: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._serial), event))

    def _give(self, action: GiveOrder) -> None:
        instance, order, coordinator = action.entry.instance, action.order, self.coordinator
        self.orders.append((self.now, instance, order))
        if self._lose(order):
            self._later(self._late_s, lambda: self._obey(instance, order))
            self._later(0.35, lambda: self._answer(coordinator, action, OrderAnswer.UNKNOWN))
            return
        transit_s = self._transit_s()
        if not transit_s:
            self._answer_later(coordinator, action, self._obey(instance, order))
            return
        self._later(
            transit_s,
            lambda: self._answer_later(coordinator, action, self._obey(instance, order)),
        )

    def _obey(self, instance: str, order: FleetOrder) -> OrderAnswer:
        engine = self.engines[instance]
        answer = engine.obey(order, self.now)
        is_load = order.kind is OrderKind.LOAD_MODEL and answer is OrderAnswer.ACCEPTED
        if is_load and order.model not in engine.entry.on_disk:
            self.cold_loads.append(self.now)
        return answer

    def _answer_later(
        self, coordinator: Coordinator, given: GiveOrder, answer: OrderAnswer
    ) -> None:
        self._later(0.004, lambda: self._answer(coordinator, given, answer))

    def _answer(self, coordinator: Coordinator, given: GiveOrder, answer: OrderAnswer) -> None:
        if coordinator is not self.coordinator:
            return
        again = coordinator.take_answer(given, answer, self.now)
        if again is not None:
            self._give(again)

    def _ask(self, instance: str) -> None:
        report, asked_at, coordinator = self.engines[instance].report(), self.now, self.coordinator
        self._later(
            REPORT_LAG_S,
            lambda: coordinator.take_report(instance, report, asked_at, self.now),
        )
