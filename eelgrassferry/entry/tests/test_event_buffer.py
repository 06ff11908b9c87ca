"""Tests of splitting a stream into events."""

import unittest

from ..event_buffer import EventBuffer

EVENTS = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


class EventBufferTest(unittest.TestCase):
    """Complete events wherever the byte stream is split."""

    def test_every_split_position(self):
        """Guards against an event that is truncated or lost when two reads split it."""
        for cut in range(len(EVENTS) + 1):
            buffer = EventBuffer()
            passed = buffer.feed(EVENTS[:cut]) + buffer.feed(EVENTS[cut:])
            self.assertEqual((passed, buffer.last_id), (EVENTS, "3"))

    def test_last_id_and_count(self):
        """Guards against resuming a stream at another event than the last one passed on."""
        for text, last_id, count in (
            (b"data: id: 7\n\n", "", 1),
            (b"id: 1\nid: 2\n\n\n\n", "2", 2),
            (b"id:4\r\n\r\nxid: 5\n\n", "4", 2),
            (b"id: 6\n\nid:\n\n", "", 2),
            (b"\n" * 6, "", 3),
        ):
            buffer = EventBuffer()
            buffer.feed(text)
            self.assertEqual((buffer.last_id, buffer.count), (last_id, count), text)

    def test_incomplete_event_is_discarded(self):
        """Guards against a truncated event in front of its repetition by another upstream.

        An upstream fails in the middle of an event, and the next upstream sends that event again.
        """
        buffer = EventBuffer()
        buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        buffer.discard_incomplete()
        self.assertEqual(buffer.feed(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n")
