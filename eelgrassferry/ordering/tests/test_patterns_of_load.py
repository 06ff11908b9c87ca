"""Loads that the planner answers, each named for its pattern. No network, virtual time."""

import unittest
from dataclasses import replace

from ...dispatch import SlownessFactors, UpstreamLoad
from ...placement import OrderKind
from .fixtures import make_entry, make_service
from .fleet_model import FleetModel


def serve(fleet: FleetModel, model: str, seconds: float, per_step: int, work_s: float) -> None:
    """Let requests for one model arrive steadily."""
    for _ in range(round(seconds / 0.1)):
        fleet.ask_for({}, {model: per_step}, work_s)
        fleet.run(0.1)


class BurstOnOneModelTest(unittest.TestCase):
    """Many requests for the model of a single engine."""

    def test_second_copy_goes_to_the_idle_engine(self):
        """Guards against one engine with all requests while others idle (scale-1)."""
        fleet = FleetModel(
            make_service(), [make_entry("u0", "m0", "m1"), make_entry("u1", "m2"), make_entry("u2")]
        )
        fleet.run(1.0)
        serve(fleet, "m0", 4.0, per_step=1, work_s=0.08)
        self.assertGreaterEqual(len(fleet.holders("m0")), 2)

    def test_several_copies_are_loaded_at_once(self):
        """Guards against a model in great demand that gets one copy after the other: each takes
        seconds to load from the weight store (grown scale-1).
        """
        entries = [make_entry(f"u{number}") for number in range(1, 8)]
        service = make_service()
        service = replace(service, engine=replace(service.engine, cold_loads_per_s=10.0))
        fleet = FleetModel(service, [make_entry("u0", "m0"), *entries])
        fleet.run(1.0)
        # Five seconds of work at once.
        fleet.ask_for({}, {"m0": 100}, 0.05)
        fleet.run(0.5)
        self.assertGreaterEqual(len([o for _, _, o in fleet.orders if o.model == "m0"]), 2)

    def test_overloaded_copies_get_as_many_more_at_once(self):
        """Guards against a demand that jumps and is followed by one copy after the other, because
        its requests are more work than is known of (grown trouble-2: two to eleven copies in 18 s).
        """
        held = [make_entry(f"u{number}", "m0") for number in range(4)]
        free = [make_entry(f"u{number}") for number in range(4, 16)]
        service = make_service()
        service = replace(service, engine=replace(service.engine, cold_loads_per_s=10.0))
        fleet = FleetModel(service, [*held, *free])
        fleet.run(1.0)
        late = {entry.instance: UpstreamLoad(5.0, 0.0, {0: 1.0}) for entry in held}
        fleet.ask_for({}, {"m0": 10}, 0.01, loads=late)
        fleet.run(0.5)
        ordered = [order for _, _, order in fleet.orders if order.model == "m0"]
        self.assertEqual(len(ordered), 4)

    def test_further_copies_go_to_fast_engines(self):
        """Guards against a model in demand on the slowest engines, which serve it late (grown
        trouble-2: three of its first four copies were on engines twice as slow as most).
        """
        entries = [make_entry("u0", "m0"), *(make_entry(f"u{number}") for number in range(1, 6))]
        fleet = FleetModel(make_service(), entries)
        fleet.pace.update(SlownessFactors({"u1": 2.0, "u2": 2.5, "u3": 0.6, "u4": 2.0, "u5": 2.0}))
        fleet.run(1.0)
        late = {"u0": UpstreamLoad(5.0, 0.0, {0: 1.0})}
        fleet.ask_for({}, {"m0": 10}, 0.01, loads=late)
        fleet.run(0.2)
        self.assertEqual([instance for _, instance, _ in fleet.orders], ["u3"])

    def test_steady_light_demand_moves_nothing(self):
        """Guards against churn: a copy that copes needs no other."""
        fleet = FleetModel(make_service(2), [make_entry("u0", "m0"), make_entry("u1", "m1")])
        fleet.run(1.0)
        for _ in range(40):
            fleet.ask_for({}, {"m0": 1}, 0.01)
            fleet.run(0.9)
        self.assertEqual(len(fleet.orders), 0)


class DemandMovesToColdModelsTest(unittest.TestCase):
    """The busy models fall silent, and others that no engine holds are asked for."""

    def test_waiting_requests_get_their_model(self):
        """Guards against models that are asked for and never served."""
        fleet = FleetModel(make_service(), [make_entry("u0", "m0", "m1"), make_entry("u1", "m2")])
        fleet.run(1.0)
        for _ in range(100):
            missing = [m for m in ("m3", "m4", "m5") if not fleet.holders(m)]
            fleet.ask_for({(m, ""): 1 for m in missing}, {m: 1 for m in missing})
            fleet.run(0.1)
        asked = {order.model for _, _, order in fleet.orders if order.kind is OrderKind.LOAD_MODEL}
        self.assertLessEqual({"m3", "m4", "m5"}, asked)

    def test_weights_at_hand_are_preferred(self):
        """Guards against loads from the weight store where an engine's disk has the weights."""
        fleet = FleetModel(
            make_service(),
            [make_entry("u0", "m0"), make_entry("u1", "m1", on_disk=("m4",)), make_entry("u2")],
        )
        fleet.run(1.0)
        fleet.ask_for({("m4", ""): 1})
        fleet.run(1.0)
        self.assertEqual(fleet.holders("m4"), ["u1"])

    def test_copies_with_running_requests_are_not_evicted(self):
        """Guards against unloads that wait for long runs and block the engine meanwhile."""
        fleet = FleetModel(make_service(), [make_entry("u0", "m0", "m1")])
        fleet.run(1.0)
        for _ in range(20):
            fleet.ask_for({("m2", ""): 1}, running={("u0", "m0", ""): 2})
            fleet.run(0.1)
        self.assertIn("m0", fleet.engines["u0"].models)
        self.assertIn("m2", fleet.engines["u0"].models)


class RareAdaptersAtOnceTest(unittest.TestCase):
    """Adapters that nobody used before are asked for at the same moment."""

    def test_all_are_loaded_within_their_target(self):
        """Guards against adapters that wait one after the other for reports."""
        fleet = FleetModel(make_service(), [make_entry("u0", "m0"), make_entry("u1", "m0")])
        fleet.run(1.0)
        wants = {("m0", f"a{i}"): 1 for i in range(6)}
        began = fleet.now
        while fleet.now - began < 0.4:
            fleet.ask_for(wants)
            fleet.run(0.02)
        loaded = {pair for engine in fleet.engines.values() for pair in engine.adapters}
        self.assertEqual(len(loaded), 6)

    def test_idle_adapter_gives_way_and_one_in_use_does_not(self):
        """Guards against an eviction that waits for running requests."""
        fleet = FleetModel(make_service(), [make_entry("u0", "m0")])
        fleet.run(1.0)
        for i in range(4):
            fleet.ask_for({("m0", f"a{i}"): 1})
            fleet.run(0.1)
        fleet.run(1.0)
        for _ in range(10):
            fleet.ask_for({("m0", "a9"): 1}, running={("u0", "m0", "a0"): 1})
            fleet.run(0.1)
        adapters = {adapter for _, adapter in fleet.engines["u0"].adapters}
        self.assertIn("a0", adapters)
        self.assertIn("a9", adapters)

    def test_engine_that_loads_a_model_gets_no_adapter_order(self):
        """Guards against conflicts: engines take no adapters while a model is loaded."""
        fleet = FleetModel(make_service(), [make_entry("u0", "m0")])
        fleet.run(1.0)
        fleet.ask_for({("m1", ""): 1})
        fleet.run(0.1)
        fleet.ask_for({("m1", ""): 1, ("m0", "a1"): 1})
        fleet.run(0.3)
        kinds = [order.kind for _, _, order in fleet.orders]
        self.assertEqual(kinds, [OrderKind.LOAD_MODEL])


class CrashedEngineTest(unittest.TestCase):
    """An engine is gone, and its registration is still there."""

    def test_its_models_are_loaded_elsewhere_at_once(self):
        """Guards against waiting for the registration to lapse (3.6 s on scale-1)."""
        fleet = FleetModel(make_service(), [make_entry("u0", "m0"), make_entry("u1", "m1")])
        fleet.run(1.0)
        fleet.ask_for({("m0", ""): 2}, {"m0": 2}, doubts={"u0": 2})
        fleet.run(1.6)
        self.assertIn("u1", fleet.holders("m0"))

    def test_one_weak_sign_is_not_enough(self):
        """Guards against giving up an engine for one slow connection."""
        fleet = FleetModel(make_service(), [make_entry("u0", "m0"), make_entry("u1", "m1")])
        fleet.run(1.0)
        fleet.ask_for({}, {"m0": 2}, doubts={"u0": 1})
        fleet.run(1.0)
        self.assertEqual(fleet.holders("m0"), ["u0"])
