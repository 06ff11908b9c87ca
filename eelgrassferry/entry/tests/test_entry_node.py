"""Tests of the periodic work of an entry node."""

import asyncio
import unittest
from unittest.mock import Mock, patch

from structlog.testing import capture_logs

from ...fleet import EntrySettings
from ...platform.platform_protocol import make_platform_protocol
from ..entry_node import EntryNode


class TickTest(unittest.IsolatedAsyncioTestCase):
    """Steps of the periodic work that raise errors."""

    async def asyncSetUp(self):
        settings = EntrySettings("n1", "a", "", "", "", "127.0.0.1:9")
        client = Mock()
        protocol = make_platform_protocol(client, "127.0.0.1:9")
        self.node = EntryNode(settings, protocol, client, "", Mock())
        self.logs = self.enterContext(capture_logs())

    async def tick(self) -> None:
        """Let the periodic work run for some rounds."""
        task = asyncio.ensure_future(self.node._tick())
        await asyncio.sleep(0.1)
        self.assertFalse(task.done())
        task.cancel()

    async def test_other_steps_go_on(self):
        """Guards against a node that stops because one step of its periodic work has failed."""

        def expire() -> None:
            raise KeyError("u1")

        with (
            patch.object(self.node._registry, "expire", expire),
            patch.object(self.node._dispatcher, "dispatch_waiting", return_value=[]) as dispatch,
        ):
            await self.tick()
        self.assertGreater(dispatch.call_count, 1)
        self.assertGreater(self.node._metrics.counters["steps_failed"], 1)
        (name,) = {line["name"] for line in self.logs if line["event"] == "step failed"}
        self.assertIn("expire", name)

    async def test_failed_task_ends_the_process_with_an_error(self):
        """Guards against a supervisor that takes a failed process for one that was stopped."""

        async def fail() -> None:
            raise ValueError("bug")

        task = asyncio.ensure_future(fail())
        task.add_done_callback(self.node._on_task_done)
        await asyncio.wait([task])
        await asyncio.sleep(0)
        self.assertTrue(self.node._stop.is_set())
        self.assertTrue(self.node._has_failed)
        self.assertEqual(self.node._metrics.counters["tasks_failed"], 1)
