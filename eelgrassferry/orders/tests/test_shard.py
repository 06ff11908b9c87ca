"""Tests of the content of a journal shard and of its writer."""

import unittest

from result import Err, Ok

from ...objects import Conflict, StoredObject, Unavailable
from .. import JournalShard, Outcome, ShardWriter, WriterSettings
from ..operations import (
    Abandon,
    AlreadyDone,
    AlreadyStarted,
    Begin,
    Complete,
    Granted,
    OperationFailed,
    ShardFull,
)
from ..shard import START_LIMIT_BYTES
from ..shard_writer import OperationAnswer, ReadCall, WriteCall


def begin(key="k", attempt="a1", instance="i1", digest="d"):
    return Begin(key, digest, instance, attempt)


class JournalShardTest(unittest.TestCase):
    """Tests of the records of a shard, without a store."""

    def test_content_survives_encoding(self):
        """Guards against a record that is lost or changed when another node decodes the shard."""
        shard = JournalShard()
        shard.apply(begin(), 100.0)
        shard.apply(Complete("k", "d", "i1", "a1", Outcome(201, b"body")), 101.0)
        shard.apply(begin("k2"), 102.0)
        shard.apply(Abandon("k2", "d", "i1", "a1"), 103.0)
        shard.record_write_id("w1")
        copy = JournalShard.decode(shard.encode(), 3600.0).unwrap()
        self.assertEqual([copy.find("k"), copy.find("k2")], [shard.find("k"), shard.find("k2")])
        self.assertEqual((copy.write_ids, copy.size_bytes), (["w1"], shard.size_bytes))
        self.assertEqual(
            copy.apply(begin(attempt="a2"), 104.0)[0], AlreadyDone(Outcome(201, b"body"))
        )
        self.assertEqual(copy.apply(begin("k2", "a2"), 104.0)[0], Granted("a2"))

    def test_malformed_object_is_an_error(self):
        """Guards against a node that crashes on or overwrites an object that it cannot decode."""
        for data in (b"", b"\xc1", b"\x01", b"\x93\x02\x90\x90", b"\x93\x01\x90\x91\x01", b"\x80"):
            self.assertIsInstance(JournalShard.decode(data, 3600.0), Err)

    def test_prune_removes_expired_records_only(self):
        """Guards against a journal that grows without limit or drops an order within retention."""
        shard = JournalShard(retention_s=100.0)
        shard.apply(begin("old"), 0.0)
        shard.apply(begin("new"), 50.0)
        self.assertEqual(shard.prune(101.0), 1)
        self.assertIsNone(shard.find("old"))
        self.assertEqual(
            shard.apply(begin("new", "a2", "i2"), 101.0), (AlreadyStarted("i1"), False)
        )

    def test_full_shard_refuses_orders_and_records_outcomes(self):
        """Guards against an oversized object and a started order whose end does not fit."""
        shard, count, answer = JournalShard(), 0, Granted("")
        while isinstance(answer, Granted):
            answer, _ = shard.apply(begin(f"key-{count}", f"a{count}"), 100.0)
            count += 1
        self.assertEqual(answer, ShardFull())
        self.assertLess(len(shard.encode()), START_LIMIT_BYTES)
        for number in range(count - 1):
            done = Complete(f"key-{number}", "d", "i1", f"a{number}", Outcome(200, b"x" * 4000))
            shard.apply(done, 101.0)
        self.assertLess(len(shard.encode()), 1_000_000)
        self.assertEqual(shard.find(f"key-{count - 2}").outcome.status, 200)


class ShardWriterTest(unittest.TestCase):
    """Tests of a writer whose store calls the test answers."""

    def setUp(self):
        self.writer = ShardWriter("journal/0", "i1", WriterSettings())

    def call(self, now=0.0):
        return self.writer.next_call(now, 1000.0)

    def start(self):
        self.writer.submit(begin(), 0.0)
        self.assertEqual(self.call(), ReadCall("journal/0"))
        self.writer.finish_read(Ok(None))
        write = self.call()
        self.assertIsInstance(write, WriteCall)
        return write

    def test_operations_during_a_write_share_the_next_write(self):
        """Guards against a separate write for each order and concurrent writes from one node."""
        self.start()
        for number in range(10):
            self.writer.submit(begin(f"x{number}"), 0.0)
        self.assertIsNone(self.call())
        self.assertEqual(self.writer.pop_answers(), ())
        self.writer.finish_write(Ok(1))
        self.assertEqual(self.writer.pop_answers(), (OperationAnswer(1, Granted("a1")),))
        self.assertIsInstance(self.call(), WriteCall)
        self.writer.finish_write(Ok(2))
        self.assertEqual(len(self.writer.pop_answers()), 10)
        self.assertIsNone(self.call())

    def test_lost_answer_is_resolved_by_the_write_id(self):
        """Guards against an order that is refused although its record was written."""
        write = self.start()
        self.writer.finish_write(Err(Unavailable("put", "p", "", uncertain=True)))
        self.assertEqual(self.call(), ReadCall("journal/0"))
        self.writer.finish_read(Ok(StoredObject("journal/0", 5, write.value)))
        self.assertEqual(self.writer.pop_answers(), (OperationAnswer(1, Granted("a1")),))

    def test_failure_shows_whether_a_record_may_be_written(self):
        """Guards against a record of a refused order whose attempt is never abandoned."""
        for uncertain in (True, False):
            self.setUp()
            self.start()
            self.writer.finish_write(Err(Unavailable("put", "p", "", uncertain)))
            if uncertain:
                self.assertIsInstance(self.call(), ReadCall)
                self.writer.finish_read(Err(Unavailable("get", "p", "", uncertain=False)))
            ((answered),) = self.writer.pop_answers()
            self.assertIsInstance(answered.answer, OperationFailed)
            self.assertEqual(answered.answer.uncertain, uncertain)

    def test_conflict_merges_with_the_other_writer(self):
        """Guards against two owners of a shard that overwrite each other's records."""
        self.start()
        other = JournalShard()
        other.apply(begin(attempt="b1", instance="i2"), 1000.0)
        self.writer.finish_write(Err(Conflict("put", "p", "journal/0")))
        self.assertIsInstance(self.call(), ReadCall)
        self.writer.finish_read(Ok(StoredObject("journal/0", 7, other.encode())))
        self.assertIsNone(self.call())
        self.assertEqual(self.writer.pop_answers(), (OperationAnswer(1, AlreadyStarted("i2")),))

    def test_end_of_an_order_waits_for_a_begin_up_to_the_linger_time(self):
        """Guards against a separate write for each outcome and an outcome that is never written."""
        self.start()
        self.writer.finish_write(Ok(1))
        self.writer.submit(Complete("k", "d", "i1", "a1", Outcome(200)), 1.0)
        self.assertIsNone(self.call(1.01))
        self.assertIsInstance(self.call(1.06), WriteCall)
