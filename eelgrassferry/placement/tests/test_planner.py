"""Tests of the planner, the demand estimator and the load pacer."""

import unittest

from ...settings import WeightStore
from .. import (
    Demand,
    DemandEstimator,
    Item,
    ItemKind,
    ItemView,
    LoadPacer,
    MoveKind,
    Planner,
    PlanView,
    UpstreamView,
)


def model(name, memory_mib=40, **options):
    """Return the view of a model."""
    return ItemView(Item(ItemKind.MODEL, name, "1"), memory_mib, **options)


def adapter(name, base, memory_mib=5):
    """Return the view of an adapter."""
    return ItemView(Item(ItemKind.ADAPTER, name, "1"), memory_mib, base=base)


def upstream(name, items, total_mib=100, rate=10.0, domain="d1", **options):
    """Return an upstream on which ``items`` are resident."""
    free_mib = total_mib - sum(i.memory_mib for i in items)
    copies = {i.item.name: i.item for i in items}
    sizes = {i.item.name: i.memory_mib for i in items}
    return UpstreamView(name, domain, rate, free_mib, copies, sizes, **options)


def rate(per_s):
    """Return a steady urgent demand."""
    return Demand(urgent_fast=per_s, urgent_slow=per_s, last_s=0.0)


def view(items, upstreams, demands=(), move_cost=10.0, **options):
    """Return a plan view of items and upstreams."""
    return PlanView(
        {i.item.name: i for i in items},
        {u.name: u for u in upstreams},
        {name: rate(per_s) for name, per_s in dict(demands).items()},
        move_cost,
        now=100.0,
        **options,
    )


def brief(moves):
    """Return kind, upstream and name of each move."""
    return [(m.kind.value, m.upstream, m.item.name) for m in moves]


class PlannerTest(unittest.TestCase):
    """Plans for small views."""

    def test_missing_model_evicts_surplus_copy_but_no_last_copy(self):
        """Guards against a model without a copy and against the eviction of a last copy."""
        m1, m2, m3 = model("m1"), model("m2"), model("m3", 60)
        ups = [upstream("u1", [m1, m2]), upstream("u2", [m1, model("m4")])]
        moves = Planner().plan(view([m1, m2, m3, model("m4")], ups))
        self.assertEqual(brief(moves), [("unload", "u1", "m1")])
        planner = Planner()
        ups = [upstream("u1", [m1, m2])]
        self.assertEqual(planner.plan(view([m1, m2, m3], ups)), ())
        self.assertIn("60 MiB", planner.waiting["m3"])

    def test_copy_is_added_only_if_it_repays_its_move_cost(self):
        """Guards against too many moves if they are expensive, and too few if they are cheap."""
        m1 = model("m1")
        ups = [upstream("u1", [m1]), upstream("u2", [])]
        for cost, expected in ((10.0, 1), (1000.0, 0)):
            moves = Planner().plan(view([m1], ups, {"m1": 14.0}, move_cost=cost))
            self.assertEqual(len(moves), expected)

    def test_similar_demand_causes_no_evictions(self):
        """Guards against two models that alternately evict each other."""
        m1, m2 = model("m1", 60), model("m2", 60)
        for demands in ({"m1": 12.0, "m2": 13.0}, {"m1": 13.0, "m2": 12.0}):
            ups = [upstream(u, [i]) for u, i in (("u1", m1), ("u2", m2), ("u3", m1))]
            moves = Planner().plan(view([m1, m2], ups, demands, move_cost=10.0))
            self.assertEqual(brief(moves), [])

    def test_idle_surplus_copy_is_evicted_for_a_burst(self):
        """Guards against a burst that gets no copy while idle copies use the memory."""
        m1, m2 = model("m1", 60), model("m2", 60)
        ups = [upstream(u, [i]) for u, i in (("u1", m1), ("u2", m2), ("u3", m2))]
        moves = Planner().plan(view([m1, m2], ups, {"m1": 30.0}))
        self.assertEqual([m.kind for m in moves], [MoveKind.UNLOAD])
        self.assertEqual(moves[0].item.name, "m2")

    def test_fast_upstream_is_preferred(self):
        """Guards against a plan that ignores the speed of upstreams."""
        m1 = model("m1")
        ups = [
            upstream("u1", [m1], rate=5.0),
            upstream("u2", [], rate=2.0),
            upstream("u3", [], rate=40.0),
        ]
        moves = Planner().plan(view([m1], ups, {"m1": 30.0}))
        self.assertEqual(brief(moves), [("load", "u3", "m1")])

    def test_second_replica_goes_to_another_failure_domain(self):
        """Guards against replicas that fail together."""
        m1 = model("m1", min_replicas=2)
        ups = [
            upstream("u1", [m1], domain="d1"),
            upstream("u2", [], domain="d1", rate=50.0),
            upstream("u3", [], domain="d2"),
        ]
        self.assertEqual(brief(Planner().plan(view([m1], ups))), [("load", "u3", "m1")])

    def test_adapter_is_added_only_where_its_base_is_resident(self):
        """Guards against an adapter on an upstream that cannot run it."""
        m1, m2, a1 = model("m1"), model("m2"), adapter("a1", "m1")
        ups = [
            upstream("u1", [m1, a1]),
            upstream("u2", [m2], rate=100.0),
            upstream("u3", [m1]),
        ]
        moves = Planner().plan(view([m1, m2, a1], ups, {"a1": 20.0}))
        self.assertEqual(brief(moves), [("load", "u3", "a1")])

    def test_new_and_frozen_copies_are_not_evicted(self):
        """Guards against an eviction soon after the load or during a version change."""
        m1, m2 = model("m1", 60), model("m2", 60)
        for options, frozen in (({"protected_until_s": {"m2": 200.0}}, False), ({}, True)):
            protected = model("m2", 60, frozen=frozen)
            ups = [upstream("u1", [m1]), upstream("u2", [m2], **options)]
            ups.append(upstream("u3", [m2], **options))
            self.assertEqual(Planner().plan(view([m1, protected], ups, {"m1": 30.0})), ())

    def test_idle_upstream_full_of_last_copies_is_used(self):
        """Guards against a burst that cannot use an idle upstream without surplus copies."""
        hot, cold = model("hot", 60), model("cold", 60)
        ups = [upstream("u1", [hot]), upstream("u2", [cold], rate=50.0)]
        ups.append(upstream("u3", [], rate=0.1))
        for cost, expected in ((10.0, [("load", "u3", "cold")]), (1000.0, [])):
            moves = Planner().plan(view([hot, cold], ups, {"hot": 40.0}, move_cost=cost))
            self.assertEqual(brief(moves), expected)

    def test_last_copy_is_relocated_to_free_memory(self):
        """Guards against a model without a copy because the free memory is on two upstreams."""
        m1, m2, m3 = model("m1", 30), model("m2", 60), model("m3", 80)
        ups = [upstream("u1", [m1]), upstream("u2", [m2])]
        moves = Planner().plan(view([m1, m2, m3], ups))
        self.assertEqual(brief(moves), [("load", "u2", "m1")])


class DemandEstimatorTest(unittest.TestCase):
    """Fast and slow horizon, urgent and patient requests."""

    def test_burst_causes_loads_at_once_and_retains_copies_longer(self):
        """Guards against a planner that follows noise or evicts copies right after a burst."""
        estimator = DemandEstimator()
        for _ in range(20):
            estimator.record("m1", True, 0.0)
        burst = estimator.demand("m1", 0.0)
        self.assertGreater(burst.expected, 0.9)
        later = estimator.demand("m1", 60.0)
        self.assertLess(later.expected, 0.1)
        self.assertGreater(later.retained, 0.04)

    def test_patient_requests_weigh_less(self):
        """Guards against patient batch work, such as summaries, that displaces urgent requests."""
        estimator = DemandEstimator()
        estimator.record("m1", True, 0.0)
        estimator.record("m2", False, 0.0)
        urgent, patient = (estimator.demand(n, 0.0).expected for n in ("m1", "m2"))
        self.assertAlmostEqual(patient * 4, urgent)


class LoadPacerTest(unittest.TestCase):
    """Limits of load rate and load slots."""

    def test_rate_and_slots_are_respected(self):
        """Guards against a slow weight store that receives all loads at once."""
        pacer = LoadPacer(WeightStore(loads_per_s=2.0, slots=3, adapter_slots=16))
        started = 0
        for step in range(100):
            now = step / 10
            if pacer.may_start(ItemKind.MODEL, 0, now):
                pacer.start(ItemKind.MODEL, now)
                started += 1
        self.assertLessEqual(started, 21)
        self.assertGreaterEqual(started, 19)
        self.assertFalse(pacer.may_start(ItemKind.MODEL, 3, 1000.0))
        self.assertTrue(pacer.may_start(ItemKind.ADAPTER, 15, 1000.0))
        self.assertFalse(pacer.may_start(ItemKind.ADAPTER, 16, 1000.0))
