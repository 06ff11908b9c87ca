"""Simulation of a controller with its engines and records in virtual time."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from ..leases import LeaseTerm
from ..objects import Conflict
from ..settings import Deployment
from .actions import ControlAction, ProbeVersion, ReadRecord, ReadStatus, SendOrder, WriteRecord
from .controller import AreaController
from .record import UpstreamRecord
from .simulated_engine import SimulatedEngine

__all__ = ["SimulatedArea"]


@dataclass
class SimulatedArea:
    """Simulated planning area that performs a controller's actions without sockets or delays.

    ``counts`` contains the number of calls that the object API and the engines would receive, by
    action. ``probe`` returns whether the probe of a version passes. ``down`` contains the
    upstreams that are unreachable.

    >>> # area = SimulatedArea(deployment, engines)
    >>> # area.take_over(AreaController("n1:a"))
    >>> # area.run(60.0)
    """

    deployment: Deployment
    engines: dict[str, SimulatedEngine]
    delay_s: float = 0.002
    now: float = 0.0
    epoch: int = 0
    records: dict[str, tuple[int, UpstreamRecord]] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    probe: Callable[[str, str, str], bool] = lambda upstream, name, version: True
    down: set[str] = field(default_factory=set)
    controller: AreaController = field(default_factory=lambda: AreaController("n1:a"))

    def __post_init__(self) -> None:
        self._queue: list[tuple[float, int, ControlAction]] = []
        self._count = 0
        self._version = 0

    def take_over(self, controller: AreaController) -> None:
        """Give the lease to a controller. Pending answers to its predecessor are dropped."""
        self._queue.clear()
        self.controller = controller
        self.epoch += 1
        controller.update_deployment(self.deployment, self.now)
        controller.update_term(LeaseTerm(self.epoch, float("inf")), self.now)

    def run(self, duration_s: float, step_s: float = 0.01) -> None:
        """Advance the virtual time by ``duration_s``, with a step every ``step_s``."""
        end_s = self.now + duration_s
        while self.now < end_s:
            self.step()
            self.now += step_s

    def step(self) -> None:
        """Perform the actions that are due, and run one tick of the controller."""
        while self._queue and self._queue[0][0] <= self.now:
            _, _, action = heapq.heappop(self._queue)
            self._perform(action)
        for action in self.controller.tick(self.now):
            self._count += 1
            heapq.heappush(self._queue, (self.now + self.delay_s, self._count, action))

    def residents(self, name: str) -> set[tuple[str, str]]:
        """Return upstream and version of each resident copy."""
        return {
            (upstream, item.version)
            for upstream, engine in self.engines.items()
            for item in engine.residents
            if item.name == name
        }

    def _perform(self, action: ControlAction) -> None:
        kind = type(action).__name__
        self.counts[kind] = self.counts.get(kind, 0) + 1
        controller, now = self.controller, self.now
        match action:
            case ReadRecord(upstream):
                version, record = self.records.get(upstream, (0, None))
                controller.on_record(upstream, version, record, now)
            case WriteRecord(upstream, record, expected):
                version, _ = self.records.get(upstream, (0, None))
                if version != expected:
                    res = Err(Conflict("put", "memory", upstream))
                    controller.on_record_written(upstream, res, now)
                    return
                self._version += 1
                decoded = UpstreamRecord.decode(record.encode()).unwrap()
                self.records[upstream] = (self._version, decoded)
                controller.on_record_written(upstream, Ok(self._version), now)
            case SendOrder(upstream, order):
                if upstream in self.down or not controller.may_send(action, now):
                    controller.on_order_lost(upstream, order.order_id, False, now)
                    return
                status = self.engines[upstream].receive(order, now)
                controller.on_order_answer(upstream, order.order_id, status, now)
            case ReadStatus(upstream):
                if upstream in self.down:
                    controller.on_status_failed(upstream, now)
                    return
                status = self.engines[upstream].status(now)
                controller.on_status(upstream, status, now, now)
            case ProbeVersion(upstream, name, version):
                ok = self.probe(upstream, name, version)
                controller.on_probe(upstream, name, version, ok, "" if ok else "bad", now)
