"""Tests of the operators' API."""

import unittest

from result import Err, Ok

from ...http import HttpRequest
from ...metrics import Metrics
from ...objects import MemoryObjectStore
from .. import (
    ConfigHolder,
    DrainError,
    Explanation,
    NodeState,
    OperatorApi,
    StatusView,
    encode_change,
)
from .test_apply import make_change, make_overlay


class FakeNode:
    """Node that returns fixed results."""

    def status(self) -> StatusView:
        return StatusView("n1", 3, (NodeState("n1", "d1", "live", 3),), (), {"refused.x": 1})

    async def drain(self, name):
        return Ok("draining") if name == "e1" else Err(DrainError("drain", name, f"no {name}"))

    def explain(self, request_id, model):
        return Explanation("m1", ("resident on e1",)) if model == "m1" else None


class OperatorApiTest(unittest.IsolatedAsyncioTestCase):
    """An operators' API with an empty object store."""

    def setUp(self) -> None:
        self.store, self.holder, self.metrics = MemoryObjectStore(), ConfigHolder(), Metrics()
        self.accepted: list[int] = []
        self.api = OperatorApi(
            "here",
            "secret",
            self.store,
            self.holder,
            FakeNode(),
            metrics=self.metrics,
            on_accept=lambda record: self.accepted.append(record.revision),
        )

    async def call(self, method: str, target: str, body: bytes = b"", token: str = "secret"):
        headers = (("authorization", f"Bearer {token}"),)
        res = await self.api.handle(HttpRequest(method, target, headers, body))
        return res.status, res.json()

    async def apply(self, *args):
        return await self.call("POST", "/config/apply", encode_change(make_change(*args)))

    async def test_wrong_token_is_refused(self):
        """Guards against unauthorized access to the configuration."""
        for token in ("", "wrong", "secret2"):
            status, problem = await self.call("GET", "/status", token=token)
            self.assertEqual((status, problem["reason"]), (401, "unauthorized"))
        self.api._token = ""
        self.assertEqual((await self.call("GET", "/status", token=""))[0], 401)
        self.assertEqual(self.metrics.counters["refused.unauthorized"], 4)

    async def test_apply_reaches_the_holder_and_the_peers_once(self):
        """Guards against an accepted change that is not put into force at its own node.

        A repeated call must not be passed to the peers again.
        """
        self.assertEqual(await self.apply("c0", 0), (200, {"revision": 1, "change_id": "c0"}))
        await self.apply("c1", 1, make_overlay(20))
        self.assertEqual(await self.apply("c0", 0), (200, {"revision": 1, "change_id": "c0"}))
        self.assertEqual((self.holder.revision, self.accepted), (2, [1, 2]))
        status, config = await self.call("GET", "/config")
        self.assertEqual(
            (status, config["revision"], config["overlay"]), (200, 2, make_overlay(20))
        )

    async def test_conflict_shows_the_difference(self):
        """Guards against a refusal that does not show the conflicting changes."""
        await self.apply("c0", 0)
        await self.apply("c1", 1, make_overlay(20))
        difference = {"section": "site", "key": "move_cost", "old": "10", "new": "20"}
        expected = {"reason": "conflict", "revision": 2, "differences": [difference]}
        self.assertEqual(
            await self.apply("c2", 1, make_overlay(30)), (409, {**expected, "complete": True})
        )

    async def test_check_and_diff_write_nothing(self):
        """Guards against a check or comparison that changes the configuration."""
        await self.apply("c0", 0)
        writes = self.store.writes
        body = encode_change(make_change("", 0, make_overlay(20)))
        self.assertEqual(await self.call("POST", "/config/check", body), (200, {"revision": 1}))
        _, found = await self.call("POST", "/config/diff", body)
        self.assertEqual([d["new"] for d in found["differences"]], ["20"])
        bad = encode_change(make_change("c9", 1, "[site]\nmove_cost = x\n"))
        for path in ("/config/check", "/config/diff", "/config/apply"):
            _, found = await self.call("POST", path, bad)
            self.assertEqual(found["errors"][0]["file"], "overlay.ini")
        self.assertEqual(self.store.writes, writes)

    async def test_malformed_calls_are_refused(self):
        """Guards against a malformed request that raises an exception or is partly applied."""
        good = encode_change(make_change("c0", 0))
        bodies = (b"", b"[]", b'{"base": 1}', good.replace(b'"based_on": 0', b'"based_on": true'))
        for body in (*bodies, good.replace(b'"c0"', b'""')):
            status, problem = await self.call("POST", "/config/apply", body)
            self.assertEqual((status, problem["reason"]), (400, "malformed_request"))
        self.assertEqual((await self.call("POST", "/drain", b"{}"))[0], 400)
        self.assertEqual((await self.call("GET", "/explain"))[0], 400)
        self.assertEqual((await self.call("GET", "/nothing"))[0], 404)

    async def test_outage_response_shows_whether_the_change_ran(self):
        """Guards against an outage that is reported as invalid settings."""
        self.store.faults.down = True
        status, problem = await self.apply("c0", 0)
        expected = (503, "object_api_down", "no")
        self.assertEqual((status, problem["reason"], problem["ran"]), expected)

    async def test_node_calls(self):
        """Guards against results of the node that are lost or renamed in the responses."""
        _, status = await self.call("GET", "/status")
        node = {"name": "n1", "domain": "d1", "state": "live", "revision": 3}
        self.assertEqual((status["nodes"], status["counters"]), ([node], {"refused.x": 1}))
        drained = await self.call("POST", "/drain", b'{"name": "e1"}')
        self.assertEqual(drained, (200, {"name": "e1", "state": "draining"}))
        self.assertEqual((await self.call("POST", "/drain", b'{"name": "e9"}'))[0], 404)
        _, explained = await self.call("GET", "/explain?model=m1")
        self.assertEqual(explained["lines"], ["resident on e1"])
        self.assertEqual((await self.call("GET", "/explain?request_id=r"))[0], 404)
