"""Property tests: no sequence of lost and late orders or of coordinators overcommits an engine."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ...placement import OrderKind
from .. import Inheritance
from .fixtures import BOUNDS, make_entry, make_service
from .fleet_model import FleetModel

DAYS = settings(max_examples=40, deadline=None, derandomize=True)


def play(seed: int, loss: float, takeovers: bool, seconds: float = 12.0) -> FleetModel:
    """Play a day of random demand, with orders lost and coordinators replaced."""
    rng = Random(seed)
    entries = [make_entry(f"u{i}", f"m{i}") for i in range(3)]
    fleet = FleetModel(
        make_service(), entries, rng, lambda _order: rng.random() < loss, late_s=rng.uniform(1, 6)
    )
    while fleet.now < seconds:
        model, adapter = f"m{rng.randrange(6)}", rng.choice(["", f"a{rng.randrange(12)}"])
        fleet.ask_for({(model, adapter): 1}, {model: rng.randrange(1, 4)})
        fleet.run(rng.uniform(0.05, 0.4))
        if takeovers and rng.random() < 0.08:
            known = fleet.coordinator.inheritance(fleet.now)
            lost = rng.random() < 0.5
            fleet.start_coordinator(
                Inheritance(not_before=fleet.now + BOUNDS.order_handover_s) if lost else known
            )
    return fleet


class OvercommitTest(unittest.TestCase):
    """LIMIT: the engine model raises ``Overcommitted`` where an order asks for too much."""

    @DAYS
    @given(st.integers(0, 2**32))
    def test_calm_network(self, seed):
        """Guards against wrong accounting of models and adapters."""
        play(seed, loss=0.0, takeovers=False)

    @DAYS
    @given(st.integers(0, 2**32))
    def test_lost_and_late_orders(self, seed):
        """Guards against an order that is carried out seconds later, after newer ones."""
        play(seed, loss=0.35, takeovers=False)

    @DAYS
    @given(st.integers(0, 2**32))
    def test_coordinators_that_follow_one_another(self, seed):
        """Guards against a successor that does not count what was under way."""
        play(seed, loss=0.2, takeovers=True)


class ColdLoadTest(unittest.TestCase):
    """CEILING: loads from the weight store in any window."""

    @DAYS
    @given(st.integers(0, 2**32))
    def test_rate_of_the_weight_store(self, seed):
        """Guards against more loads in a window than were agreed, also over takeovers."""
        fleet = play(seed, loss=0.0, takeovers=True)
        times = [at for at, instance, order in fleet.orders if order.kind is OrderKind.LOAD_MODEL]
        window_s = BOUNDS.cold_load_window_s
        most = 1.4 * window_s * BOUNDS.cold_load_factor + 3
        cold = [at for at, _, order in cold_orders(fleet)]
        for first in cold:
            self.assertLessEqual(sum(first <= at <= first + window_s for at in cold), most)
        self.assertLessEqual(len(cold), len(times))


def cold_orders(fleet: FleetModel) -> list:
    """Return the load orders for models that the engine had never held before."""
    held = {name: {f"m{name[1:]}"} for name in fleet.engines}
    found = []
    for at, instance, order in fleet.orders:
        if order.kind is OrderKind.LOAD_MODEL and order.model not in held[instance]:
            held[instance].add(order.model)
            found.append((at, instance, order))
    return found


class HandoverTest(unittest.TestCase):
    """ONE: orders of two coordinators to one engine."""

    @DAYS
    @given(st.integers(0, 2**32))
    def test_engine_has_no_order_within_the_handover(self, seed):
        """Guards against holders that take turns at an engine."""
        rng = Random(seed)
        fleet = FleetModel(make_service(), [make_entry(f"u{i}", f"m{i}") for i in range(3)])
        for _ in range(4):
            for _ in range(8):
                model = f"m{rng.randrange(6)}"
                fleet.ask_for({(model, f"a{rng.randrange(5)}"): 1}, {model: 2})
                fleet.run(0.1)
            before, now = list(fleet.orders), fleet.now
            fleet.start_coordinator(fleet.coordinator.inheritance(fleet.now))
            for _ in range(40):
                fleet.ask_for({(f"m{rng.randrange(6)}", ""): 1}, {"m0": 2})
                fleet.run(0.1)
            for instance in fleet.engines:
                old = max((at for at, i, _ in before if i == instance), default=None)
                new = min(
                    (a for a, i, _ in fleet.orders if i == instance and a > now), default=None
                )
                if old is not None and new is not None:
                    self.assertGreaterEqual(new - old, BOUNDS.order_handover_s)
