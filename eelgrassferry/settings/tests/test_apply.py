"""Tests of configuration changes with concurrent writers, lost answers and partitions."""

import asyncio
import unittest
from dataclasses import replace

from result import Err, Ok

from ...objects import MemoryObjectStore, RateLimited
from .. import (
    ConfigChange,
    ConfigHolder,
    ConflictReason,
    Difference,
    SettingErrors,
    SettingsText,
    apply_change,
    decode_record,
    encode_record,
    read_config,
)
from .test_load import BASE


def make_change(change_id: str, based_on: int, overlay: str = "", base: str = BASE) -> ConfigChange:
    """Return a change that consists of the test base and an overlay."""
    texts = (SettingsText("base.ini", base), SettingsText("overlay.ini", overlay))
    return ConfigChange(*texts, based_on, change_id, f"author of {change_id}")


def make_overlay(value: int) -> str:
    """Return an overlay that sets the move cost."""
    return f"[site]\nmove_cost = {value}\n"


class RateLimitedStore(MemoryObjectStore):
    """Object store that refuses the first ``refusals`` reads as rate limited."""

    def __init__(self, refusals: int) -> None:
        super().__init__()
        self.refusals = refusals

    async def get(self, key):
        if self.refusals > 0:
            self.refusals -= 1
            return Err(RateLimited("get", "limited"))
        return await super().get(key)


class ApplyTest(unittest.IsolatedAsyncioTestCase):
    """Changes of one site, applied to an object store in memory."""

    def setUp(self) -> None:
        self.store = MemoryObjectStore()
        self.delays: list[float] = []

    async def apply(self, *args, **kwargs):
        async def sleep(delay_s: float) -> None:
            self.delays.append(delay_s)
            await asyncio.sleep(0)

        return await apply_change(self.store, "here", make_change(*args, **kwargs), sleep=sleep)

    async def test_race_of_two_operators(self):
        """Guards against a change that silently overwrites a concurrent one.

        Two operators apply changes that are based on the same revision at the same time.
        """
        (await self.apply("c0", 0)).unwrap()
        racers = (self.apply("c1", 1, make_overlay(20)), self.apply("c2", 1, make_overlay(30)))
        results = await asyncio.gather(*racers)
        won = [r.ok_value for r in results if r.is_ok()]
        lost = [r.err_value for r in results if r.is_err()]
        self.assertEqual([record.revision for record in won], [2])
        value = "20" if won[0].change_id == "c1" else "30"
        expected = (Difference("site", "move_cost", "10", value),)
        self.assertEqual(
            [(c.revision, c.differences, c.complete) for c in lost], [(2, expected, True)]
        )

    async def test_conflict_reports_all_changes_since(self):
        """Guards against a conflict that shows only the last of several changes."""
        (await self.apply("c0", 0)).unwrap()
        (await self.apply("c1", 1, make_overlay(20))).unwrap()
        (await self.apply("c2", 2, make_overlay(30) + "lease = 8 s\n")).unwrap()
        conflict = (await self.apply("c3", 1, make_overlay(40))).unwrap_err()
        lines = [str(difference) for difference in conflict.differences]
        self.assertEqual(lines, ["[site] move_cost: 10 -> 30", "[site] lease: 9 s -> 8 s"])
        (await self.apply("c4", 3)).unwrap()
        self.assertEqual((await self.apply("c5", 1)).unwrap_err().differences, ())

    async def test_lost_answer_is_resolved_by_reading_back(self):
        """Guards against a change that is applied twice, or reported as failed but in force.

        The write succeeds, but its answer is lost.
        """
        (await self.apply("c0", 0)).unwrap()
        self.store.faults.lose_answers = 1
        self.assertEqual((await self.apply("c1", 1, make_overlay(20))).unwrap().revision, 2)
        self.assertEqual((await read_config(self.store, "here")).unwrap().revision, 2)

    async def test_lost_answer_and_outage_is_uncertain(self):
        """Guards against reporting that a change was not applied although it is in force.

        The answer to the write is lost, and then the store is unavailable.
        """
        self.store.faults.lose_answers = 1
        original = self.store.put

        async def put_then_fail(*args):
            outcome = await original(*args)
            self.store.faults.down = True
            return outcome

        self.store.put = put_then_fail
        self.assertTrue((await self.apply("c0", 0)).unwrap_err().uncertain)
        self.store.faults.down = False
        self.assertEqual((await self.apply("c0", 0)).unwrap().revision, 1)

    async def test_outage_before_the_write_is_certain(self):
        """Guards against a result that is reported as uncertain although nothing was written."""
        self.store.faults.down = True
        self.assertFalse((await self.apply("c0", 0)).unwrap_err().uncertain)
        self.assertEqual(self.store.writes, 0)

    async def test_same_change_id_gets_the_same_revision(self):
        """Guards against a repeated call that is refused, or that overwrites a later change."""
        (await self.apply("c0", 0)).unwrap()
        first = (await self.apply("c1", 1, make_overlay(20))).unwrap()
        (await self.apply("c2", 2, make_overlay(30))).unwrap()
        self.assertEqual((await self.apply("c1", 1, make_overlay(20))).unwrap(), first)
        self.assertEqual((await read_config(self.store, "here")).unwrap().change_id, "c2")

    async def test_change_id_of_other_content_is_refused(self):
        """Guards against confirming a change that was never applied.

        Its change id was used before for other content.
        """
        (await self.apply("c0", 0)).unwrap()
        conflict = (await self.apply("c0", 1, make_overlay(20))).unwrap_err()
        self.assertIs(conflict.reason, ConflictReason.CHANGE_ID_REUSED)

    async def test_rate_limit_is_retried_with_growing_delays(self):
        """Guards against a change that fails in a short burst, and against endless retries."""
        self.store = RateLimitedStore(refusals=3)
        (await self.apply("c0", 0)).unwrap()
        self.assertEqual(len(self.delays), 3)
        self.assertGreater(self.delays[2], self.delays[0])
        self.store.refusals = 100
        self.assertIsInstance((await self.apply("c1", 1)).unwrap_err(), RateLimited)
        self.assertGreater(self.store.refusals, 90)

    async def test_invalid_change_is_not_written(self):
        """Guards against putting an invalid configuration, or that of another site, into force."""
        for overlay in ("[site]\nmove_cost = 0\n", "[site]\nname = elsewhere\n"):
            error = (await self.apply("c0", 0, overlay)).unwrap_err()
            self.assertIsInstance(error, SettingErrors)
        self.assertEqual(self.store.writes, 0)

    async def test_record_stays_bounded(self):
        """Guards against a record that exceeds the maximum object size after many changes."""
        (await self.apply("c", 0)).unwrap()
        many_models = "".join(f"[model x{n}]\nmemory = 1 MiB\n" for n in range(100))
        for number in range(1, 12):
            overlay = many_models if number % 2 else ""
            record = (await self.apply(f"c{number}", number, overlay)).unwrap()
        difference_count = sum(len(entry.differences) for entry in record.recent)
        self.assertLessEqual(difference_count, 1000)
        self.assertFalse((await self.apply("late", 1)).unwrap_err().complete)


class RecordTest(unittest.IsolatedAsyncioTestCase):
    """Encoding and decoding of records, and the configuration holder."""

    async def record(self):
        store = MemoryObjectStore()
        (await apply_change(store, "here", make_change("c0", 0))).unwrap()
        return (await apply_change(store, "here", make_change("c1", 1, make_overlay(20)))).unwrap()

    async def test_codec_keeps_the_record(self):
        """Guards against a field that is lost in encoding, and invalid data that is accepted."""
        record = await self.record()
        self.assertEqual(decode_record(encode_record(record)), Ok(record))
        for data in (b"", b"[]", b"{}", encode_record(record).replace(b'n":2', b'n":"2"')):
            self.assertTrue(decode_record(data).is_err())

    async def test_older_revision_after_a_partition_is_ignored(self):
        """Guards against a configuration that reverts to an older revision.

        A peer sends its old record when it returns after a partition.
        """
        record = await self.record()
        holder = ConfigHolder()
        self.assertEqual(holder.apply_if_newer(record), Ok(True))
        older = replace(record, revision=1, overlay=SettingsText("overlay.ini", ""))
        self.assertEqual(
            [holder.apply_if_newer(older), holder.apply_if_newer(record)], [Ok(False), Ok(False)]
        )
        self.assertEqual((holder.revision, holder.loaded.deployment.site.move_cost), (2, 20))

    async def test_record_that_does_not_load_is_refused(self):
        """Guards against a node that loses its configuration when it gets an invalid record."""
        record = await self.record()
        holder = ConfigHolder()
        holder.apply_if_newer(record)
        broken = replace(record, revision=3, base=SettingsText("base.ini", "x"))
        self.assertTrue(holder.apply_if_newer(broken).is_err())
        self.assertEqual(holder.revision, 2)
