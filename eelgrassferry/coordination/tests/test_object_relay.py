"""Tests of passing the store's objects on between nodes."""

import unittest

from ...objects import MonitoredStore, ObjectFeed, StoredObject
from ...peers.frame import Frame
from ..messages import COPY, ObjectsCopy, encode_copy
from ..object_relay import ObjectRelay

SERVER = StoredObject("servers/u1", 4, b"1")


class LeaderCopyTest(unittest.TestCase):
    """A node that has started while the store is away."""

    def setUp(self):
        self.feed = ObjectFeed(
            MonitoredStore(None, lambda: 20.0), "servers/", lambda _update: None, lambda: 20.0
        )
        self.relay = ObjectRelay(
            [self.feed], lambda: 20.0, lambda *_: None, lambda: None, lambda: []
        )

    def take(self, version, objects, age_s):
        copy = ObjectsCopy("servers/", version, age_s, objects)
        self.relay.take_leader_copy(Frame(COPY, encode_copy(copy)))

    def test_copy_is_as_old_as_the_coordinator_says(self):
        """Guards against objects that count as fresh because their copy has just arrived."""
        self.take(4, (SERVER,), 3.0)
        self.assertEqual((self.feed.version, self.feed.age_s), (4, 3.0))

    def test_copy_that_is_known_tells_its_age(self):
        """Guards against a node that has copied from a peer and never learns how old that is."""
        self.feed.apply_peer_copy(4, (SERVER,), float("inf"))
        self.take(4, (), 3.0)
        self.assertEqual(self.feed.age_s, 3.0)
