"""Property tests of orders under losses, delays and changes of the coordinator."""

import unittest
from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ...placement import OrderKind
from .. import FleetOrder, NodeStatus, OrderAnswer, SendOrder, Takeover
from ..node_status import PendingDemand
from .fixtures import BOUNDS, make_entry, make_service
from .simulated_fleet import SimulatedFleet

PROPERTY_SETTINGS = settings(max_examples=40, deadline=None, derandomize=True)


def simulate(seed: int, loss: float, takeovers: bool, seconds: float = 12.0) -> SimulatedFleet:
    """Run a fleet under random demand, with lost answers and optional changes of coordinator."""
    rng = Random(seed)
    entries = [make_entry(f"u{i}", f"m{i}") for i in range(3)]
    fleet = SimulatedFleet(
        make_service(),
        entries,
        rng,
        lambda _order: rng.random() < loss,
        late_delay_s=rng.uniform(1, 6),
    )
    while fleet.now < seconds:
        model, adapter = f"m{rng.randrange(6)}", rng.choice(["", f"a{rng.randrange(12)}"])
        fleet.report_demand({(model, adapter): 1}, {model: rng.randrange(1, 4)})
        fleet.run(rng.uniform(0.05, 0.4))
        if takeovers and rng.random() < 0.08:
            takeover = fleet.known_orders()
            lost = rng.random() < 0.5
            fleet.start_coordinator(
                Takeover(not_before=fleet.now + BOUNDS.order_handover_s) if lost else takeover
            )
    return fleet


class OvercommitTest(unittest.TestCase):
    """No order exceeds an engine's memory or slots, else the engine raises ``Overcommitted``."""

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_reliable_network(self, seed):
        """Guards against wrong accounting of models and adapters."""
        simulate(seed, loss=0.0, takeovers=False)

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_lost_and_late_orders(self, seed):
        """Guards against an order that is executed seconds late, after newer ones."""
        simulate(seed, loss=0.35, takeovers=False)

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_successive_coordinators(self, seed):
        """Guards against a successor that ignores loads in progress."""
        simulate(seed, loss=0.2, takeovers=True)


class OutdatedKnowledgeTest(unittest.TestCase):
    """A coordinator that takes over an earlier state of an engine than the last one."""

    def test_load_behind_the_known_one_is_counted(self):
        """Guards against overcommitted memory: the node knows of the load before the one that is in
        progress (review case 4, issue 28).
        """
        service = make_service()
        assert service.engine is not None
        engine = replace(service.engine, weights_mb=320.0, cold_loads_per_s=50.0)
        fleet = SimulatedFleet(replace(service, engine=engine), [make_entry("u0", "m0")])

        def demand(model: str, seconds: float) -> None:
            for _ in range(round(seconds / 0.1)):
                fleet.report_demand({(model, ""): 2}, {model: 3})
                fleet.run(0.1)

        demand("m1", 0.8)
        outdated = fleet.coordinator.residency(fleet.now)
        self.assertIn("m1", outdated["u0"].loading)
        demand("m1", 1.5)
        demand("m2", 0.3)
        self.assertIn("m2", fleet.coordinator.trackers["u0"].copies)
        fleet.start_coordinator(Takeover(cold_loads={}, not_before=fleet.now, residency=outdated))
        fleet.run(2.0)
        self.assertEqual(fleet.engines["u0"].models, {"m0", "m1", "m2"})
        demand("m3", 6.0)
        self.assertLessEqual(len(fleet.engines["u0"].models), 3)


class ColdLoadTest(unittest.TestCase):
    """Number of loads from the weight store in any window."""

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_rate_of_the_weight_store(self, seed):
        """Guards against more loads in a window than agreed, also across takeovers."""
        fleet = simulate(seed, loss=0.0, takeovers=True)
        times = [at for at, instance, order in fleet.orders if order.kind is OrderKind.LOAD_MODEL]
        window_s = BOUNDS.cold_load_window_s
        most = 1.4 * window_s * BOUNDS.cold_load_factor + 3
        cold = [at for at, _, order in cold_orders(fleet)]
        for first in cold:
            self.assertLessEqual(sum(first <= at <= first + window_s for at in cold), most)
        self.assertLessEqual(len(cold), len(times))

    @settings(PROPERTY_SETTINGS, max_examples=6)
    @given(st.integers(0, 2**32))
    def test_orders_that_take_long_to_arrive(self, seed):
        """Guards against more loads in a window than agreed: the first orders of a coordinator take
        longer, because each needs a new connection, so their loads begin later than ordered.
        """
        rng = Random(seed)
        service = make_service(models=60)
        assert service.engine is not None
        models = {
            name: replace(spec, load_s=spec.load_s if name == "m0" else 0.3)
            for name, spec in service.engine.models.items()
        }
        engine = replace(service.engine, cold_loads_per_s=8.0, models=models)
        fleet = SimulatedFleet(
            replace(service, engine=engine),
            [make_entry(f"u{i}", f"m{i}") for i in range(30)],
            rng,
            transit_s=lambda: rng.uniform(0.15, 0.25) if fleet.now < 1.0 else 0.0,
        )
        while fleet.now < 9.0:
            requested = [f"m{rng.randrange(60)}" for _ in range(6)]
            fleet.report_demand(
                {(model, ""): 3 for model in requested}, dict.fromkeys(requested, 3)
            )
            fleet.run(0.1)
        window_s, begun = BOUNDS.cold_load_window_s, fleet.cold_loads
        most = 8.0 * window_s * BOUNDS.cold_load_factor + 3
        in_windows = [sum(first <= at <= first + window_s for at in begun) for first in begun]
        self.assertLessEqual(max(in_windows), most)
        # Ensures that the limiter, not the demand, limits the loads in this test.
        self.assertGreaterEqual(max(in_windows), 0.8 * most)


def cold_orders(fleet: SimulatedFleet) -> list:
    """Return the load orders for models that the engine had never loaded before."""
    held = {name: {f"m{name[1:]}"} for name in fleet.engines}
    found = []
    for at, instance, order in fleet.orders:
        if order.kind is OrderKind.LOAD_MODEL and order.model not in held[instance]:
            held[instance].add(order.model)
            found.append((at, instance, order))
    return found


class HandoverTest(unittest.TestCase):
    """Time between orders of two coordinators to one engine."""

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_engine_has_no_order_within_the_handover(self, seed):
        """Guards against orders of two lease holders to one engine within the handover time."""
        rng = Random(seed)
        fleet = SimulatedFleet(make_service(), [make_entry(f"u{i}", f"m{i}") for i in range(3)])
        for _ in range(4):
            for _ in range(8):
                model = f"m{rng.randrange(6)}"
                fleet.report_demand({(model, f"a{rng.randrange(5)}"): 1}, {model: 2})
                fleet.run(0.1)
            before, now = list(fleet.orders), fleet.now
            fleet.start_coordinator(fleet.known_orders())
            for _ in range(40):
                fleet.report_demand({(f"m{rng.randrange(6)}", ""): 1}, {"m0": 2})
                fleet.run(0.1)
            for instance in fleet.engines:
                old = max((at for at, i, _ in before if i == instance), default=None)
                new = min(
                    (a for a, i, _ in fleet.orders if i == instance and a > now), default=None
                )
                if old is not None and new is not None:
                    self.assertGreaterEqual(new - old, BOUNDS.order_handover_s)


class RestartTest(unittest.TestCase):
    """Restart of an engine with an unchanged id."""

    def test_answer_to_an_order_before_the_restart_is_dropped(self):
        """Guards against an old answer that is taken for the answer to the new process's order."""
        fleet = SimulatedFleet(make_service(), [make_entry("u0", "m0")])
        fleet.run(1.0)
        sent = []
        fleet.coordinator.update_status(
            NodeStatus("n1", pending_demand=(PendingDemand("chat", "m1", "", 1, 2.0),)), 1.0
        )
        sent += [act for act in fleet.coordinator.decide(fleet.now) if isinstance(act, SendOrder)]
        self.assertEqual(len(sent), 1)
        entry = make_entry("u0")
        fleet.directory.update("u0", replace(entry, started_ms=2))
        fleet.coordinator.apply_directory(fleet.now)
        tracker = fleet.coordinator.trackers["u0"]
        order = FleetOrder(OrderKind.LOAD_MODEL, "m2", 0)
        tracker.begin_order(order, fleet.now)
        repeat = fleet.coordinator.on_answer(sent[0], OrderAnswer.CONFLICT, fleet.now)
        self.assertIsNone(repeat)
        self.assertIs(tracker.pending, order)
