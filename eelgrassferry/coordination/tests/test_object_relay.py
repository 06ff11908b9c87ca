"""Tests of relaying the store's objects between nodes."""

import unittest

from ...objects import MonitoredStore, ObjectFeed, StoredObject
from ...peers.frame import Frame
from ..messages import COPY, ObjectsCopy, encode_copy
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
        self.relay.on_leader_copy(Frame(COPY, encode_copy(copy)))

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
