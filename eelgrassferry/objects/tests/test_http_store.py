"""Tests of the HTTP clients of the platform and of conditional writes."""

import asyncio
import json
import unittest

from result import Err, Ok

from ...http import HttpClient, HttpResponse, HttpServer
from .. import (
    Conflict,
    HostList,
    HostState,
    HttpObjectStore,
    MemoryObjectStore,
    RateLimited,
    TooLarge,
    Unavailable,
    put_and_resolve,
)


class HttpObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    """A server that sends ``self.response`` (None: closes the connection)."""

    async def asyncSetUp(self):
        self.response = HttpResponse(200)
        self.requests = []

        async def serve(req, out):
            self.requests.append(req)
            if self.response is None:
                raise ConnectionError
            await out.send(self.response)

        self.server = HttpServer(serve, host="127.0.0.1", port=0)
        await self.server.start()
        self.addAsyncCleanup(self.server.close, 0)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.store = HttpObjectStore(self.client, self.server.address, "d1")

    async def test_uncertain_only_if_the_write_may_have_taken_effect(self):
        """Guards against reporting a lost write as refused, or a refused write as lost."""
        cases = [
            (HttpResponse(412), Conflict, None),
            (HttpResponse(413), TooLarge, None),
            (HttpResponse(429), RateLimited, None),
            (HttpResponse(503), Unavailable, False),
            (HttpResponse(400), Unavailable, False),
            (HttpResponse(500), Unavailable, True),
            (HttpResponse(200), Unavailable, True),
            (None, Unavailable, True),
        ]
        for response, error_type, uncertain in cases:
            self.response = response
            error = (await self.store.put("a", b"1", 3)).unwrap_err()
            self.assertIsInstance(error, error_type)
            self.assertEqual(getattr(error, "uncertain", None), uncertain, response)
        await self.server.close(0)
        self.client.close()
        error = (await self.store.put("a", b"1", 3)).unwrap_err()
        self.assertEqual(error.uncertain, False)

    async def test_write_sends_its_precondition_and_domain(self):
        """Guards against unconditional writes."""
        self.response = HttpResponse(200, (("etag", '"9"'),))
        self.assertEqual(await self.store.put("leases/a", b"1", 0), Ok(9))
        self.assertEqual(await self.store.put("leases/a", b"1", 9), Ok(9))
        self.assertEqual(self.requests[0].header("if-none-match"), "*")
        self.assertEqual(self.requests[1].header("if-match"), '"9"')
        self.assertEqual(self.requests[1].header("x-domain"), "d1")
        self.assertEqual(self.requests[1].path, "/objects/leases/a")

    async def test_lists_watches_and_hosts_are_decoded(self):
        """Guards against a client that expects another format than the platform sends."""
        self.response = HttpResponse.of_json([{"key": "a", "version": 2, "value": "eA=="}])
        (stored,) = (await self.store.list("a")).unwrap()
        self.assertEqual((stored.version, stored.value), (2, b"x"))
        self.response = HttpResponse.of_json(
            {"version": 5, "changes": [{"key": "a", "version": 4, "deleted": True}]}
        )
        result = (await self.store.watch("a", 3, 0.1)).unwrap()
        self.assertEqual((result.version, result.changes[0].deleted), (5, True))
        entry = {"id": "u1", "address": "127.0.0.1:1", "kind": "engine", "domain": "d1"}
        self.response = HttpResponse.of_json({"hosts": [{**entry, "state": "leaving"}]})
        (host,) = (await HostList(self.client, self.server.address, "d1").read()).unwrap()
        self.assertEqual((host.id, host.state), ("u1", HostState.LEAVING))
        self.response = HttpResponse(200, (), json.dumps({"hosts": [{}]}).encode())
        self.assertTrue((await HostList(self.client, self.server.address, "d1").read()).is_err())

    async def test_equal_host_lists_are_decoded_once(self):
        """Guards against decoding 1,260 hosts at every read.

        A changed list must still be decoded, also after a malformed response.
        """
        entry = {"id": "u1", "address": "127.0.0.1:1", "kind": "engine", "domain": "d1"}
        hosts = HostList(self.client, self.server.address, "d1")
        live = HttpResponse.of_json({"hosts": [{**entry, "state": "live"}]})
        self.response = live
        first = (await hosts.read()).unwrap()
        self.assertIs((await hosts.read()).unwrap(), first)
        self.response = HttpResponse.of_json({"hosts": [{**entry, "state": "leaving"}]})
        self.assertEqual((await hosts.read()).unwrap()[0].state, HostState.LEAVING)
        for body in (b'{"hosts": [{}]}', b""):
            self.response = HttpResponse(200, (), body)
            self.assertTrue((await hosts.read()).is_err())
            self.assertTrue((await hosts.read()).is_err())
        self.response = live
        self.assertEqual((await hosts.read()).unwrap()[0].state, HostState.LIVE)


class PutAndResolveTest(unittest.IsolatedAsyncioTestCase):
    """Conditional writes whose response is lost."""

    async def test_write_with_a_lost_response_is_found_by_its_id(self):
        """Guards against writing twice or giving up after a lost response."""
        store = MemoryObjectStore()
        store.faults.lose_answers = 1
        res = await put_and_resolve(store, "a", b"id-1", 0, lambda value: b"id-1" in value)
        self.assertEqual(res, Ok(1))

    async def test_write_by_another_writer_is_a_conflict(self):
        """Guards against mistaking another writer's value for this write."""
        store = MemoryObjectStore()
        await store.put("a", b"id-2", 0)
        store.faults.lose_answers = 1
        res = await put_and_resolve(store, "a", b"id-1", 0, lambda value: b"id-1" in value)
        self.assertIsInstance(res.unwrap_err(), Conflict)

    async def test_write_that_never_arrived_is_repeated(self):
        """Guards against reporting a lost request as refused while it may still arrive."""
        store = MemoryObjectStore()
        put = store.put

        async def drop_first(key, value, expected):
            store.put = put
            return Err(Unavailable("put", "memory", "timeout", uncertain=True))

        store.put = drop_first
        res = await put_and_resolve(store, "a", b"id-1", 0, lambda value: b"id-1" in value)
        self.assertEqual(res, Ok(1))

    async def test_store_that_stays_down_leaves_the_write_uncertain(self):
        """Guards against reporting a definite refusal after an uncertain attempt."""
        store = MemoryObjectStore()

        async def lose(key, value, expected):
            store.faults.down = True
            store.put = type(store).put.__get__(store)
            return Err(Unavailable("put", "memory", "timeout", uncertain=True))

        store.put = lose
        res = await asyncio.wait_for(put_and_resolve(store, "a", b"1", 0, lambda _: True), 5)
        self.assertEqual(res.unwrap_err().uncertain, True)
