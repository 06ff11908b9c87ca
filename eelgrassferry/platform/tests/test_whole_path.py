"""End-to-end tests of a node process against stand-ins for the store and the servers."""

import asyncio
import json
import signal
import socket
import tempfile
import time
import unittest
from pathlib import Path

from result import Err

from ...http import HttpClient, HttpResponse
from .documents import HOST, make_config, make_settings
from .soak.free_ports import free_ports, own_loopback_ip
from .spawn_node import spawn_node
from .standin_server import StandinServer
from .standin_store import StandinStore

WAIT_S = 15.0


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    """One node, one engine, two plain servers and the store."""

    async def asyncSetUp(self):
        self.store = StandinStore()
        address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        await self.store.write("config", "main", make_config())
        self.engine = StandinServer(self.store, "chat", "i-engine", ("m0",))
        self.spare = StandinServer(self.store, "chat", "i-spare", ("m0",))
        self.plain_servers = [StandinServer(self.store, "desk", f"i-desk{i}") for i in range(2)]
        for server in (self.engine, *self.plain_servers):
            await server.start()
            self.addAsyncCleanup(server.stop)
        self.addAsyncCleanup(self.spare.stop)
        self.front, self.ready, control = free_ports(3, own_loopback_ip())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name) / "node.conf"
        self.settings.write_text(
            make_settings(address, self.front, self.ready, control, ip=own_loopback_ip())
        )
        self.log = Path(folder.name) / "log"
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        await self.start_node()

    async def start_node(self):
        with self.log.open("ab") as log:
            self.node = await spawn_node(self.settings, stdout=log)
        self.addAsyncCleanup(self.stop_node)
        await self.eventually(self.is_ready)

    async def stop_node(self):
        if self.node.returncode is None:
            self.node.kill()
        await self.node.wait()

    async def is_ready(self) -> bool:
        result = await self.client.request(
            f"{own_loopback_ip()}:{self.ready}", "GET", "/eelgrassferry/ready", new_connection=True
        )
        return result.is_ok() and result.ok_value.status == 200

    async def eventually(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not await condition():
                await asyncio.sleep(0.02)

    async def call(self, path: str, number: int, **headers: str) -> HttpResponse:
        """Send one request as a caller and return the response."""
        names = {key.replace("_", "-"): value for key, value in headers.items()}
        all_headers = (
            ("Eelgrassferry-Request-Id", f"id-{number}"),
            ("Eelgrassferry-Deadline-Ms", "4000"),
            *names.items(),
        )
        sent = await self.client.request(
            f"{own_loopback_ip()}:{self.front}",
            "POST",
            path,
            headers=(("Host", HOST), *all_headers),
            body=b"text",
        )
        self.assertFalse(isinstance(sent, Err), sent)
        return sent.ok_value

    def log_lines(self, event: str) -> list[dict]:
        """Return the node's log lines of an event, decoded."""
        lines = self.log.read_text().splitlines(keepends=True)
        # The last line may not be complete yet.
        entries = [json.loads(line) for line in lines if line.endswith("\n")]
        return [line for line in entries if line["event"] == event]

    async def log_line(self, event: str, request_id: str) -> dict:
        """Return the node's only log line of an event of a request, which may follow its answer."""
        found: list[dict] = []

        async def is_written() -> bool:
            found[:] = [x for x in self.log_lines(event) if x["request_id"] == request_id]
            return bool(found)

        await self.eventually(is_written)
        (line,) = found
        return line

    async def test_plain_request_is_passed_through(self):
        """Guards against a changed status, body or seal, and against an extended deadline."""
        res = await self.call("/look/x?q=1", 1)
        self.assertEqual((res.status, res.body), (200, b"done by text"))
        self.assertEqual(res.header("eelgrassferry-server-seal"), "3e1b.07")
        (received,) = [req for server in self.plain_servers for req in server.received]
        self.assertEqual((received.method, received.target), ("POST", "/look/x?q=1"))
        self.assertLessEqual(int(received.header("eelgrassferry-deadline-ms")), 4000)

    async def test_system_headers_of_callers_are_removed(self):
        """Guards against forwarding system headers that a caller has forged (hold, pin, cache)."""
        res = await self.call(
            "/look/x", 2, Eelgrassferry_Hold="h", Kv_From="1.2.3.4:5/x", Eelgrassferry_Pin_Ms="9"
        )
        self.assertEqual(res.status, 200)
        (received,) = [req for server in self.plain_servers for req in server.received]
        names = {name.lower() for name, _ in received.headers}
        self.assertFalse(names & {"eelgrassferry-hold", "kv-from", "eelgrassferry-pin-ms"})

    async def test_stream_of_a_model_and_an_adapter_loaded_on_demand(self):
        """Guards against a request that waits in vain for its adapter to be loaded."""
        res = await self.call("/chat/x", 3, Eelgrassferry_Model="m0/a2")
        self.assertEqual(res.status, 200)
        self.assertEqual(res.body.count(b"data: i-engine"), 3)
        self.assertIn("a2", self.engine.models["m0"])

    async def test_model_without_residents_is_loaded(self):
        """Guards against a request that waits in vain for its model to be loaded."""
        res = await self.call("/chat/x", 4, Eelgrassferry_Model="m3")
        self.assertEqual(res.status, 200)
        (load,) = [o for o in self.engine.orders if o["operation"] == "load" and o["model"] == "m3"]
        self.assertEqual(load["holder"], "front-1")
        self.assertGreaterEqual(load["fencing_token"], 1)

    async def test_failed_non_idempotent_call_runs_once(self):
        """Guards against running a non-idempotent call twice, after a server has failed it."""
        for server in self.plain_servers:
            server.status = 500
        res = await self.call("/book/x", 5)
        self.assertEqual((res.status, res.body), (500, b"done by text"))
        self.assertEqual(sum(len(server.runs) for server in self.plain_servers), 1)

    async def test_idempotent_call_is_repeated_elsewhere(self):
        """Guards against answering an idempotent call with a failure that another server avoids."""
        self.plain_servers[0].status = 500
        for number in range(6, 10):
            self.assertEqual((await self.call("/look/x", number)).status, 200)

    async def test_declined_call_is_offered_to_another_server(self):
        """Guards against refusing a non-idempotent call that no server has run yet."""
        self.plain_servers[0].decline_count = self.plain_servers[1].decline_count = 1
        self.assertEqual((await self.call("/book/x", 11)).status, 200)
        self.assertEqual(sum(len(server.runs) for server in self.plain_servers), 1)

    async def test_broken_stream_is_resumed_at_another_server(self):
        """Guards against missing, repeated or truncated events after a stream is resumed."""
        await self.spare.start()
        self.engine.break_after_events = self.spare.break_after_events = 2
        self.engine.events = self.spare.events = 4

        def stop_breaking() -> None:
            self.engine.break_after_events = self.spare.break_after_events = None

        self.engine.on_break = self.spare.on_break = stop_breaking
        res = await self.call("/batch/x", 12, Eelgrassferry_Model="m0")
        self.assertEqual(len(self.engine.runs) + len(self.spare.runs), 2)
        ids = [line for line in res.body.split(b"\n") if line.startswith(b"id:")]
        self.assertEqual(ids, [b"id: 1", b"id: 2", b"id: 3", b"id: 4"])

    async def test_unknown_route_and_missing_id(self):
        """Guards against forwarding a request that matches no route, or that has no id."""
        self.assertEqual((await self.call("/other/x", 13)).status, 404)
        self.assertEqual(self.log_lines("request refused")[0]["reason"], "no_route")
        address = f"{own_loopback_ip()}:{self.front}"
        sent = await self.client.request(
            address, "POST", "/chat/x", headers=(("Host", HOST),), body=b"text"
        )
        self.assertEqual(sent.ok_value.status, 400)
        self.assertEqual(self.log_lines("request refused")[1]["reason"], "malformed_request")

    async def test_new_configuration_is_applied(self):
        """Guards against a stale configuration: an added route is served, a removed one is not."""
        config = make_config(version=7)
        config["routes"][0]["path_prefix"] = "/talk/"
        await self.store.write("config", "main", config)

        async def is_applied() -> bool:
            res = await self.call("/talk/x", 14, Eelgrassferry_Model="m0")
            return res.status == 200

        await self.eventually(is_applied)
        self.assertEqual((await self.call("/chat/x", 15)).status, 404)

    async def test_draining_server_gets_no_new_requests(self):
        """Guards against sending requests to a server that has registered as draining."""
        await self.plain_servers[0].register(state="draining")
        await asyncio.sleep(0.3)
        for number in range(20, 26):
            await self.call("/look/x", number)
        self.assertEqual(self.plain_servers[0].runs, [])

    async def test_requests_are_served_while_the_store_is_down(self):
        """Guards against a node that stops serving during an outage of the store."""
        self.store.down = True
        await asyncio.sleep(0.3)
        self.assertEqual((await self.call("/look/x", 30)).status, 200)
        self.store.down = False

    async def test_stop_answers_requests_in_flight(self):
        """Guards against losing a request that is in flight when the node receives SIGTERM."""
        self.plain_servers[0].pause_s = self.plain_servers[1].pause_s = 0.6
        pending_call = asyncio.ensure_future(self.call("/book/x", 40))

        async def is_running() -> bool:
            return any(server.runs for server in self.plain_servers)

        await self.eventually(is_running)
        self.node.send_signal(signal.SIGTERM)
        self.assertEqual((await pending_call).status, 200)
        self.assertFalse(await self.is_ready())
        self.assertEqual(await asyncio.wait_for(self.node.wait(), WAIT_S), 0)
        self.assertEqual(len(self.log_lines("node stopped")), 1)

    async def test_run_is_cancelled_when_its_caller_leaves(self):
        """Guards against servers that go on running a request whose caller has disconnected."""
        self.plain_servers[0].pause_s = self.plain_servers[1].pause_s = 5.0
        pending_call = asyncio.ensure_future(self.call("/book/x", 70))

        async def is_running() -> bool:
            return any(server.runs for server in self.plain_servers)

        async def is_abandoned() -> bool:
            return any(server.abandoned for server in self.plain_servers)

        await self.eventually(is_running)
        pending_call.cancel()
        async with asyncio.timeout(0.5):
            await self.eventually(is_abandoned)

    async def test_restarted_node_coordinates_at_once(self):
        """Guards against a restarted node that waits for its previous process's lease to expire.

        The request needs an adapter, because the restarted node delays cold loads: it does not know
        when the last ones took place.
        """

        async def has_lease() -> bool:
            return bool(self.log_lines("coordination begun"))

        async def is_served() -> bool:
            res = await self.call("/chat/x", 50, Eelgrassferry_Model="m0/a2")
            return res.status == 200

        await self.eventually(has_lease)
        self.node.kill()
        await self.node.wait()
        await self.start_node()
        began = time.monotonic()
        await self.eventually(is_served)
        self.assertLess(time.monotonic() - began, 4.0)  # waiting for the lease takes 4.6 s

    async def test_log_shows_the_longest_pause_of_a_stream(self):
        """Guards against a log that does not show slow streams whose delay is between events."""
        self.engine.event_pause_s = self.spare.event_pause_s = 0.2
        res = await self.call("/chat/x", 61, Eelgrassferry_Model="m0")
        self.assertEqual(res.status, 200)
        served = await self.log_line("request served", "id-61")
        self.assertGreaterEqual(served["longest_pause_ms"], 190)

    async def test_log_leads_from_a_request_to_its_failure(self):
        """Guards against a failed request whose run and configuration the log does not show."""
        for server in self.plain_servers:
            server.status = 500
        await self.call("/book/x", 60)
        await self.log_line("run failed", "id-60")
        ids = [line["request_id"] for line in self.log_lines("run failed")]
        self.assertEqual(ids, ["id-60"])
        sent = await self.log_line("request sent", "id-60")
        self.assertIn("directory_age_ms", sent)
        self.assertEqual(sent["config_version"], 1)


class AddressInUseTest(unittest.IsolatedAsyncioTestCase):
    """A node whose listening address is in use by another process."""

    async def test_one_line_and_exit_code_1(self):
        """Guards against a traceback instead of a log line with the reason (soak seed 43)."""
        with socket.socket() as taken, tempfile.TemporaryDirectory() as folder:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            settings = Path(folder) / "node.conf"
            settings.write_text(make_settings("127.0.0.1:9", port, *free_ports(2)))
            pipe = asyncio.subprocess.PIPE
            node = await spawn_node(settings, stdout=pipe, stderr=pipe)
            out, err = await asyncio.wait_for(node.communicate(), WAIT_S)
        self.assertEqual((node.returncode, err), (1, b""))
        (line,) = [json.loads(line) for line in out.splitlines()]
        self.assertEqual(line["event"], "address not available")
        self.assertIn(str(port), line["detail"])


class SettingsTest(unittest.IsolatedAsyncioTestCase):
    """A process without usable settings."""

    async def test_missing_settings_give_one_line_and_exit_code_2(self):
        """Guards against a traceback instead of a one-line error."""
        proc = await spawn_node(None, stderr=asyncio.subprocess.PIPE)
        _, err = await proc.communicate()
        self.assertEqual(proc.returncode, 2)
        self.assertEqual(len(err.decode().strip().splitlines()), 1)
