"""Tests of the HTTP client of the object API against a scripted platform."""

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
    put_settled,
)


class HttpObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    """One server that gives the answer set in ``self.answer`` (None: closes the connection)."""

    async def asyncSetUp(self):
        self.answer = HttpResponse(200)
        self.seen = []

        async def serve(req, out):
            self.seen.append(req)
            if self.answer is None:
                raise ConnectionError
            await out.send(self.answer)

        self.server = HttpServer(serve, host="127.0.0.1", port=0)
        await self.server.start()
        self.addAsyncCleanup(self.server.close, 0)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.store = HttpObjectStore(self.client, self.server.address, "d1")

    async def test_uncertain_exactly_where_the_write_may_have_taken_effect(self):
        """Guards against a lost write taken as refused, and a refusal taken as lost."""
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
        for answer, kind, uncertain in cases:
            self.answer = answer
            error = (await self.store.put("a", b"1", 3)).unwrap_err()
            self.assertIsInstance(error, kind)
            self.assertEqual(getattr(error, "uncertain", None), uncertain, answer)
        await self.server.close(0)
        self.client.close()
        error = (await self.store.put("a", b"1", 3)).unwrap_err()
        self.assertEqual(error.uncertain, False)

    async def test_write_carries_its_condition_and_domain(self):
        """Guards against unconditional writes."""
        self.answer = HttpResponse(200, (("etag", '"9"'),))
        self.assertEqual(await self.store.put("leases/a", b"1", 0), Ok(9))
        self.assertEqual(await self.store.put("leases/a", b"1", 9), Ok(9))
        self.assertEqual(self.seen[0].header("if-none-match"), "*")
        self.assertEqual(self.seen[1].header("if-match"), '"9"')
        self.assertEqual(self.seen[1].header("x-domain"), "d1")
        self.assertEqual(self.seen[1].path, "/objects/leases/a")

    async def test_lists_watches_and_hosts_are_decoded(self):
        """Guards against a client that reads another format than the platform writes."""
        self.answer = HttpResponse.of_json([{"key": "a", "version": 2, "value": "eA=="}])
        (held,) = (await self.store.list("a")).unwrap()
        self.assertEqual((held.version, held.value), (2, b"x"))
        self.answer = HttpResponse.of_json(
            {"version": 5, "changes": [{"key": "a", "version": 4, "deleted": True}]}
        )
        watched = (await self.store.watch("a", 3, 0.1)).unwrap()
        self.assertEqual((watched.version, watched.changes[0].deleted), (5, True))
        entry = {"id": "u1", "address": "127.0.0.1:1", "kind": "engine", "domain": "d1"}
        self.answer = HttpResponse.of_json({"hosts": [{**entry, "state": "leaving"}]})
        (host,) = (await HostList(self.client, self.server.address, "d1").read()).unwrap()
        self.assertEqual((host.id, host.state), ("u1", HostState.LEAVING))
        self.answer = HttpResponse(200, (), json.dumps({"hosts": [{}]}).encode())
        self.assertTrue((await HostList(self.client, self.server.address, "d1").read()).is_err())

    async def test_equal_host_lists_are_decoded_once(self):
        """Guards against decoding 1,260 hosts at every read, and against a change that is missed
        for it, also after a malformed answer."""
        entry = {"id": "u1", "address": "127.0.0.1:1", "kind": "engine", "domain": "d1"}
        hosts = HostList(self.client, self.server.address, "d1")
        live = HttpResponse.of_json({"hosts": [{**entry, "state": "live"}]})
        self.answer = live
        first = (await hosts.read()).unwrap()
        self.assertIs((await hosts.read()).unwrap(), first)
        self.answer = HttpResponse.of_json({"hosts": [{**entry, "state": "leaving"}]})
        self.assertEqual((await hosts.read()).unwrap()[0].state, HostState.LEAVING)
        for body in (b'{"hosts": [{}]}', b""):
            self.answer = HttpResponse(200, (), body)
            self.assertTrue((await hosts.read()).is_err())
            self.assertTrue((await hosts.read()).is_err())
        self.answer = live
        self.assertEqual((await hosts.read()).unwrap()[0].state, HostState.LIVE)


class PutSettledTest(unittest.IsolatedAsyncioTestCase):
    """Lost answers of conditional writes."""

    async def test_lost_answer_is_found_by_its_id(self):
        """Guards against writing twice, or giving up, after an answer was lost."""
        store = MemoryObjectStore()
        store.faults.lose_answers = 1
        res = await put_settled(store, "a", b"id-1", 0, lambda held: b"id-1" in held)
        self.assertEqual(res, Ok(1))

    async def test_write_of_another_is_a_conflict(self):
        """Guards against taking the value of another writer for one's own."""
        store = MemoryObjectStore()
        await store.put("a", b"id-2", 0)
        store.faults.lose_answers = 1
        res = await put_settled(store, "a", b"id-1", 0, lambda held: b"id-1" in held)
        self.assertIsInstance(res.unwrap_err(), Conflict)

    async def test_write_that_never_arrived_is_repeated(self):
        """Guards against calling a lost request refused while it may still arrive."""
        store = MemoryObjectStore()
        put = store.put

        async def drop_first(key, value, expected):
            store.put = put
            return Err(Unavailable("put", "memory", "timeout", uncertain=True))

        store.put = drop_first
        res = await put_settled(store, "a", b"id-1", 0, lambda held: b"id-1" in held)
        self.assertEqual(res, Ok(1))

    async def test_store_that_stays_down_leaves_the_write_uncertain(self):
        """Guards against reporting a definite refusal after an uncertain attempt."""
        store = MemoryObjectStore()

        async def lose(key, value, expected):
            store.faults.down = True
            store.put = type(store).put.__get__(store)
            return Err(Unavailable("put", "memory", "timeout", uncertain=True))

        store.put = lose
        res = await asyncio.wait_for(put_settled(store, "a", b"1", 0, lambda _: True), 5)
        self.assertEqual(res.unwrap_err().uncertain, True)
