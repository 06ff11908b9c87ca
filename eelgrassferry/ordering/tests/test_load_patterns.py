"""Tests of the planner under typical patterns of load, simulated in virtual time."""

import unittest
from dataclasses import replace
from unittest.mock import patch

from ...dispatch import CoordinatorResidency, SlownessFactors, UpstreamLoad
from ...fleet import FleetConfig, UpstreamNotice
from ...placement import OrderKind
from .. import Takeover
from ..planner import Planner
from .fixtures import make_entry, make_service
from .simulated_fleet import SimulatedFleet


def serve(fleet: SimulatedFleet, model: str, seconds: float, per_step: int, work_s: float) -> None:
    """Simulate steady arrivals for one model."""
    for _ in range(round(seconds / 0.1)):
        fleet.report_demand({}, {model: per_step}, work_s)
        fleet.run(0.1)


class BurstOnOneModelTest(unittest.TestCase):
    """Many requests for a model with few copies."""

    def test_second_copy_goes_to_the_idle_engine(self):
        """Guards against one engine that serves all requests while others idle (scenario
        scale-1).
        """
        fleet = SimulatedFleet(
            make_service(), [make_entry("u0", "m0", "m1"), make_entry("u1", "m2"), make_entry("u2")]
        )
        fleet.run(1.0)
        serve(fleet, "m0", 4.0, per_step=1, work_s=0.08)
        self.assertGreaterEqual(len(fleet.holders("m0")), 2)

    def test_several_copies_are_loaded_at_once(self):
        """Guards against loading the copies of a model in high demand one after the other: each
        takes seconds to load from the weight store (enlarged scenario scale-1).
        """
        entries = [make_entry(f"u{number}") for number in range(1, 8)]
        service = make_service()
        service = replace(service, engine=replace(service.engine, cold_loads_per_s=10.0))
        fleet = SimulatedFleet(service, [make_entry("u0", "m0"), *entries])
        fleet.run(1.0)
        # Five seconds of work at once.
        fleet.report_demand({}, {"m0": 100}, 0.05)
        fleet.run(0.5)
        self.assertGreaterEqual(len([o for _, _, o in fleet.orders if o.model == "m0"]), 2)

    def test_overloaded_copies_are_doubled_at_once(self):
        """Guards against loading copies one after the other when demand jumps and the work of its
        requests is underestimated (enlarged scenario trouble-2: from two to eleven copies in
        18 s).
        """
        held = [make_entry(f"u{number}", "m0") for number in range(4)]
        free = [make_entry(f"u{number}") for number in range(4, 16)]
        service = make_service()
        service = replace(service, engine=replace(service.engine, cold_loads_per_s=10.0))
        fleet = SimulatedFleet(service, [*held, *free])
        fleet.run(1.0)
        late = {entry.instance: UpstreamLoad(5.0, 0.0, {0: 1.0}) for entry in held}
        fleet.report_demand({}, {"m0": 10}, 0.01, loads=late)
        fleet.run(0.5)
        ordered = [order for _, _, order in fleet.orders if order.model == "m0"]
        self.assertEqual(len(ordered), 4)

    def test_further_copies_go_to_fast_engines(self):
        """Guards against placing a model in demand on the slowest engines, which serve it late
        (enlarged scenario trouble-2: three of its first four copies were on engines twice as slow
        as most).
        """
        entries = [make_entry("u0", "m0"), *(make_entry(f"u{number}") for number in range(1, 6))]
        fleet = SimulatedFleet(make_service(), entries)
        fleet.slowness.update(
            SlownessFactors({"u1": 2.0, "u2": 2.5, "u3": 0.6, "u4": 2.0, "u5": 2.0})
        )
        fleet.run(1.0)
        late = {"u0": UpstreamLoad(5.0, 0.0, {0: 1.0})}
        fleet.report_demand({}, {"m0": 10}, 0.01, loads=late)
        fleet.run(0.2)
        self.assertEqual([instance for _, instance, _ in fleet.orders], ["u3"])

    def test_steady_light_demand_causes_no_orders(self):
        """Guards against further copies of a model whose only copy is not overloaded."""
        fleet = SimulatedFleet(make_service(2), [make_entry("u0", "m0"), make_entry("u1", "m1")])
        fleet.run(1.0)
        for _ in range(40):
            fleet.report_demand({}, {"m0": 1}, 0.01)
            fleet.run(0.9)
        self.assertEqual(len(fleet.orders), 0)


class RareModelOnBusyEngineTest(unittest.TestCase):
    """A common model keeps the engine busy that also has the only copy of a rare model."""

    def orders(self, common_per_step: int, steps: int = 30) -> list[str]:
        """Return the models ordered while the engine of both models has a long backlog."""
        entries = [make_entry("u0", "m0", "m1"), *(make_entry(f"u{n}") for n in range(1, 8))]
        service = make_service()
        service = replace(service, engine=replace(service.engine, cold_loads_per_s=10.0))
        fleet = SimulatedFleet(service, entries)
        fleet.run(1.0)
        late = {"u0": UpstreamLoad(5.0, 0.0, {0: 1.0})}
        for step in range(steps):
            rare = 1 if step % 20 == 0 else 0
            fleet.report_demand({}, {"m0": common_per_step, "m1": rare}, 0.05, loads=late)
            fleet.run(0.1)
        return [order.model for _, _, order in fleet.orders]

    def test_rare_model_gets_no_further_copy(self):
        """Guards against copies that are ready after the backlog has ended and evict models in
        demand: 45 of 116 loads for busy engines were for models with less than one request a
        second (day quiet-1 with 104 models on 30 engines).
        """
        self.assertNotIn("m1", self.orders(common_per_step=1))

    def test_common_model_still_gets_one(self):
        """Guards against a busy engine that keeps all requests of a model in demand."""
        self.assertIn("m0", self.orders(common_per_step=1))


class LimitedEngineTest(unittest.TestCase):
    """Three engines, some of which limit their rate of requests."""

    def make_fleet(self, holders: int, limits_per_s: dict[str, float]) -> SimulatedFleet:
        """Return a fleet in which the first ``holders`` engines have the model m0."""
        entries = [make_entry(f"u{n}", *(["m0"] if n < holders else [])) for n in range(3)]
        fleet = SimulatedFleet(make_service(), entries)
        for instance, limit_per_s in limits_per_s.items():
            process_id = fleet.directory.get(instance).process_id
            fleet.notices.record(process_id, UpstreamNotice(limit_per_s=limit_per_s), 0.0)
        fleet.run(1.0)
        return fleet

    def test_model_in_demand_gets_a_copy_elsewhere(self):
        """Guards against a busy model whose copies are all on engines that take two requests a
        second, although their time would suffice (the day ``capped``).
        """
        fleet = self.make_fleet(2, {"u0": 2.0, "u1": 2.0})
        serve(fleet, "m0", 4.0, per_step=1, work_s=0.02)
        self.assertEqual(fleet.holders("m0"), ["u0", "u1", "u2"])

    def test_demand_below_the_limits_causes_no_copies(self):
        """Guards against copies that no demand requires."""
        fleet = self.make_fleet(2, {"u0": 20.0, "u1": 20.0})
        serve(fleet, "m0", 4.0, per_step=1, work_s=0.02)
        self.assertEqual(fleet.holders("m0"), ["u0", "u1"])

    def test_further_copy_does_not_go_to_a_limited_engine(self):
        """Guards against copies on engines that cannot serve them."""
        fleet = self.make_fleet(1, {"u1": 1.0})
        serve(fleet, "m0", 4.0, per_step=1, work_s=0.08)
        self.assertEqual(fleet.holders("m0"), ["u0", "u2"])


class ManyWaitingModelsTest(unittest.TestCase):
    """Requests wait for many models on a fleet of many engines."""

    def test_a_plan_values_each_copy_once(self):
        """Guards against plans whose work is the number of waiting models times that of all
        copies: with 78 engines and 40 models a plan took 50 ms (scenario quiet-1 of the large
        site).
        """
        service = make_service(models=200)
        entries = [make_entry(f"u{n}", f"m{2 * n}", f"m{2 * n + 1}") for n in range(78)]
        fleet = SimulatedFleet(service, entries)
        fleet.run(3.0)
        waiting = {(f"m{number}", ""): 1 for number in range(160, 200)}
        fleet.report_demand(waiting, {model: 1 for model, _ in waiting})
        with patch.object(
            Planner, "_eviction_loss", autospec=True, side_effect=Planner._eviction_loss
        ) as valued:
            fleet.coordinator.decide(fleet.now)
        self.assertLessEqual(valued.call_count, 2 * 78)

    def test_a_plan_without_a_need_values_no_copy(self):
        """Guards against work for all copies in every plan of a fleet at rest."""
        entries = [make_entry(f"u{n}", f"m{2 * n}", f"m{2 * n + 1}") for n in range(78)]
        fleet = SimulatedFleet(make_service(models=156), entries)
        fleet.run(3.0)
        fleet.report_demand({}, {})
        with patch.object(
            Planner, "_eviction_loss", autospec=True, side_effect=Planner._eviction_loss
        ) as valued:
            fleet.coordinator.decide(fleet.now)
        valued.assert_not_called()


class ModelIsRemovedTest(unittest.TestCase):
    """A configuration removes a model that engines still have loaded."""

    def test_its_memory_is_freed_before_other_models_are_loaded(self):
        """Guards against a violation of LIMIT (more weights than an engine has memory for) and
        against plans that fail: the model has no specification any more.
        """
        fleet = SimulatedFleet(make_service(), [make_entry("u0", "m0", "m5")])
        fleet.run(3.0)
        service = make_service(models=5)
        fleet.coordinator.set_config(FleetConfig(2, (), {service.name: service}), fleet.now)
        fleet.coordinator.apply_directory(fleet.now)
        fleet.report_demand({("m1", ""): 1}, {"m0": 1})
        fleet.run(2.5)
        kinds = [(order.kind, order.model) for _, _, order in fleet.orders]
        self.assertEqual(kinds, [(OrderKind.UNLOAD_MODEL, "m5"), (OrderKind.LOAD_MODEL, "m1")])
        self.assertEqual(fleet.holders("m1"), ["u0"])


class DemandMovesToColdModelsTest(unittest.TestCase):
    """Demand shifts to models that no engine has loaded."""

    def test_waiting_requests_get_their_model(self):
        """Guards against models with waiting requests that are never loaded."""
        fleet = SimulatedFleet(
            make_service(), [make_entry("u0", "m0", "m1"), make_entry("u1", "m2")]
        )
        fleet.run(1.0)
        for _ in range(100):
            missing = [m for m in ("m3", "m4", "m5") if not fleet.holders(m)]
            fleet.report_demand({(m, ""): 1 for m in missing}, {m: 1 for m in missing})
            fleet.run(0.1)
        requested = {
            order.model for _, _, order in fleet.orders if order.kind is OrderKind.LOAD_MODEL
        }
        self.assertLessEqual({"m3", "m4", "m5"}, requested)

    def test_engine_with_weights_on_disk_is_preferred(self):
        """Guards against loads from the weight store although an engine's disk has the weights."""
        fleet = SimulatedFleet(
            make_service(),
            [make_entry("u0", "m0"), make_entry("u1", "m1", on_disk=("m4",)), make_entry("u2")],
        )
        fleet.run(1.0)
        fleet.report_demand({("m4", ""): 1})
        fleet.run(1.0)
        self.assertEqual(fleet.holders("m4"), ["u1"])

    def test_copies_with_running_requests_are_not_evicted(self):
        """Guards against unloads that wait for long requests and block the engine meanwhile."""
        fleet = SimulatedFleet(make_service(), [make_entry("u0", "m0", "m1")])
        fleet.run(1.0)
        for _ in range(20):
            fleet.report_demand({("m2", ""): 1}, running={("u0", "m0", ""): 2})
            fleet.run(0.1)
        self.assertIn("m0", fleet.engines["u0"].models)
        self.assertIn("m2", fleet.engines["u0"].models)


class RareAdaptersAtOnceTest(unittest.TestCase):
    """Simultaneous requests for adapters that are not loaded."""

    def test_all_are_loaded_within_their_target(self):
        """Guards against a wait for the engine's report between the loads of adapters."""
        fleet = SimulatedFleet(make_service(), [make_entry("u0", "m0"), make_entry("u1", "m0")])
        fleet.run(1.0)
        pending_demand = {("m0", f"a{i}"): 1 for i in range(6)}
        began = fleet.now
        while fleet.now - began < 0.4:
            fleet.report_demand(pending_demand)
            fleet.run(0.02)
        loaded = {pair for engine in fleet.engines.values() for pair in engine.adapters}
        self.assertEqual(len(loaded), 6)

    def test_idle_adapter_is_evicted_and_one_in_use_is_not(self):
        """Guards against an eviction that waits for running requests."""
        fleet = SimulatedFleet(make_service(), [make_entry("u0", "m0")])
        fleet.run(1.0)
        for i in range(4):
            fleet.report_demand({("m0", f"a{i}"): 1})
            fleet.run(0.1)
        fleet.run(1.0)
        for _ in range(10):
            fleet.report_demand({("m0", "a9"): 1}, running={("u0", "m0", "a0"): 1})
            fleet.run(0.1)
        adapters = {adapter for _, adapter in fleet.engines["u0"].adapters}
        self.assertIn("a0", adapters)
        self.assertIn("a9", adapters)

    def test_engine_that_loads_a_model_gets_no_adapter_order(self):
        """Guards against rejected orders: engines accept no adapters while they load a model."""
        fleet = SimulatedFleet(make_service(), [make_entry("u0", "m0")])
        fleet.run(1.0)
        fleet.report_demand({("m1", ""): 1})
        fleet.run(0.1)
        fleet.report_demand({("m1", ""): 1, ("m0", "a1"): 1})
        fleet.run(0.3)
        kinds = [order.kind for _, _, order in fleet.orders]
        self.assertEqual(kinds, [OrderKind.LOAD_MODEL])


class CrashedEngineTest(unittest.TestCase):
    """An engine that crashed but is still registered."""

    def test_its_models_are_loaded_elsewhere_at_once(self):
        """Guards against waiting until the registration expires (3.6 s in scenario scale-1)."""
        fleet = SimulatedFleet(make_service(), [make_entry("u0", "m0"), make_entry("u1", "m1")])
        fleet.run(1.0)
        fleet.report_demand({("m0", ""): 2}, {"m0": 2}, suspicions={"u0": 2})
        fleet.run(1.6)
        self.assertIn("u1", fleet.holders("m0"))

    def test_weak_evidence_is_not_enough(self):
        """Guards against treating an engine as failed after a single slow connection."""
        fleet = SimulatedFleet(make_service(), [make_entry("u0", "m0"), make_entry("u1", "m1")])
        fleet.run(1.0)
        fleet.report_demand({}, {"m0": 2}, suspicions={"u0": 1})
        fleet.run(1.0)
        self.assertEqual(fleet.holders("m0"), ["u0"])


class CoordinatorChangesDuringLoadsTest(unittest.TestCase):
    """The coordinator changes while a model in demand is being loaded."""

    def setUp(self):
        entries = [make_entry("u0", "m0"), make_entry("u1", "m1"), make_entry("u2", "m2")]
        self.fleet = SimulatedFleet(make_service(), entries)
        self.fleet.run(1.0)
        self.fleet.report_demand({("m4", ""): 1}, {"m4": 1})
        self.fleet.run(0.2)
        known = self.fleet.known_orders()
        residency = self.fleet.coordinator.residency(self.fleet.now)
        self.ordered = len(self.fleet.orders)
        self.successor = self.fleet.start_coordinator(replace(known, residency=residency))

    def test_model_is_not_loaded_twice(self):
        """Guards against a second load of a model that takes seconds, while the first one goes on
        (scenario quiet-1 of a site with loads of 5.8 s: 3 s until the load was known).
        """
        self.assertEqual(self.ordered, 1)
        while not self.fleet.holders("m4"):
            self.fleet.report_demand({("m4", ""): 1})
            self.fleet.run(0.1)
        loads = [order for _, _, order in self.fleet.orders if order.model == "m4"]
        self.assertEqual(len(loads), 1)

    def test_nodes_keep_the_models_and_the_load(self):
        """Guards against requests that are refused because the successor has read no report yet."""
        residency = self.successor.residency(self.fleet.now)
        self.assertEqual(
            {model for engine in residency.values() for model in engine.live}, {"m0", "m1", "m2"}
        )
        self.assertEqual([m for engine in residency.values() for m in engine.loading], ["m4"])

    def test_load_that_was_not_accepted_is_ordered_again(self):
        """Guards against a model that is expected for ever because an order did not arrive."""
        entries = [make_entry("u0", "m0"), make_entry("u1", "m1"), make_entry("u2", "m2")]
        fleet = SimulatedFleet(make_service(), entries)
        residency = {"u0": CoordinatorResidency(1, frozenset({"m0"}), loading={"m4": 1.2})}
        fleet.start_coordinator(Takeover(cold_loads={}, residency=residency))
        for _ in range(40):
            fleet.report_demand({("m4", ""): 1}, {"m4": 1})
            fleet.run(0.1)
        self.assertTrue(fleet.holders("m4"))

    def test_restarted_engine_keeps_nothing(self):
        """Guards against requests for models that an engine had before its restart."""
        entry = replace(make_entry("u0"), started_ms=2)
        fleet = SimulatedFleet(make_service(), [entry])
        residency = {"u0": CoordinatorResidency(1, frozenset({"m0"}), loading={"m4": 1.2})}
        fleet.start_coordinator(Takeover(cold_loads={}, residency=residency))
        self.assertEqual(fleet.coordinator.trackers["u0"].copies, {})
