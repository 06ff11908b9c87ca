"""Tests of the order journal over real connections between nodes."""

import asyncio
from random import Random

from result import Ok

from ...objects import MemoryObjectStore
from ...peers import PeerMesh
from ...peers.tests.test_mesh import MeshTestCase, until
from .. import (
    InProgress,
    JournalSettings,
    JournalUnavailable,
    KeyReused,
    NewAttempt,
    OrderJournal,
    Outcome,
    OutcomeUnknown,
    Replay,
)
from ..operations import EndRecorded, Granted, JournalAnswer, JournalCall


class OrderJournalTest(MeshTestCase):
    """Two nodes that both regard ``a`` as the owner of all shards."""

    async def asyncSetUp(self):
        self.store = MemoryObjectStore()
        self.dead = set()
        self.meshes, self.journals = {}, {}
        for name in "ab":
            mesh = PeerMesh(name, "d1", f"{name}-1", "127.0.0.1:0", ("k",), rng=Random(1))
            await mesh.start()
            settings = JournalSettings(shards=4, owner_timeout_s=0.3, linger_s=0.0)
            journal = OrderJournal(
                mesh, self.store, lambda key: "a", lambda i: i not in self.dead, settings
            )
            self.meshes[name], self.journals[name] = mesh, journal
            self.addAsyncCleanup(mesh.close)
            self.addAsyncCleanup(journal.close)
        self.a, self.b = self.journals.values()
        self.meshes["b"].set_targets({"a": self.meshes["a"].address})
        await until(lambda: self.meshes["b"].is_connected("a"))

    async def begin(self, journal, key="k", digest="d"):
        return await journal.begin(key, digest)

    async def test_order_is_granted_once_and_replayed(self):
        """Guards against a second run, a lost outcome and a key reused for other content."""
        attempt = (await self.begin(self.b)).unwrap().attempt
        self.assertEqual(await self.begin(self.a), Ok(InProgress("b-1")))
        outcome = Outcome(201, b"booked")
        self.assertEqual(await self.b.complete("k", attempt, outcome), Ok(None))
        for journal in (self.a, self.b):
            self.assertEqual(await self.begin(journal), Ok(Replay(outcome)))
            self.assertIsInstance((await self.begin(journal, digest="x")).err_value, KeyReused)

    async def test_abandoned_order_may_be_tried_again(self):
        """Guards against a key that stays blocked after the upstream has refused the order."""
        first = (await self.begin(self.b)).unwrap()
        await self.b.abandon("k", first.attempt)
        again = (await self.begin(self.a)).unwrap()
        self.assertIsInstance(again, NewAttempt)
        self.assertNotEqual(again, first)

    async def test_order_of_a_dead_instance_is_unknown(self):
        """Guards against an order that runs again because the node that started it has died."""
        await self.begin(self.b)
        self.dead.add("b-1")
        self.assertEqual(await self.begin(self.a), Ok(OutcomeUnknown()))

    async def test_unreachable_owner_is_replaced(self):
        """Guards against orders that fail because the owner of their shard has stopped."""
        await self.meshes["a"].close()
        self.assertIsInstance((await self.begin(self.b)).unwrap(), NewAttempt)

    async def test_outage_refuses_and_later_records_the_end(self):
        """Guards against a dispatch without a record and an outcome lost in a store outage."""
        attempt = (await self.begin(self.b)).unwrap().attempt
        self.store.faults.down = True
        self.assertIsInstance((await self.begin(self.b, "k2")).err_value, JournalUnavailable)
        outcome = Outcome(200, b"late")
        ended = await self.b.complete("k", attempt, outcome)
        self.assertIsInstance(ended.err_value, JournalUnavailable)
        self.assertEqual(await self.begin(self.b), Ok(Replay(outcome)))
        self.store.faults.down = False
        await until(lambda: self.b.unrecorded_ends == 0)
        self.assertEqual(await self.begin(self.a), Ok(Replay(outcome)))
        self.assertIsInstance((await self.begin(self.b, "k2")).unwrap(), NewAttempt)

    async def test_lost_answers_are_resolved(self):
        """Guards against an order that is refused or granted twice after a lost store answer."""
        self.store.faults.lose_answers = 1
        self.assertIsInstance((await self.begin(self.b)).unwrap(), NewAttempt)
        self.assertEqual(await self.begin(self.a), Ok(InProgress("b-1")))

    async def test_answer_for_another_attempt_is_ignored(self):
        """Guards against a caller that accepts the grant of another caller's attempt."""
        for wrong in (Granted("b-1/99"), EndRecorded()):
            self.meshes["a"].handle(JournalCall, lambda peer, call, w=wrong: JournalAnswer(w))
            key = f"k-{wrong}"
            attempt = (await self.begin(self.b, key)).unwrap().attempt
            self.assertNotEqual(attempt, "b-1/99")
            self.assertEqual(await self.begin(self.a, key), Ok(InProgress("b-1")))

    async def test_cancelled_begin_frees_its_key(self):
        """Guards against a key that stays blocked after its caller has disconnected."""
        task = asyncio.ensure_future(self.begin(self.b))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait({task})
        await until(lambda: self.b.unrecorded_ends == 0)
        self.assertIsInstance((await self.begin(self.a)).unwrap(), NewAttempt)
