"""Tests of the stand-ins for a plain service and for the weight store."""

import asyncio

from .. import ServiceOptions, ServiceStandin, StoreOptions, StoreStandin
from ..shared_rate import SharedRate
from .support import StandinTestCase


class ServiceTest(StandinTestCase):
    """Requests to one plain service over the loopback interface."""

    async def send_order(self, service, key):
        return await self.try_call(service, "POST", "/bookings", b"{}", idempotency_key=key)

    async def test_every_run_of_a_key_is_counted(self):
        """Guards against a count that omits a repeated order or an order whose answer was lost."""
        service = await self.start_server(ServiceStandin(ServiceOptions(service_s=0.0)))
        first = (await self.send_order(service, "k1")).unwrap()
        self.assertEqual((first.status, first.json()["key"]), (201, "k1"))
        await self.send_order(service, "k1")
        await self.set_faults(service, lose_answers=1)
        self.assertTrue((await self.send_order(service, "k2")).err_value.sent)
        status = await self.call(service, "GET", "/status/k2")
        self.assertEqual(status.json(), {"id": "k2", "state": "known"})
        self.assertEqual((await self.read_counts(service))["orders"], {"k1": 2, "k2": 1})

    async def test_refused_orders_do_not_run(self):
        """Guards against an order that runs although it was refused as not run."""
        options = ServiceOptions(service_s=30.0, concurrency=1)
        service = await self.start_server(ServiceStandin(options))
        running = asyncio.ensure_future(self.send_order(service, "k1"))
        await self.wait_until(lambda: service.orders["k1"] == 1)
        full = (await self.send_order(service, "k2")).unwrap()
        self.assertEqual((full.status, full.header("x-did-not-run")), (503, "1"))
        running.cancel()
        await self.set_faults(service, refuse=True)
        self.assertEqual((await self.send_order(service, "k3")).unwrap().status, 503)
        await self.set_faults(service, refuse=False, down=True)
        self.assertTrue((await self.send_order(service, "k4")).is_err())
        self.assertEqual((await self.read_counts(service))["orders"], {"k1": 1})


class StoreTest(StandinTestCase):
    """Transfers from the weight store, and its shared rate."""

    def test_transfers_share_the_rate_beyond_the_slots(self):
        """Guards against a total rate above the limit, and progress lost when a transfer joins."""
        rate = SharedRate(2)
        ended = {}
        for name, at_s in (("a", 0.0), ("b", 0.0), ("c", 1.0), ("d", 1.0)):
            rate.add(name, 2.0, at_s)
        while (next_end_s := rate.next_end_s()) is not None:
            ended.update(dict.fromkeys(rate.pop_finished(next_end_s), next_end_s))
        self.assertEqual(ended, {"a": 3.0, "b": 3.0, "c": 4.0, "d": 4.0})

    async def test_transfers_are_counted_and_aborted_when_down(self):
        """Guards against a transfer that completes while the store is down."""
        store = await self.start_server(StoreStandin(StoreOptions(loads_per_s=0.01)))
        target = "/weights/m1?size_mib=10"
        waiting = asyncio.ensure_future(self.try_call(store, "GET", target))
        await self.wait_until(lambda: store.counts["model_transfers"] == 1)
        adapter = await self.call(store, "GET", "/weights/a1?size_mib=1&kind=adapter")
        self.assertEqual(adapter.status, 200)
        await self.set_faults(store, down=True)
        self.assertTrue((await waiting).is_err())
        self.assertEqual((await self.call(store, "GET", target)).status, 503)
        counts = await self.read_counts(store)
        self.assertEqual((counts["model_requests"], counts["adapter_completed"]), (2, 1))
        self.assertNotIn("model_completed", counts)
