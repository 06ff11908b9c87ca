"""Tests of the planner, the demand estimate and the pacer."""

import unittest

from ...settings import WeightStore
from .. import (
    Demand,
    DemandEstimator,
    Item,
    ItemKind,
    ItemPlan,
    LoadPacer,
    MoveKind,
    Planner,
    PlanView,
    UpstreamPlan,
)


def model(name, memory_mib=40, **options):
    """Return a model's plan entry."""
    return ItemPlan(Item(ItemKind.MODEL, name, "1"), memory_mib, **options)


def adapter(name, base, memory_mib=5):
    """Return an adapter's plan entry."""
    return ItemPlan(Item(ItemKind.ADAPTER, name, "1"), memory_mib, base=base)


def upstream(name, items, total_mib=100, rate=10.0, domain="d1", **options):
    """Return an upstream that holds ``items``."""
    free_mib = total_mib - sum(i.memory_mib for i in items)
    copies = {i.item.name: i.item for i in items}
    sizes = {i.item.name: i.memory_mib for i in items}
    return UpstreamPlan(name, domain, rate, free_mib, copies, sizes, **options)


def rate(per_s):
    """Return an urgent demand that is steady."""
    return Demand(urgent_fast=per_s, urgent_slow=per_s, last_s=0.0)


def view(items, upstreams, demands=(), move_cost=10.0, **options):
    """Return a view of items and upstreams."""
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
    """Plans of small views."""

    def test_missing_model_evicts_a_surplus_copy_and_never_a_last_one(self):
        """Guards against a model without a copy, and against taking another's last copy."""
        m1, m2, m3 = model("m1"), model("m2"), model("m3", 60)
        ups = [upstream("u1", [m1, m2]), upstream("u2", [m1, model("m4")])]
        moves = Planner().plan(view([m1, m2, m3, model("m4")], ups))
        self.assertEqual(brief(moves), [("unload", "u1", "m1")])
        planner = Planner()
        ups = [upstream("u1", [m1, m2])]
        self.assertEqual(planner.plan(view([m1, m2, m3], ups)), ())
        self.assertIn("60 MiB", planner.waiting["m3"])

    def test_move_cost_decides(self):
        """Guards against churn where moves are dear, and against standstill where they are not."""
        m1 = model("m1")
        ups = [upstream("u1", [m1]), upstream("u2", [])]
        for cost, expected in ((10.0, 1), (1000.0, 0)):
            moves = Planner().plan(view([m1], ups, {"m1": 14.0}, move_cost=cost))
            self.assertEqual(len(moves), expected)

    def test_even_demand_takes_no_turns(self):
        """Guards against two models that evict each other in turn."""
        m1, m2 = model("m1", 60), model("m2", 60)
        for demands in ({"m1": 12.0, "m2": 13.0}, {"m1": 13.0, "m2": 12.0}):
            ups = [upstream(u, [i]) for u, i in (("u1", m1), ("u2", m2), ("u3", m1))]
            moves = Planner().plan(view([m1, m2], ups, demands, move_cost=10.0))
            self.assertEqual(brief(moves), [])

    def test_idle_surplus_copy_makes_room_for_a_burst(self):
        """Guards against a burst that waits beside idle copies."""
        m1, m2 = model("m1", 60), model("m2", 60)
        ups = [upstream(u, [i]) for u, i in (("u1", m1), ("u2", m2), ("u3", m2))]
        moves = Planner().plan(view([m1, m2], ups, {"m1": 30.0}))
        self.assertEqual([m.kind for m in moves], [MoveKind.UNLOAD])
        self.assertEqual(moves[0].item.name, "m2")

    def test_fast_upstream_is_preferred(self):
        """Guards against a plan that takes all upstreams for equal."""
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

    def test_adapter_is_added_only_beside_its_base(self):
        """Guards against an adapter on an upstream that cannot run it."""
        m1, m2, a1 = model("m1"), model("m2"), adapter("a1", "m1")
        ups = [
            upstream("u1", [m1, a1]),
            upstream("u2", [m2], rate=100.0),
            upstream("u3", [m1]),
        ]
        moves = Planner().plan(view([m1, m2, a1], ups, {"a1": 20.0}))
        self.assertEqual(brief(moves), [("load", "u3", "a1")])

    def test_new_and_frozen_copies_stay(self):
        """Guards against an eviction before a load has paid off or during a version change."""
        m1, m2 = model("m1", 60), model("m2", 60)
        for options, frozen in (({"fixed_until_s": {"m2": 200.0}}, False), ({}, True)):
            held = model("m2", 60, frozen=frozen)
            ups = [upstream("u1", [m1]), upstream("u2", [m2], **options)]
            ups.append(upstream("u3", [m2], **options))
            self.assertEqual(Planner().plan(view([m1, held], ups, {"m1": 30.0})), ())

    def test_last_copy_moves_where_that_makes_room(self):
        """Guards against a model without a copy beside memory that is free in two places."""
        m1, m2, m3 = model("m1", 30), model("m2", 60), model("m3", 80)
        ups = [upstream("u1", [m1]), upstream("u2", [m2])]
        moves = Planner().plan(view([m1, m2, m3], ups))
        self.assertEqual(brief(moves), [("load", "u2", "m1")])


class DemandEstimatorTest(unittest.TestCase):
    """Two horizons and two classes."""

    def test_burst_counts_for_loads_at_once_and_for_keeping_long(self):
        """Guards against a planner that follows noise or forgets a burst at once."""
        estimator = DemandEstimator()
        for _ in range(20):
            estimator.note("m1", True, 0.0)
        burst = estimator.demand("m1", 0.0)
        self.assertGreater(burst.expected, 0.9)
        later = estimator.demand("m1", 60.0)
        self.assertLess(later.expected, 0.1)
        self.assertGreater(later.kept, 0.04)

    def test_patient_requests_weigh_less(self):
        """Guards against summaries that displace urgent sheets."""
        estimator = DemandEstimator()
        estimator.note("m1", True, 0.0)
        estimator.note("m2", False, 0.0)
        urgent, patient = (estimator.demand(n, 0.0).expected for n in ("m1", "m2"))
        self.assertAlmostEqual(patient * 4, urgent)


class LoadPacerTest(unittest.TestCase):
    """Rate and slots."""

    def test_rate_and_slots_hold(self):
        """Guards against a slow weight store that gets every load at once."""
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
