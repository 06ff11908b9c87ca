"""Tests of how updates of the store change the directory of upstreams."""

import unittest
from types import SimpleNamespace

from result import Ok

from ...fleet import UpstreamDirectory, UpstreamEntry
from ...metrics import Metrics
from ...objects import FeedUpdate, StoredObject, make_version
from ...routing import UpstreamState
from ..registry_view import RegistryView

ENTRY = UpstreamEntry("u1", "s", "10.0.0.1:80", "a", 6, UpstreamState.LIVE, started_ms=5)
PROTOCOL = SimpleNamespace(upstreams_prefix="servers/", decode_entry=lambda *_: Ok(ENTRY))
LOST = make_version(1, 100)
RESTORED = make_version(2, 60)


class RestoredEntryTest(unittest.TestCase):
    """The entry of an upstream that had left comes back with a restore of the store."""

    def setUp(self):
        self.now = 0.0
        self.directory = UpstreamDirectory()
        self.view = RegistryView(
            PROTOCOL,
            self.directory,
            Metrics(),
            lambda: self.now,
            lambda _config: None,
            lambda _changes: None,
        )
        self.apply(make_version(1, 50), make_version(1, 40), is_listed=True)
        self.apply(LOST, make_version(1, 50), is_listed=False)
        self.assertIsNone(self.directory.get("u1"))

    def apply(self, version, base, is_listed, complete=False, outage_s=None):
        """Apply an update that writes the entry or removes it."""
        written = (StoredObject("servers/u1", version, b""),) if is_listed else ()
        removed = () if is_listed else ("servers/u1",)
        update = FeedUpdate(complete, version, written, removed, outage_s, base)
        self.view.apply_upstreams_update(update)

    def test_entry_of_an_ended_process_is_not_used(self):
        """Guards against a violation of DRAIN: requests to a server that had left."""
        for complete in (True, False):
            self.apply(RESTORED, LOST, is_listed=True, complete=complete, outage_s=0.0)
            self.apply(RESTORED, RESTORED, is_listed=True, complete=True)
            self.view.expire()
            self.assertIsNone(self.directory.get("u1"))
            self.apply(RESTORED + 1, RESTORED, is_listed=False)
            self.now += 60.0
            self.view.expire()
            self.assertIsNone(self.directory.get("u1"))

    def test_entry_that_is_written_again_is_used(self):
        """Guards against a server that is lost to the fleet although it has registered again."""
        self.apply(RESTORED, LOST, is_listed=True, complete=True, outage_s=0.0)
        self.apply(RESTORED + 1, RESTORED, is_listed=True)
        self.assertEqual(self.directory.get("u1"), ENTRY)

    def test_entry_that_stays_is_used(self):
        """Guards against a server that renews its entry without a change and is never used."""
        self.apply(RESTORED, LOST, is_listed=True, complete=True, outage_s=0.0)
        self.now = 5.1
        self.view.expire()
        self.assertEqual(self.directory.get("u1"), ENTRY)

    def test_entry_after_an_ordinary_lapse_is_used_at_once(self):
        """Guards against withholding an entry that the server itself has written."""
        self.apply(LOST + 1, LOST, is_listed=True)
        self.assertEqual(self.directory.get("u1"), ENTRY)
