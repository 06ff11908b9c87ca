"""Tests for reading an engine's status."""

import time
import unittest

from ...http import HttpClient
from ...standins import EngineOptions, EngineStandin
from .. import engine_poll
from ..engine_poll import read_engine_status


class EngineStatusTest(unittest.IsolatedAsyncioTestCase):
    """The status of an engine stand-in."""

    async def test_status_includes_load(self):
        """Guards against a second request at each poll, which would read the same load later."""
        engine = EngineStandin(EngineOptions(preload=("m1:1:8000",)))
        await engine.start()
        self.addAsyncCleanup(engine.close, 0)
        client = HttpClient()
        self.addCleanup(client.close)
        before = time.monotonic()
        view = (await read_engine_status(client, "u1", engine.address)).unwrap()
        self.assertEqual([copy.name for copy in view.copies], ["m1"])
        self.assertEqual((view.load.upstream, view.load.running, view.load.queued), ("u1", 0, 0))
        self.assertGreaterEqual(view.load.measured_at, before)
        self.assertLessEqual(view.load.measured_at, time.monotonic())

    def test_status_without_load_is_malformed(self):
        """Guards against missing load figures that are read as no load."""
        value = {"residents": [], "instance": "i", "memory_mib": 1, "used_mib": 0, "queued": 0}
        read = engine_poll._decode("a", lambda: engine_poll._to_view("u1", value, 0.0))
        self.assertEqual(read.unwrap_err().step, "decode")


if __name__ == "__main__":
    unittest.main()
