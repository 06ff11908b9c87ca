"""Seeded simulations of whole areas under faults.

Each run ends with a period without faults in which all moves must complete.
"""

import heapq
import random
import unittest
from dataclasses import replace
from unittest.mock import patch

from result import Err

from ...objects import Unavailable
from .. import AreaController, MemoryLedger, SendOrder, WriteRecord
from ..simulated_area import SimulatedArea
from .deployments import make_area

MODELS = ("m1", "m2", "m3", "m4", "m5")
ADAPTERS = tuple((f"a{n}", f"m{n % 5 + 1}") for n in range(8))
TRANSIT_S = 5.0


class FaultyArea(SimulatedArea):
    """Simulated area that loses and delays orders and answers while ``rng`` is set."""

    rng: random.Random | None = None

    def _perform(self, action):
        rng = self.rng
        if rng is not None and isinstance(action, SendOrder) and rng.random() < 0.2:
            # The order is lost, arrives late, or arrives now and possibly again later.
            self.controller.on_order_lost(action.upstream, action.order.order_id, True, self.now)
            if rng.random() < 0.7:
                self.send_late(action, rng.uniform(0.0, TRANSIT_S))
            if rng.random() < 0.5:
                return
            self.engines[action.upstream].receive(action.order, self.now)
            return
        if rng is not None and isinstance(action, WriteRecord) and rng.random() < 0.15:
            applied = self.records.get(action.upstream, (0, None))
            if rng.random() < 0.5 and applied[0] == action.expected:
                self._version += 1
                self.records[action.upstream] = (self._version, action.record)
            lost = Err(Unavailable("put", "memory", "lost", uncertain=True))
            self.controller.on_record_written(action.upstream, lost, self.now)
            return
        super()._perform(action)

    def send_late(self, action, delay_s):
        """Deliver an order later, even if another process holds the lease by then."""
        heapq.heappush(self.late_orders, (self.now + delay_s, len(self.late_orders), action))

    def step(self):
        while self.late_orders and self.late_orders[0][0] <= self.now:
            _, _, action = heapq.heappop(self.late_orders)
            self.engines[action.upstream].receive(action.order, self.now)
        super().step()


def make_faulty(seed: int) -> FaultyArea:
    """Return an area in which some engines check fencing numbers and others ignore them."""
    template = make_area(models=MODELS, upstreams=4, memory_mib=90, adapters=ADAPTERS)
    rng = random.Random(seed)
    upstreams = {
        name: replace(u, checks_fence=rng.random() < 0.5)
        for name, u in template.deployment.upstreams.items()
    }
    for name, engine in template.engines.items():
        engine.checks_fence = upstreams[name].checks_fence
    area = FaultyArea(replace(template.deployment, upstreams=upstreams), template.engines)
    area.late_orders = []
    area.rng = rng
    return area


class AreaFaultsTest(unittest.TestCase):
    """Random faults followed by a period without faults."""

    def disturb(self, area, rng):
        """Cause one random fault or change."""
        controller, now = area.controller, area.now
        match rng.randrange(8):
            case 0:
                area.engines[rng.choice(sorted(area.engines))].restart()
            case 1:
                instance = f"n{rng.randrange(10**6)}:x"
                before = area.controller.instance
                area.take_over(AreaController(instance))
                area.controller.on_instances_retired((*self.ended_instances, before), now)
                self.ended_instances.append(before)
            case 2:
                name = rng.choice(MODELS)
                models = dict(area.deployment.models)
                models[name] = replace(models[name], version=str(rng.randrange(3)))
                area.deployment = replace(area.deployment, models=models)
                controller.update_deployment(area.deployment, now)
            case 3 | 4:
                controller.record_pending_demand(rng.choice(ADAPTERS)[0], True, now)
            case 5 | 6:
                controller.record_demand(rng.choice(MODELS), True, now, rng.uniform(1.0, 500.0))
            case 7:
                area.down ^= {rng.choice(sorted(area.engines))}

    def run_seed(self, seed):
        rng = random.Random(seed + 1000)
        area = make_faulty(seed)
        self.ended_instances = []
        area.take_over(AreaController("n0:x"))
        for _ in range(40):
            area.run(rng.uniform(0.1, 6.0), step_s=0.02)
            self.disturb(area, rng)
            self.assertEqual(sum(e.overcommits for e in area.engines.values()), 0, seed)
        area.rng = None
        area.down.clear()
        area.run(150.0, step_s=0.02)
        self.assertEqual(sum(e.overcommits for e in area.engines.values()), 0, seed)
        for name, model in area.deployment.models.items():
            versions = {version for _, version in area.residents(name)}
            explanation = area.controller.explain(name, area.now)
            self.assertEqual(versions, {model.version}, (seed, explanation))
        for upstream, (_, record) in area.records.items():
            self.assertEqual(record.reservations, (), (seed, upstream))
            recorded = {r.item: r.memory_mib for r in record.residents}
            self.assertEqual(recorded, area.engines[upstream].residents, (seed, upstream))

    def test_no_overcommit_and_everything_settles(self):
        """Guards against moves that never complete and against wrong memory accounting."""
        for seed in range(12):
            with self.subTest(seed=seed):
                self.run_seed(seed)

    def test_finds_hasty_settlement(self):
        """Guards against a memory check that cannot fail.

        The ledger is patched to remove reservations while their orders can still arrive.
        """
        hasty = patch.object(MemoryLedger, "_order_cannot_arrive", lambda ledger, reservation: True)
        with hasty, self.assertRaises(AssertionError):
            for seed in range(12):
                self.run_seed(seed)
