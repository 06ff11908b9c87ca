"""Tests of the controller with simulated engines in virtual time."""

import unittest
from dataclasses import replace

from .. import AreaController
from .deployments import make_area, make_deployment


class AreaControllerTest(unittest.TestCase):
    """Simulated areas with one controller."""

    def start(self, **options):
        area = make_area(**options)
        area.take_over(AreaController("n1:a"))
        return area

    def test_every_model_becomes_resident_once(self):
        """Guards against models without a copy and against unnecessary loads."""
        area = self.start(models=("m1", "m2", "m3", "m4"), upstreams=2)
        area.run(20.0)
        for name in area.deployment.models:
            self.assertEqual(len(area.residents(name)), 1, area.controller.explain(name, area.now))
        self.assertEqual(sum(engine.loads for engine in area.engines.values()), 4)
        area.run(60.0)
        self.assertEqual(sum(engine.loads for engine in area.engines.values()), 4)

    def test_requested_adapter_replaces_idle_adapter(self):
        """Guards against adapters that are never loaded because the memory is full."""
        adapters = [(f"a{n}", "m1") for n in range(6)]
        area = self.start(models=("m1",), upstreams=1, memory_mib=50, adapters=adapters)
        area.run(10.0)
        for name, _ in adapters:
            area.controller.record_pending_demand(name, True, area.now)
            area.controller.record_demand(name, True, area.now)
            before = area.now
            while not area.residents(name):
                area.step()
                area.now += 0.005
                self.assertLess(area.now, before + 5.0, area.controller.explain(name, area.now))
            area.run(3.0)
        resident = {name for name, _ in adapters if area.residents(name)}
        self.assertEqual(resident, {"a4", "a5"})
        self.assertEqual(area.engines["u0"].overcommits, 0)

    def test_adapters_are_preloaded(self):
        """Guards against adapters that cannot be loaded while the object API is down."""
        adapters = [(f"a{n}", "m1") for n in range(3)]
        area = self.start(models=("m1",), upstreams=1, memory_mib=200, adapters=adapters)
        area.run(20.0)
        resident = {name for name, _ in adapters if area.residents(name)}
        self.assertEqual(resident, {"a0", "a1", "a2"})

    def test_no_actions_without_a_term(self):
        """Guards against orders from a process that does not hold the lease."""
        area = self.start()
        area.controller.update_term(None, area.now)
        self.assertEqual(area.controller.tick(area.now), ())

    def test_lost_order_is_sent_again(self):
        """Guards against a reservation that is never removed after its order was lost."""
        area = self.start(models=("m1",), upstreams=1)
        receive, lost = area.engines["u0"].receive, []

        def lose_first(order, now):
            if not lost:
                lost.append(order)
                return 202
            return receive(order, now)

        area.engines["u0"].receive = lose_first
        area.run(30.0)
        self.assertEqual(len(area.residents("m1")), 1)
        self.assertEqual(area.records["u0"][1].reservations, ())

    def test_models_are_reloaded_after_engine_restart(self):
        """Guards against a record that still counts memory which a crash has freed."""
        area = self.start(models=("m1", "m2"), upstreams=1)
        area.run(15.0)
        area.engines["u0"].restart()
        area.run(30.0)
        self.assertEqual(len(area.engines["u0"].residents), 2)
        self.assertEqual(area.engines["u0"].overcommits, 0)

    def test_unreachable_upstream_is_replaced(self):
        """Guards against a model without a copy while another upstream has enough free memory."""
        area = self.start(models=("m1",), upstreams=2)
        area.run(10.0)
        ((upstream, _),) = area.residents("m1")
        area.down.add(upstream)
        area.run(20.0)
        self.assertEqual(len(area.residents("m1")), 2)

    def test_leaving_engine_is_replaced_before_it_stops(self):
        """Guards against a planned stop that removes the only copy of a model."""
        area = self.start(models=("m1",), upstreams=2)
        area.run(10.0)
        ((upstream, _),) = area.residents("m1")
        status = area.engines[upstream].status
        area.engines[upstream].status = lambda now: replace(status(now), leaving=True)
        area.run(10.0)
        self.assertEqual(len(area.residents("m1")), 2)

    def test_loads_on_a_crashed_upstream_do_not_block_others(self):
        """Guards against load slots of the weight store that are never freed after a crash."""
        area = self.start(models=("m1", "m2", "m3", "m4"), upstreams=2, memory_mib=200)
        while sum(len(engine.loading) for engine in area.engines.values()) < 2:
            area.step()
            area.now += 0.01
        for name, engine in area.engines.items():
            if engine.loading:
                area.down.add(name)
                break
        area.run(40.0)
        (live,) = set(area.engines) - area.down
        self.assertEqual(len(area.engines[live].residents), 4)

    def test_restarted_engine_is_fenced_before_it_loads(self):
        """Guards against a restarted engine that accepts orders of an earlier lease holder."""
        area = self.start(models=("m1",), upstreams=1)
        area.run(10.0)
        area.engines["u0"].restart()
        while not area.engines["u0"].loading:
            area.step()
            area.now += 0.01
        # The orders are the fence and the load.
        self.assertEqual(len(area.engines["u0"].orders), 2)
        self.assertEqual(area.engines["u0"].fence, 1)

    def test_successor_continues_loads_in_progress(self):
        """Guards against duplicate loads and overcommitted memory after a takeover."""
        area = self.start(models=("m1", "m2"), upstreams=1, memory_mib=85)
        while not area.engines["u0"].loading:
            area.step()
            area.now += 0.01
        area.take_over(AreaController("n2:b"))
        area.run(30.0)
        self.assertEqual(area.engines["u0"].loads, 2)
        self.assertEqual(area.engines["u0"].overcommits, 0)
        self.assertEqual(area.records["u0"][1].reservations, ())


class VersionChangeTest(unittest.TestCase):
    """Changes of a model's version."""

    def start(self, **options):
        area = make_area(**options)
        area.take_over(AreaController("n1:a"))
        area.run(15.0)
        return area

    def change(self, area, version, **options):
        area.deployment = make_deployment(versions={"m1": version}, **options)
        area.controller.update_deployment(area.deployment, area.now)

    def test_new_version_replaces_the_old_one(self):
        """Guards against a change that keeps the old version or skips the probe."""
        options = {"models": ("m1",), "upstreams": 1}
        area = self.start(**options)
        probes = []
        area.probe = lambda *args: probes.append(args) or True
        self.change(area, "2", **options)
        for _ in range(3000):
            area.step()
            area.now += 0.01
            self.assertTrue(area.residents("m1"))
        self.assertEqual(area.residents("m1"), {("u0", "2")})
        self.assertEqual(probes, [("u0", "m1", "2")])

    def test_rejected_version_is_rolled_back(self):
        """Guards against keeping a version whose probe failed, and against loading it again."""
        options = {"models": ("m1",), "upstreams": 1}
        area = self.start(**options)
        area.probe = lambda *args: False
        self.change(area, "2", **options)
        area.run(40.0)
        self.assertEqual(area.residents("m1"), {("u0", "1")})
        loads = area.engines["u0"].loads
        area.take_over(AreaController("n2:b"))
        area.run(40.0)
        self.assertEqual(area.engines["u0"].loads, loads)
        self.assertIn("rejected", area.controller.explain("m1", area.now).reason)

    def test_full_upstreams_are_changed_one_at_a_time(self):
        """Guards against a change that removes the last serving copy."""
        options = {"models": ("m1",), "upstreams": 2, "memory_mib": 60, "min_replicas": 2}
        area = self.start(**options)
        self.assertEqual(len(area.residents("m1")), 2)
        self.change(area, "2", **options)
        for _ in range(6000):
            area.step()
            area.now += 0.01
            self.assertTrue(area.residents("m1"))
        self.assertEqual(area.residents("m1"), {("u0", "2"), ("u1", "2")})

    def test_change_of_single_copy_waits_for_memory_with_a_reason(self):
        """Guards against a change that waits without giving a reason."""
        options = {"models": ("m1",), "upstreams": 1, "memory_mib": 60}
        area = self.start(**options)
        self.change(area, "2", **options)
        area.run(20.0)
        self.assertEqual(area.residents("m1"), {("u0", "1")})
        self.assertIn("needs 40 MiB", area.controller.explain("m1", area.now).reason)

    def test_successor_finishes_a_change(self):
        """Guards against two versions that both stay resident after a takeover."""
        options = {"models": ("m1",), "upstreams": 1}
        area = self.start(**options)
        self.change(area, "2", **options)
        while not area.engines["u0"].loading:
            area.step()
            area.now += 0.01
        area.take_over(AreaController("n2:b"))
        area.run(40.0)
        self.assertEqual(area.residents("m1"), {("u0", "2")})

    def test_change_relocates_other_models_to_free_memory(self):
        """Guards against a change that waits although memory could be freed by relocation."""
        area = make_area(models=("m1", "m2", "m3"), upstreams=3, memory_mib=60)
        sizes = {"m1": 40, "m2": 25, "m3": 25}

        def set_version(version):
            models = {
                name: replace(model, memory_mib=sizes[name])
                for name, model in area.deployment.models.items()
            }
            models["m1"] = replace(models["m1"], version=version)
            area.deployment = replace(area.deployment, models=models)

        set_version("1")
        area.take_over(AreaController("n1:a"))
        area.run(15.0)
        self.assertEqual({len(engine.residents) for engine in area.engines.values()}, {1})
        set_version("2")
        area.controller.update_deployment(area.deployment, area.now)
        for _ in range(6000):
            area.step()
            area.now += 0.01
            for name in sizes:
                self.assertTrue(area.residents(name))
        self.assertEqual({version for _, version in area.residents("m1")}, {"2"})
        self.assertEqual(sum(engine.overcommits for engine in area.engines.values()), 0)
