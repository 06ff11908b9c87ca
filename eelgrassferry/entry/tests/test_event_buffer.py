"""Tests of cutting a stream into events."""

import unittest

from ..event_buffer import EventBuffer

EVENTS = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


class EventBufferTest(unittest.TestCase):
    """Whole events at any cut of the bytes."""

    def test_every_cut(self):
        """Guards against ORDER: an event that is torn or lost between two reads."""
        for cut in range(len(EVENTS) + 1):
            buffer = EventBuffer()
            passed = buffer.feed(EVENTS[:cut]) + buffer.feed(EVENTS[cut:])
            self.assertEqual((passed, buffer.last_id), (EVENTS, "3"))

    def test_torn_event_is_dropped(self):
        """Guards against ORDER: a torn event before the one that another upstream repeats."""
        buffer = EventBuffer()
        buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        buffer.drop_rest()
        self.assertEqual(buffer.feed(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n")
