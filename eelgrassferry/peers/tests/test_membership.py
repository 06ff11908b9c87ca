"""Tests of membership."""

import unittest

from ..membership import FORGET_AFTER_S, Membership
from ..node_entry import HostEntry, NodeEntry, NodeState, make_incarnation


def entry(name: str, incarnation=1, counter=1, *, instance=None, domain="d1", **changes):
    return NodeEntry(
        name, instance or f"{name}-{incarnation}", incarnation, counter, domain, "ip:1", **changes
    )


class MembershipTest(unittest.TestCase):
    """Membership as observed by node ``a``."""

    def setUp(self):
        self.members = Membership(entry("a"))

    def state(self, name, now=None):
        if now is not None:
            self.members.advance(now)
        return self.members.entry(name).state

    def test_stale_entry_never_overrides(self):
        """Guards against a delayed message that restores an old address or instance."""
        self.assertTrue(self.members.merge(entry("b", 2, 5, draining=True), 0.0))
        for stale in (entry("b", 2, 5), entry("b", 2, 4), entry("b", 1, 99)):
            self.assertFalse(self.members.merge(stale, 0.0))
            self.assertFalse(self.members.record_heartbeat("b", *stale.version, 0.0))
        self.assertEqual(self.members.entry("b"), entry("b", 2, 5, draining=True))

    def test_silent_node_is_suspected_then_gone_and_rejoins(self):
        """Guards against a stopped node that keeps its keys, and a node that cannot rejoin."""
        self.members.merge(entry("b"), 0.0)
        self.members.set_linked(set(), 1.0)
        self.assertIs(self.state("b", 2.0), NodeState.LIVE)
        self.assertIs(self.state("b", 3.5), NodeState.SUSPECT)
        self.assertTrue(self.members.is_alive("b-1"))
        self.assertIs(self.state("b", 60.0), NodeState.GONE)
        self.assertFalse(self.members.is_alive("b-1"))
        self.members.set_linked({"b"}, 61.0)
        self.assertTrue(self.members.record_heartbeat("b", 1, 2, 61.0))
        self.assertIs(self.state("b"), NodeState.LIVE)

    def test_new_instance_replaces_the_previous_one(self):
        """Guards against peers that keep the previous instance of a restarted node."""
        self.members.merge(entry("b", 1, 900), 0.0)
        restarted = Membership(entry("b", 1, 1, instance="b-new"))
        self.assertFalse(self.members.merge(restarted.own, 1.0))
        self.assertTrue(restarted.merge(self.members.entry("b"), 1.0))
        self.assertTrue(self.members.merge(restarted.own, 1.0))
        self.assertEqual(self.members.entry("b").instance, "b-new")
        self.assertFalse(self.members.is_alive("b-1"))

    def test_older_of_two_live_instances_is_superseded(self):
        """Guards against two running instances that raise their incarnations forever."""
        instances = (("b-1", 900), ("b-new", 1))
        old, new = (
            Membership(entry("b", make_incarnation(name), counter, instance=name))
            for name, counter in instances
        )
        for _ in range(4):
            new.merge(old.own, 0.0)
            old.merge(new.own, 0.0)
        self.assertTrue(old.superseded)
        self.assertFalse(new.superseded)
        self.assertGreater(new.own.version, old.own.version)

    def test_host_list_adds_nodes_and_never_removes_live_ones(self):
        """Guards against an outdated host list that removes live nodes or makes dead ones live."""
        self.members.merge(entry("b"), 0.0)
        self.members.merge_hosts([HostEntry("c", "ip:3", "d2"), HostEntry("a", "ip:1", "d1")], 0.0)
        self.assertIs(self.state("b"), NodeState.LIVE)
        self.assertIs(self.state("c"), NodeState.SUSPECT)
        self.members.merge(entry("c", domain="d2"), 1.0)
        self.members.merge_hosts([HostEntry("c", "ip:3", "d2", leaving=True)], 2.0)
        self.assertTrue(self.members.entry("c").draining)
        self.assertEqual(self.members.remove_expired(FORGET_AFTER_S + 100), ("b",))

    def test_owner_is_agreed_and_moves_only_for_lost_nodes(self):
        """Guards against nodes that choose different owners and against needless moves of keys."""
        other = Membership(entry("b"))
        for name in "bcde":
            self.members.merge(entry(name), 0.0)
        for name in "edca":
            other.merge(entry(name), 0.0)
        keys = [str(n) for n in range(200)]
        before = [self.members.owner_of(key) for key in keys]
        self.assertEqual(before, [other.owner_of(key) for key in keys])
        self.assertEqual(set(before), set("abcde"))
        self.members.merge(entry("c", counter=2, draining=True), 0.0)
        after = [self.members.owner_of(key) for key in keys]
        self.assertNotIn("c", after)
        moved = [key for key, a, b in zip(keys, before, after, strict=True) if a != b]
        self.assertEqual(len(moved), before.count("c"))
        self.assertIsNone(self.members.owner_of("key", domain="d9"))
