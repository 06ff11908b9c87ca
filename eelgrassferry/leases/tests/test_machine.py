"""Tests of the lease state machine and its driver."""

import asyncio
import unittest

from result import Err, Ok

from ...objects import Conflict, MemoryObjectStore, StoredObject, Unavailable
from .. import LeaseKeeper, LeaseMachine, LeaseRecord, ReadLease, WriteLease

RESPONSE_LOST = Err(Unavailable("put", "memory", "timeout", uncertain=True))
STORE_DOWN = Err(Unavailable("put", "memory", "down", uncertain=False))


def acquire(machine: LeaseMachine, now: float) -> LeaseRecord:
    """Let the machine take a lease without a holder; the object gets version 1."""
    assert machine.tick(now) == (ReadLease(),)
    machine.on_read(Ok(None), now)
    (write,) = machine.tick(now)
    machine.on_write(Ok(1), now)
    return LeaseRecord.decode(write.value).unwrap()


class LeaseMachineTest(unittest.TestCase):
    """One candidate with scripted responses of the object store."""

    def test_term_counts_from_the_moment_of_sending(self):
        """Guards against a holder that acts after a successor may have taken over."""
        machine = LeaseMachine("a", "n1:x")
        machine.tick(0.0)
        machine.on_read(Ok(None), 0.0)
        machine.tick(1.0)
        machine.on_write(Ok(1), 5.0)
        self.assertIsNotNone(machine.term(8.9))
        self.assertIsNone(machine.term(9.0))

    def test_holder_renews_and_stops_if_renewals_fail(self):
        """Guards against a holder that keeps acting while the object API is down."""
        machine = LeaseMachine("a", "n1:x")
        acquire(machine, 0.0)
        self.assertEqual(machine.tick(2.9), ())
        self.assertIsInstance(machine.tick(3.0)[0], WriteLease)
        machine.on_write(Ok(2), 3.1)
        now = 6.0
        while machine.term(now) is not None:
            if machine.tick(now):
                machine.on_write(STORE_DOWN, now)
            now += 0.25
        self.assertAlmostEqual(now, 11.0)

    def test_candidate_waits_for_an_unchanged_version(self):
        """Guards against a takeover while the holder still renews."""
        machine = LeaseMachine("a", "n2:y")
        value = LeaseRecord("n1:x", 4, 9.0, "n1:x/1").encode()
        now, version = 0.0, 7
        while now < 60.0:
            for action in machine.tick(now):
                self.assertEqual(action, ReadLease())
                machine.on_read(Ok(StoredObject("leases/a", version, value)), now)
            now += 0.5
            version += now % 6 == 0
        last_change_s = 60.0
        while not any(isinstance(action, WriteLease) for action in machine.tick(now)):
            machine.on_read(Ok(StoredObject("leases/a", version, value)), now)
            now += 0.1
        self.assertGreaterEqual(now, last_change_s + 9.0)
        machine.on_write(Ok(version + 1), now)
        self.assertEqual(machine.term(now).epoch, 5)

    def test_lost_response_is_resolved_by_reading_back(self):
        """Guards against a holder that does not detect that it has acquired the lease."""
        machine = LeaseMachine("a", "n1:x")
        machine.tick(0.0)
        machine.on_read(Ok(None), 0.0)
        (write,) = machine.tick(0.0)
        machine.on_write(RESPONSE_LOST, 1.0)
        self.assertIsNone(machine.term(1.0))
        self.assertEqual(machine.tick(2.0), (ReadLease(),))
        machine.on_read(Ok(StoredObject("leases/a", 3, write.value)), 2.0)
        self.assertEqual(machine.term(2.0).valid_until, 8.0)

    def test_late_write_found_after_a_second_one_conflicted(self):
        """Guards against taking the lease twice if a write without a response takes effect late."""
        machine = LeaseMachine("a", "n1:x")
        machine.tick(0.0)
        machine.on_read(Ok(None), 0.0)
        (first,) = machine.tick(0.0)
        machine.on_write(RESPONSE_LOST, 1.0)
        machine.tick(2.0)
        machine.on_read(Ok(None), 2.0)
        machine.tick(2.0)
        machine.on_write(Err(Conflict("put", "memory", "leases/a")), 2.1)
        machine.tick(2.2)
        machine.on_read(Ok(StoredObject("leases/a", 3, first.value)), 2.2)
        self.assertEqual(machine.term(2.2).valid_until, 8.0)

    def test_holder_after_a_gap_takes_a_new_epoch(self):
        """Guards against a paused holder whose earlier orders carry a valid fencing token."""
        machine = LeaseMachine("a", "n1:x")
        self.assertEqual(acquire(machine, 0.0).epoch, 1)
        (write,) = machine.tick(30.0)
        self.assertEqual(LeaseRecord.decode(write.value).unwrap().epoch, 2)

    def test_undecodable_object_is_not_taken(self):
        """Guards against epochs that restart from 1."""
        machine = LeaseMachine("a", "n1:x")
        for now in range(0, 100):
            for action in machine.tick(now):
                self.assertEqual(action, ReadLease())
                machine.on_read(Ok(StoredObject("leases/a", 2, b"{}")), now)


class LeaseKeeperTest(unittest.IsolatedAsyncioTestCase):
    """Two keepers on one store, with a clock that the test advances."""

    async def test_released_lease_is_taken_at_once(self):
        """Guards against waiting for the lease to expire after a planned stop."""
        store, now = MemoryObjectStore(), [0.0]
        keepers = []
        for name in ("n1:x", "n2:y"):
            keeper = LeaseKeeper(store, LeaseMachine("a", name), clock=lambda: now[0])
            task = asyncio.ensure_future(keeper.run())
            self.addCleanup(task.cancel)
            keepers.append(keeper)
            while not any(keeper.term() for keeper in keepers):
                await asyncio.sleep(0.01)
        self.assertIsNone(keepers[1].term())
        store.faults.lose_answers = 1
        release = asyncio.ensure_future(keepers[0].release())
        while keepers[1].term() is None:
            now[0] += 0.3
            await asyncio.sleep(0.01)
            self.assertIsNone(keepers[0].term())
        await release
        self.assertEqual(keepers[1].term().epoch, 2)
        self.assertEqual(keepers[1].term().acknowledged, frozenset({"n1:x"}))
