"""Tests of the platform stand-in."""

import asyncio

from .. import PlatformOptions, PlatformStandin
from .support import StandinTestCase


class PlatformTest(StandinTestCase):
    """Calls to one platform over the loopback interface."""

    async def put(self, platform, key, value, version=0):
        condition = {"if_match": f'"{version}"'} if version else {"if_none_match": "*"}
        return await self.call(platform, "PUT", f"/objects/{key}", value, **condition)

    async def test_writes_are_conditional(self):
        """Guards against two writers that both succeed in replacing the same version."""
        platform = await self.start_server(PlatformStandin())
        first = await self.put(platform, "a/b", b"one")
        self.assertEqual((first.status, first.header("etag")), (200, '"1"'))
        self.assertEqual((await self.put(platform, "a/b", b"two")).status, 412)
        self.assertEqual((await self.put(platform, "a/b", b"two", 1)).header("etag"), '"2"')
        self.assertEqual((await self.put(platform, "a/b", b"three", 1)).status, 412)
        self.assertEqual((await self.call(platform, "PUT", "/objects/a/b", b"x")).status, 428)
        self.assertEqual((await self.put(platform, "big", b"x" * 1_000_001)).status, 413)
        stored = await self.call(platform, "GET", "/objects/a/b")
        self.assertEqual((stored.body, stored.header("etag")), (b"two", '"2"'))
        deleted = await self.call(platform, "DELETE", "/objects/a/b", if_match='"2"')
        self.assertEqual(deleted.status, 200)
        self.assertEqual((await self.call(platform, "GET", "/objects/a/b")).status, 404)

    async def test_watch_returns_only_changes_with_its_prefix(self):
        """Guards against a watch that misses a change or returns one outside its prefix."""
        platform = await self.start_server(PlatformStandin())
        await self.put(platform, "a/1", b"x")
        watch = asyncio.ensure_future(
            self.call(platform, "GET", "/watch?prefix=a/&after=1&timeout=5")
        )
        await self.wait_until(lambda: platform.counts["watch"] == 1)
        await self.put(platform, "b/1", b"x")
        await self.put(platform, "a/2", b"x")
        changes = [{"key": "a/2", "version": 3, "deleted": False}]
        self.assertEqual((await watch).json(), {"version": 3, "changes": changes})
        listed = (await self.call(platform, "GET", "/objects?prefix=a/")).json()
        self.assertEqual([item["key"] for item in listed], ["a/1", "a/2"])
        empty = await self.call(platform, "GET", "/watch?prefix=a/&after=3&timeout=0.01")
        self.assertEqual(empty.json()["changes"], [])

    async def test_lost_answer_takes_effect(self):
        """Guards against a fault ``lose_answers`` that loses the write as well as its answer."""
        platform = await self.start_server(PlatformStandin())
        await self.set_faults(platform, lose_answers=1)
        lost = await self.try_call(platform, "PUT", "/objects/a", b"x", if_none_match="*")
        self.assertTrue(lost.err_value.sent)
        self.assertEqual((await self.call(platform, "GET", "/objects/a")).body, b"x")
        self.assertEqual((await self.put(platform, "a", b"y", 1)).status, 200)

    async def test_write_of_cancelled_caller_may_take_effect(self):
        """Guards against a delay fault that always undoes the write of a caller that gave up."""
        platform = await self.start_server(PlatformStandin())
        await self.set_faults(platform, delay_ms=200)
        late = asyncio.ensure_future(self.put(platform, "a", b"x"))
        await self.wait_until(lambda: platform.objects.version == 1)
        self.assertFalse(late.done())
        late.cancel()
        self.assertEqual((await self.call(platform, "GET", "/objects/a")).body, b"x")

    async def test_faults_down_and_cut_domains(self):
        """Guards against a simulated partition that affects callers of other domains."""
        platform = await self.start_server(PlatformStandin())
        await self.set_faults(platform, cut_domains=["d1"])
        cut = await self.try_call(platform, "GET", "/hosts", x_domain="d1")
        self.assertTrue(cut.is_err())
        self.assertEqual((await self.call(platform, "GET", "/hosts", x_domain="d2")).status, 200)
        await self.set_faults(platform, cut_domains=[], down=True)
        down = await self.try_call(platform, "GET", "/hosts", x_domain="d1")
        self.assertEqual(down.unwrap().status, 503)
        refused = await self.call(platform, "POST", "/faults", {"donw": True})
        self.assertEqual(refused.status, 400)

    async def test_rates_are_limited_and_calls_counted(self):
        """Guards against a stand-in that admits more calls than the platform."""
        platform = await self.start_server(PlatformStandin(PlatformOptions(writes_per_s=4.0)))
        statuses = [(await self.put(platform, f"k{n}", b"x")).status for n in range(5)]
        self.assertEqual(statuses[0], 200)
        self.assertIn(429, statuses)
        counts = await self.read_counts(platform)
        self.assertEqual((counts["put"], counts["writes"]), (5, 5))
        self.assertEqual(counts["refused.rate_limited"], statuses.count(429))

    async def test_host_list_is_delayed(self):
        """Guards against a host list without delay, which would hide nodes that rely on it."""
        platform = await self.start_server(PlatformStandin(PlatformOptions(host_lag_s=60.0)))
        entry = {"address": "127.0.0.1:1", "kind": "node", "domain": "d1"}
        await self.call(platform, "PUT", "/hosts/n1", entry)
        self.assertEqual((await self.call(platform, "GET", "/hosts")).json(), {"hosts": []})
        await self.set_faults(platform, host_lag_s=0)
        await self.call(platform, "PUT", "/hosts/n1", {"state": "leaving"})
        hosts = (await self.call(platform, "GET", "/hosts")).json()["hosts"]
        self.assertEqual(hosts, [{"id": "n1", **entry, "state": "leaving"}])
        await self.call(platform, "DELETE", "/hosts/n1")
        self.assertEqual((await self.call(platform, "GET", "/hosts")).json(), {"hosts": []})
