"""Tests of the verdicts on crashing content that are kept in the store."""

import asyncio
import time
import unittest

from ...dispatch import CrashAnalyzer
from ...objects import MemoryObjectStore, MonitoredStore
from ..verdict_store import KEY, VerdictStore

DEADLY = ("part:deadly", "request:9")


def crash_twice(crashes: CrashAnalyzer) -> None:
    """Let two processes end under requests with the deadly part."""
    for number in (1, 2):
        crashes.record_broken(f"u{number}/1", ("part:deadly", f"request:{number}"), float(number))
        crashes.record_ended(f"u{number}/1", float(number))


class VerdictStoreTest(unittest.IsolatedAsyncioTestCase):
    """Processes that coordinate one after the other, each with an analyzer of its own."""

    def setUp(self):
        self.memory = MemoryObjectStore()
        self.leads = True

    def start_process(self) -> tuple[CrashAnalyzer, VerdictStore]:
        crashes = CrashAnalyzer()
        store = MonitoredStore(self.memory, time.monotonic)
        return crashes, VerdictStore(
            store, crashes, lambda: 3.0, lambda: self.leads, restarted=True
        )

    async def test_verdict_outlasts_all_processes(self):
        """Guards against a restart of all nodes after which the part crashes engines again."""
        crashes, verdicts = self.start_process()
        await verdicts.synchronize()
        crash_twice(crashes)
        await verdicts.synchronize()
        crashes, verdicts = self.start_process()
        self.assertFalse(crashes.is_blocked(DEADLY))
        await verdicts.synchronize()
        self.assertTrue(crashes.is_blocked(DEADLY))
        self.assertTrue(crashes.pop_updates().blocked)

    async def test_restarted_node_does_not_wait_for_a_coordinator(self):
        """Guards against crashes between the restart of all nodes and the first coordination."""
        await self.memory.put(KEY, b'{"blocked": [["part:deadly"]]}', 0)
        self.leads = False
        crashes, verdicts = self.start_process()
        task = asyncio.ensure_future(verdicts.run())
        await asyncio.sleep(0.05)
        task.cancel()
        self.assertTrue(crashes.is_blocked(DEADLY))

    async def test_lifted_verdict_does_not_return(self):
        """Guards against a restart that blocks content which has been answered since."""
        crashes, verdicts = self.start_process()
        crash_twice(crashes)
        await verdicts.synchronize()
        crashes.record_served(DEADLY, 5.0)
        await verdicts.synchronize()
        crashes, verdicts = self.start_process()
        await verdicts.synchronize()
        self.assertFalse(crashes.is_blocked(DEADLY))

    async def test_calm_fleet_writes_nothing(self):
        """Guards against calls of the store on days without a crash."""
        _, verdicts = self.start_process()
        for _ in range(3):
            await verdicts.synchronize()
        self.assertIsNone((await self.memory.get(KEY)).unwrap())

    async def test_write_of_another_coordinator_is_read_first(self):
        """Guards against overwriting a verdict of another coordinator."""
        crashes, verdicts = self.start_process()
        await verdicts.synchronize()
        await self.memory.put(KEY, b'{"blocked": [["part:other"]]}', 0)
        crash_twice(crashes)
        await verdicts.synchronize()
        await verdicts.synchronize()
        stored = (await self.memory.get(KEY)).unwrap()
        self.assertEqual(stored.value, b'{"blocked": [["part:deadly"], ["part:other"]]}')

    async def test_object_that_cannot_be_read_is_replaced(self):
        """Guards against a node that fails because of an object of another version."""
        for value in (b"no json", b"[]", b'{"blocked": 5}', b'{"blocked": [7]}'):
            self.setUp()
            await self.memory.put(KEY, value, 0)
            crashes, verdicts = self.start_process()
            crash_twice(crashes)
            await verdicts.synchronize()
            stored = (await self.memory.get(KEY)).unwrap()
            self.assertEqual(stored.value, b'{"blocked": [["part:deadly"]]}')

    async def test_verdict_is_stored_after_an_outage(self):
        """Guards against a verdict that is lost because the store was down when it was made."""
        crashes, verdicts = self.start_process()
        await verdicts.synchronize()
        crash_twice(crashes)
        self.memory.faults.down = True
        await verdicts.synchronize()
        self.memory.faults.down = False
        await verdicts.synchronize()
        self.assertIsNotNone((await self.memory.get(KEY)).unwrap())

    async def test_verdict_is_stored_again_after_a_restore(self):
        """Guards against a verdict that the store has lost, which ends with the last process."""
        crashes, verdicts = self.start_process()
        await verdicts.synchronize()
        copy = self.memory.make_copy()
        crash_twice(crashes)
        await verdicts.synchronize()
        await self.memory.restore(copy)
        await verdicts.synchronize()
        stored = (await self.memory.get(KEY)).unwrap()
        self.assertEqual(stored.value, b'{"blocked": [["part:deadly"]]}')
