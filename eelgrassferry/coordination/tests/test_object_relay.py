"""Tests of relaying the store's objects between nodes."""

import unittest
from unittest.mock import Mock

from ...objects import MonitoredStore, ObjectFeed, StoredObject
from ...peers.frame import Frame
from ..messages import COPY, PULL, ObjectsCopy, decode_copy, encode_copy
from ..object_relay import ObjectRelay

SERVER = StoredObject("servers/u1", 4, b"1")


class LeaderCopyTest(unittest.TestCase):
    """A node that was started while the store is unreachable."""

    def setUp(self):
        self.feed = ObjectFeed(
            MonitoredStore(None, lambda: 20.0), "servers/", lambda _update: None, lambda: 20.0
        )
        self.relay = ObjectRelay(
            [self.feed], lambda: 20.0, lambda *_: None, lambda: None, lambda: []
        )

    def apply_copy(self, version, objects, age_s):
        copy = ObjectsCopy("servers/", version, age_s, objects)
        self.relay.on_leader_copy(Mock(), Frame(COPY, encode_copy(copy)))

    def test_age_of_the_coordinators_copy_is_applied(self):
        """Guards against objects that count as up to date because their copy has just arrived."""
        self.apply_copy(4, (SERVER,), 3.0)
        self.assertEqual((self.feed.version, self.feed.age_s), (4, 3.0))

    def test_copy_without_newer_objects_updates_the_age(self):
        """Guards against a node that has copied objects of unknown age from a peer and never
        receives their age.
        """
        self.feed.apply_peer_copy(4, (SERVER,), float("inf"))
        self.apply_copy(4, (), 3.0)
        self.assertEqual(self.feed.age_s, 3.0)


class CoordinatorWithoutStoreTest(unittest.TestCase):
    """A node whose coordinator loses the store while its copy is on the way."""

    def test_late_copy_does_not_make_the_objects_relayed(self):
        """Guards against a node that takes its configuration for current although nobody reads the
        store, and rejects new keys for good.
        """
        link = Mock()
        feed = ObjectFeed(
            MonitoredStore(None, lambda: 20.0), "servers/", lambda _update: None, lambda: 20.0
        )
        relay = ObjectRelay([feed], lambda: 20.0, lambda *_: None, lambda: link, lambda: [])
        copy = Frame(COPY, encode_copy(ObjectsCopy("servers/", 4, 0.0, (SERVER,))))
        relay.follow(link)
        relay.stop_following()
        relay.on_leader_copy(link, copy)
        self.assertFalse(feed.is_relayed())
        relay.follow(link)
        relay.on_leader_copy(link, copy)
        self.assertTrue(feed.is_relayed())


class SuccessorIsAskedByAllNodesTest(unittest.TestCase):
    """Hundreds of nodes ask a new coordinator for its copy at the same moment."""

    def setUp(self):
        self.link = Mock()
        self.leader, self.leader_relay = self.make_node()
        self.node, self.node_relay = self.make_node()
        self.servers = [StoredObject(f"servers/u{n}", n + 1, b"x" * 600) for n in range(84)]
        for feed in (self.leader, self.node):
            feed.apply_peer_copy(90, tuple(self.servers), 0.0)

    def make_node(self) -> tuple[ObjectFeed, ObjectRelay]:
        feed = ObjectFeed(
            MonitoredStore(None, lambda: 20.0), "servers/", lambda _update: None, lambda: 20.0
        )
        relay = ObjectRelay([feed], lambda: 20.0, lambda *_: None, lambda: None, lambda: [])
        return feed, relay

    def change_leader(self) -> None:
        """Change one object and remove another at the coordinator."""
        changed = StoredObject("servers/u3", 99, b"new")
        self.leader.apply_peer_copy(100, (*self.servers[:3], changed, *self.servers[5:]), 0.0)

    def pull(self, version: int) -> Frame:
        self.leader_relay.on_pull(self.link, {"prefix": "servers/", "version": version})
        return Frame(*self.link.send.call_args.args)

    def test_only_changed_objects_are_sent_whole(self):
        """Guards against a successor that sends megabytes to 195 nodes, renews its lease late and
        loses it before its first order (scenario trouble-1 of the large site).
        """
        self.change_leader()
        copy = decode_copy(self.pull(90).body).unwrap()
        self.assertEqual([stored.key for stored in copy.objects], ["servers/u3"])

    def test_copy_of_changes_is_complete(self):
        """Guards against a node that keeps a removed server or an old entry."""
        self.change_leader()
        self.node_relay.on_leader_copy(self.link, self.pull(90))
        self.assertEqual(self.node.objects, self.leader.objects)
        self.assertEqual(self.node.version, 100)

    def test_node_without_an_unchanged_object_asks_for_all(self):
        """Guards against a node that lacks an object for ever."""
        self.change_leader()
        del self.node.objects["servers/u7"]
        self.node_relay.on_leader_copy(self.link, self.pull(90))
        self.assertEqual(
            self.link.send.call_args.args, (PULL, {"prefix": "servers/", "version": 0})
        )
        self.node_relay.on_leader_copy(self.link, self.pull(0))
        self.assertEqual(self.node.objects, self.leader.objects)
