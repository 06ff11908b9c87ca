"""Seeded runs of whole controllers under faults, with a quiet end in which all must settle."""

import heapq
import random
import unittest
from dataclasses import replace
from unittest.mock import patch

from result import Err

from ...objects import Unavailable
from .. import AreaController, MemoryLedger, SendOrder, WriteRecord
from ..memory_area import MemoryArea
from .deployments import make_area

MODELS = ("m1", "m2", "m3", "m4", "m5")
ADAPTERS = tuple((f"a{n}", f"m{n % 5 + 1}") for n in range(8))
TRANSIT_S = 5.0


class FaultyArea(MemoryArea):
    """Loses and delays orders and answers while ``rng`` is set."""

    rng: random.Random | None = None

    def _perform(self, action):
        rng = self.rng
        if rng is not None and isinstance(action, SendOrder) and rng.random() < 0.2:
            # Lost, or late, or both arriving now and doubled later.
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
        """Let an order arrive later, whoever holds the lease by then."""
        heapq.heappush(self.late, (self.now + delay_s, len(self.late), action))

    def step(self):
        while self.late and self.late[0][0] <= self.now:
            _, _, action = heapq.heappop(self.late)
            self.engines[action.upstream].receive(action.order, self.now)
        super().step()


def make_faulty(seed: int) -> FaultyArea:
    """Return an area in which engines of both kinds and sizes are mixed."""
    made = make_area(models=MODELS, upstreams=4, memory_mib=90, adapters=ADAPTERS)
    rng = random.Random(seed)
    upstreams = {
        name: replace(u, checks_fence=rng.random() < 0.5)
        for name, u in made.deployment.upstreams.items()
    }
    for name, engine in made.engines.items():
        engine.checks_fence = upstreams[name].checks_fence
    area = FaultyArea(replace(made.deployment, upstreams=upstreams), made.engines)
    area.late = []
    area.rng = rng
    return area


class AreaFaultsTest(unittest.TestCase):
    """Chaos, then quiet."""

    def disturb(self, area, rng):
        """Do one thing that may happen at any time."""
        controller, now = area.controller, area.now
        match rng.randrange(8):
            case 0:
                area.engines[rng.choice(sorted(area.engines))].restart()
            case 1:
                instance = f"n{rng.randrange(10**6)}:x"
                before = area.controller.instance
                area.take_over(AreaController(instance))
                area.controller.on_acknowledged((*self.gone, before), now)
                self.gone.append(before)
            case 2:
                name = rng.choice(MODELS)
                models = dict(area.deployment.models)
                models[name] = replace(models[name], version=str(rng.randrange(3)))
                area.deployment = replace(area.deployment, models=models)
                controller.update_deployment(area.deployment, now)
            case 3 | 4:
                controller.want(rng.choice(ADAPTERS)[0], True, now)
            case 5 | 6:
                controller.note_demand(rng.choice(MODELS), True, now, rng.uniform(1.0, 500.0))
            case 7:
                area.down ^= {rng.choice(sorted(area.engines))}

    def run_seed(self, seed):
        rng = random.Random(seed + 1000)
        area = make_faulty(seed)
        self.gone = []
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
            told = area.controller.explain(name, area.now)
            self.assertEqual(versions, {model.version}, (seed, told))
        for upstream, (_, record) in area.records.items():
            self.assertEqual(record.reservations, (), (seed, upstream))
            held = {r.item: r.memory_mib for r in record.residents}
            self.assertEqual(held, area.engines[upstream].residents, (seed, upstream))

    def test_no_overcommit_and_everything_settles(self):
        """Guards against moves that stop for ever, and memory that is counted wrongly."""
        for seed in range(12):
            with self.subTest(seed=seed):
                self.run_seed(seed)

    def test_finds_hasty_settlement(self):
        """Guards against a check of the memory that cannot fail."""
        hasty = patch.object(MemoryLedger, "_may_settle", lambda ledger, reservation: True)
        with hasty, self.assertRaises(AssertionError):
            for seed in range(12):
                self.run_seed(seed)
