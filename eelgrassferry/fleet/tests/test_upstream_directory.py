"""Tests of the directory of registered upstreams."""

import unittest
from dataclasses import replace

from ...routing import UpstreamState
from .. import UpstreamDirectory, UpstreamEntry
from ..upstream_directory import MAX_LEAVING

ENTRY = UpstreamEntry("u1", "s", "10.0.0.1:80", "a", 6, UpstreamState.LIVE, started_ms=5)
LEAVING = replace(ENTRY, state=UpstreamState.LEAVING)


class OutageTest(unittest.TestCase):
    """Entries that are missing after an outage of the registry."""

    def setUp(self):
        self.directory = UpstreamDirectory()
        self.directory.replace({"u1": ENTRY}, now=0.0)

    def test_missing_entry_is_kept_for_the_grace_period(self):
        """Guards against dropping live upstreams whose registration expired in an outage."""
        self.directory.record_outage(10.0)
        self.assertEqual(self.directory.replace({}, now=10.0), [])
        self.assertEqual(self.directory.expire(12.1), [])
        self.assertIsNotNone(self.directory.get("u1"))
        self.assertEqual(len(self.directory.expire(12.3)), 1)
        self.assertIsNone(self.directory.get("u1"))

    def test_grace_period_begins_with_the_end_of_the_outage(self):
        """Guards against requests to an upstream that has left long after an outage."""
        self.directory.record_outage(10.0)
        self.assertEqual(len(self.directory.remove("u1", now=12.3)), 1)

    def test_earlier_outage_does_not_shorten_the_grace_period(self):
        """Guards against dropping live upstreams because of late news of an earlier outage."""
        self.directory.record_outage(10.0)
        self.directory.record_outage(5.0)
        self.assertEqual(self.directory.remove("u1", now=11.0), [])

    def test_renewed_entry_stays(self):
        """Guards against dropping an upstream that registered again within the grace period."""
        self.directory.record_outage(10.0)
        self.directory.remove("u1", now=10.1)
        self.directory.update("u1", ENTRY)
        self.assertEqual(self.directory.expire(20.0), [])

    def test_removal_without_outage_takes_effect_at_once(self):
        """Guards against sending requests to an upstream that has left without notice."""
        (change,) = self.directory.remove("u1", now=10.0)
        self.assertIsNone(change.after)

    def test_leaving_entry_is_not_kept(self):
        """Guards against keeping an upstream that announced its departure before an outage."""
        self.directory.update("u1", LEAVING)
        self.directory.record_outage(10.0)
        self.assertEqual(len(self.directory.remove("u1", now=10.1)), 1)


class StateTest(unittest.TestCase):
    """Changes of one entry."""

    def setUp(self):
        self.directory = UpstreamDirectory()
        self.directory.replace({"u1": ENTRY}, now=0.0)

    def test_leaving_upstream_does_not_become_live_again(self):
        """Guards against a stale copy of an entry that reverts a drain."""
        self.directory.update("u1", LEAVING)
        self.assertEqual(self.directory.update("u1", ENTRY), [])
        self.assertIs(self.directory.get("u1").state, UpstreamState.LEAVING)

    def test_restart_under_the_same_id_is_a_new_process(self):
        """Guards against relying on models that only the previous process had loaded."""
        self.directory.update("u1", LEAVING)
        (change,) = self.directory.update("u1", replace(ENTRY, started_ms=9))
        self.assertTrue(change.restarted)
        self.assertIs(self.directory.get("u1").state, UpstreamState.LIVE)

    def test_entry_of_an_earlier_process_is_ignored(self):
        """Guards against replacing an entry by that of a process that has ended."""
        self.directory.update("u1", replace(ENTRY, started_ms=9))
        self.assertEqual(self.directory.update("u1", replace(ENTRY, started_ms=7)), [])
        self.assertEqual(self.directory.get("u1").started_ms, 9)

    def test_invalid_entry_is_dropped_alone(self):
        """Guards against one invalid entry that causes other upstreams to be dropped."""
        self.directory.update("u2", replace(ENTRY, instance="u2"))
        self.assertEqual(len(self.directory.update("u1", None)), 1)
        self.assertIsNotNone(self.directory.get("u2"))


class LeavingNoticeTest(unittest.TestCase):
    """A live upstream whose process has said that it leaves."""

    def setUp(self):
        self.directory = UpstreamDirectory()
        self.directory.replace({"u1": ENTRY}, now=0.0)

    def test_upstream_is_marked_as_leaving(self):
        """Guards against requests to it although its registration says that it is live."""
        (change,) = self.directory.mark_leaving(ENTRY.process_id)
        self.assertIs(change.after.state, UpstreamState.LEAVING)
        self.assertIs(self.directory.get("u1").state, UpstreamState.LEAVING)
        self.assertEqual(self.directory.mark_leaving(ENTRY.process_id), [])

    def test_later_registration_of_the_process_changes_nothing(self):
        """Guards against a heartbeat that makes the upstream live again."""
        self.directory.mark_leaving(ENTRY.process_id)
        self.directory.update("u1", replace(ENTRY, residents={"m1": frozenset()}))
        self.assertIs(self.directory.get("u1").state, UpstreamState.LEAVING)

    def test_other_process_is_not_marked(self):
        """Guards against giving up a restarted upstream because of its predecessor."""
        restarted = replace(ENTRY, started_ms=ENTRY.started_ms + 1)
        self.directory.update("u1", restarted)
        self.assertEqual(self.directory.mark_leaving(ENTRY.process_id), [])
        self.assertEqual(self.directory.mark_leaving("unknown/1"), [])

    def test_registration_that_lapses_and_returns_is_leaving(self):
        """Guards against requests to a leaving upstream whose registration was lost for a moment
        (review case 8).
        """
        self.directory.mark_leaving(ENTRY.process_id)
        self.directory.remove("u1", now=1.0)
        (change,) = self.directory.update("u1", ENTRY)
        self.assertIs(change.after.state, UpstreamState.LEAVING)
        self.directory.replace({}, now=2.0)
        self.directory.replace({"u1": ENTRY}, now=3.0)
        self.assertIs(self.directory.get("u1").state, UpstreamState.LEAVING)

    def test_registered_departure_outlives_the_registration(self):
        """Guards against the same for an upstream that has registered that it leaves."""
        self.directory.update("u1", LEAVING)
        self.directory.remove("u1", now=1.0)
        self.directory.update("u1", ENTRY)
        self.assertIs(self.directory.get("u1").state, UpstreamState.LEAVING)

    def test_notice_before_the_registration_counts(self):
        """Guards against requests to an upstream of which another node has told first."""
        directory = UpstreamDirectory()
        self.assertEqual(directory.mark_leaving(ENTRY.process_id), [])
        directory.update("u1", ENTRY)
        self.assertIs(directory.get("u1").state, UpstreamState.LEAVING)

    def test_restarted_process_is_live(self):
        """Guards against an upstream that gets no requests after its restart."""
        self.directory.mark_leaving(ENTRY.process_id)
        self.directory.remove("u1", now=1.0)
        self.directory.update("u1", replace(ENTRY, started_ms=ENTRY.started_ms + 1))
        self.assertIs(self.directory.get("u1").state, UpstreamState.LIVE)

    def test_memory_is_bounded(self):
        """Guards against memory that grows with each restart of an upstream."""
        for number in range(MAX_LEAVING + 10):
            self.directory.mark_leaving(f"u9/{number}")
        self.assertEqual(len(self.directory._leaving), MAX_LEAVING)
