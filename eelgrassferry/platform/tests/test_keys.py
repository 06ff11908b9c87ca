"""Tests of tenants' keys, from the configuration and the caller's header to the upstream."""

import json
import unittest
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from ...dispatch import Job, Refuse, RefuseReason
from ...dispatch.tests.fixtures import make_route
from ...fleet import Backend, FleetConfig, QuotaUnit, Service, Tenant
from ..config_codec import decode_config
from ..request_codec import decode_request, encode_request
from .documents import make_config
from .test_request_handler import RequestHandlerCase

KEY = b"X-Api-Key"
# Values of the key's header that no tenant holds, as lists of headers of one request.
BAD_KEYS: dict[str, list[bytes]] = {
    "missing": [],
    "empty": [b""],
    "unknown": [b"kp-2"],
    "other case": [b"KP-1"],
    "prefix": [b"kp"],
    "two in one header": [b"kp-1, kp-1"],
    "twice": [b"kp-1", b"kp-1"],
    "of two tenants": [b"kp-1", b"kd-1"],
    "very long": [b"kp-1" * 3000],
    "not ASCII": [b"kp-1\xc3\xa9"],
    "not UTF-8": [b"\xff\xfe"],
}


def make_tenants(**keys: tuple[str, ...]) -> dict[str, Tenant]:
    """Return tenants with the given keys."""
    return {name: Tenant(name, held) for name, held in keys.items()}


class ConfigTest(unittest.TestCase):
    """Decoding of the tenants of a configuration."""

    def decode(self, *tenants: Any):
        return decode_config(json.dumps({**make_config(), "tenants": list(tenants)}).encode())

    def test_fields(self):
        """Guards against a tenant without its quota, unit or priority."""
        press = {
            "name": "press",
            "api_keys": ["kp-1", "kp-2"],
            "priority": 0,
            "rate_per_s": 900,
            "burst": 50,
            "unit": "tokens",
            "plain_tokens": 200,
        }
        cfg = self.decode(press, {"name": "desk", "api_keys": []}).unwrap()
        tenant = Tenant("press", ("kp-1", "kp-2"), 0, 900.0, 50.0, QuotaUnit.TOKENS, 200)
        self.assertEqual(cfg.tenants, {"press": tenant, "desk": Tenant("desk", ())})
        self.assertIs(cfg.tenant_of_key("kp-2"), cfg.tenants["press"])

    def test_anonymous_route(self):
        """Guards against callers without a key that are rejected on a route that needs none."""
        spec = make_config()
        spec["routes"][2]["anonymous"] = True
        routes = decode_config(json.dumps(spec).encode()).unwrap().routes
        self.assertEqual([route.anonymous for route in routes], [False, False, True, False])

    def test_ambiguous_tenants_are_rejected_without_their_keys(self):
        """Guards against a caller that is counted and named as another tenant, and against a key
        in the log line of the error.
        """

        def tenant(name: Any, *keys: Any) -> dict[str, Any]:
            return {"name": name, "api_keys": list(keys)}

        for case, tenants in {
            "same key": (tenant("a", "secret"), tenant("b", "secret")),
            "empty key": (tenant("a", "secret", ""),),
            "key twice": (tenant("a", "secret", "secret"),),
            "same name": (tenant("a", "secret"), tenant("a", "secret2")),
            "no name": (tenant("", "secret"),),
            "header injection": (tenant("a\r\nX: y", "secret"),),
            "key not text": (tenant("a", "secret", 7),),
            "keys not a list": ({"name": "a", "api_keys": "secret"},),
            "lone surrogate": (tenant("a", "secret\ud800"),),
            "unknown unit": ({**tenant("a", "secret"), "unit": "bytes"},),
            "negative rate": ({**tenant("a", "secret"), "rate_per_s": -1},),
            "not an object": ("secret",),
        }.items():
            with self.subTest(case):
                error = self.decode(*tenants).unwrap_err()
                self.assertNotIn("secret", str(error))

    def test_undecodable_bytes_do_not_show_the_keys(self):
        """Guards against keys in the log line about a configuration with one broken byte."""
        value = json.dumps({**make_config(), "tenants": [{"api_keys": ["secret"]}]}).encode()
        for broken in (value + b"\xff", value[:-1], value.replace(b'"secret"', b'"secret')):
            self.assertNotIn("secret", str(decode_config(broken).unwrap_err()))


class HeaderTest(unittest.TestCase):
    """The key and the tenant in the headers of a request."""

    def test_key_and_tokens(self):
        """Guards against a request that counts as one without tokens, or the reverse."""
        counts = b"Eelgrassferry-Token-Counts"
        facts = decode_request([(b"x-api-KEY", b"kp-1"), (counts, b"1460,80")]).unwrap()
        self.assertEqual((facts.key, facts.tokens), ("kp-1", 1540))
        self.assertNotIn("kp-1", repr(facts))
        self.assertEqual(decode_request([(counts, b"0,0")]).unwrap().tokens, 0)
        for absent in ([], [(counts, b"")]):
            self.assertIsNone(decode_request(absent).unwrap().tokens)

    @given(st.lists(st.binary(max_size=12), max_size=3))
    @settings(max_examples=200, derandomize=True)
    def test_any_bytes_are_a_key_or_none(self, values):
        """Guards against an exception, or two keys read as one, for any bytes in the header."""
        key = decode_request([(KEY, value) for value in values]).unwrap().key
        self.assertIn(key.encode(), [b"", *(values if len(values) == 1 else ())])

    def test_forwarded_headers(self):
        """Guards against a key or a forged tenant that reaches an upstream."""
        headers = [
            (b"X-API-Key", b"kp-1"),
            (b"x-api-key", b"kp-2"),
            (b"EELGRASSFERRY-Tenant", b"other"),
            (b"Connection", b"Eelgrassferry-Tenant"),
            (b"X-Kept", b"1"),
        ]
        for tenant, named in (("press", [b"press"]), ("", []), ("pr\u00e9s", [b"pr\xc3\xa9s"])):
            forwarded = encode_request(headers, "i", 1.0, 0, "", tenant)
            self.assertIn((b"X-Kept", b"1"), forwarded)
            self.assertNotIn(b"x-api-key", [name.lower() for name, _ in forwarded])
            values = [v for name, v in forwarded if name.lower() == b"eelgrassferry-tenant"]
            self.assertEqual(values, named)

    def test_without_tenants_headers_are_the_callers_own(self):
        """Guards against a header that callers use for their own purposes and that is lost."""
        self.assertIn((KEY, b"own"), encode_request([(KEY, b"own")], "i", 1.0, 0, ""))


def refusal(job: Job) -> Refuse:
    """Return the refusal of a request for lack of capacity."""
    return Refuse(job, RefuseReason.NO_CAPACITY, 1.0)


class RequestKeyCase(RequestHandlerCase):
    """A request handler whose configuration has two tenants and an anonymous route."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        route = replace(make_route(self.KIND), backends=(Backend("desk", 1.0),))
        self.routes = (route, replace(route, path_prefix="/open/", anonymous=True))
        self.apply_tenants(press=("kp-1",), desk=("kd-1", "kd-2"))

    def apply_tenants(self, **keys: tuple[str, ...]) -> None:
        """Put a new version of the configuration in force, with the given keys."""
        version = self.handler.config.version + 1
        services = {"desk": Service("desk")}
        self.handler.set_config(
            FleetConfig(version, self.routes, services, tenants=make_tenants(**keys))
        )

    def request(self, keys: list[bytes], path: bytes = b"/x") -> bytes:
        """Return a request with the given headers of a key."""
        lines = b"".join(KEY + b": " + key + b"\r\n" for key in keys)
        return (
            b"POST %s HTTP/1.1\r\nHost: h\r\nEelgrassferry-Request-Id: r1\r\n"
            b"Eelgrassferry-Tenant: forged\r\n%sContent-Length: 0\r\n\r\n" % (path, lines)
        )

    def answer(self, conn, transport, data: bytes) -> bytes:
        """Send a request and return the answer; a request that is sent upstream is served."""
        begin, sent = len(transport.written), len(self.upstream_conns)
        conn.data_received(data)
        if len(self.upstream_conns) > sent:
            self.serve(self.upstream_conns[-1], "r1")
        return transport.written[begin:]

    def status(self, keys: list[bytes], path: bytes = b"/x") -> int:
        """Return the status of the answer to a request on a new connection."""
        return int(self.answer(*self.open_conn(), self.request(keys, path)).split(b" ")[1])

    def named_tenants(self) -> list[bytes]:
        """Return the tenant named to the upstream in each request, b"" for none."""
        sent = []
        for conn in self.upstream_conns:
            headers = dict(conn.request.headers)
            self.assertNotIn(b"x-api-key", headers)
            sent.append(headers.get(b"eelgrassferry-tenant", b""))
        return sent


class KeyTest(RequestKeyCase):
    """Answers to requests by their keys."""

    async def test_known_keys_name_their_tenant(self):
        """Guards against a request that runs for another tenant, or with its key."""
        for key in (b"kp-1", b"kd-1", b"kd-2"):
            self.assertEqual(self.status([key]), 200)
        self.assertEqual(self.named_tenants(), [b"press", b"desk", b"desk"])

    async def test_outcomes_are_counted_and_logged_by_tenant(self):
        """Guards against an operator who cannot tell whose requests are refused, and why."""
        self.status([b"kp-1"])
        with patch.object(self.dispatcher, "submit", lambda job, _now: [refusal(job)]):
            self.status([b"kd-1"])
        self.status([], b"/open/x")
        counts = {k: v for k, v in self.metrics.counters.items() if k.startswith("tenant_")}
        self.assertEqual(
            counts, {"tenant_answered.press.": 1, "tenant_refused.desk.no_capacity": 1}
        )
        tenants = [line["tenant"] for line in self.logs if line["event"] != "request sent"]
        self.assertEqual(tenants, ["press", "desk", ""])

    async def test_bad_keys_do_not_run_and_are_not_logged(self):
        """Guards against a request that runs without a tenant, and a key in logs or answers."""
        for case, keys in BAD_KEYS.items():
            with self.subTest(case):
                answer = self.answer(*self.open_conn(), self.request(keys))
                self.assertIn(b"HTTP/1.1 401 ", answer)
                self.assertNotIn(b"kp-1", answer)
        self.assertEqual(self.upstream_conns, [])
        self.assertEqual(self.metrics.counters["refused.unknown_key"], len(BAD_KEYS))
        self.assertEqual(self.handler.in_flight, 0)
        self.assertNotRegex(str(self.logs), "kp-|KP-")

    async def test_anonymous_route(self):
        """Guards against a key that is required, lost or passed on where none is needed."""
        for keys in ([b"kd-1"], *BAD_KEYS.values()):
            self.assertEqual(self.status(keys, b"/open/x"), 200)
        self.assertEqual(self.named_tenants(), [b"desk", *[b""] * len(BAD_KEYS)])

    async def test_unknown_key_while_the_configuration_may_be_old(self):
        """Guards against a caller with a new key that gives up, because the node it reached had
        not received the key yet.
        """
        self.handler.config_may_be_behind = lambda: True
        answer = self.answer(*self.open_conn(), self.request([b"new"]))
        self.assertIn(b"HTTP/1.1 503 ", answer)
        self.assertIn(b"retry-after: 0.5", answer.lower())
        self.assertEqual(self.upstream_conns, [])
        self.assertEqual(self.status([b"kp-1"]), 200)
        # No configuration can name a tenant for these.
        self.assertEqual(self.status([]), 401)
        self.assertEqual(self.status([b"kp-1", b"kp-1"]), 401)

    async def test_key_in_a_malformed_header_is_not_logged(self):
        """Guards against a key in the log line about bytes that are no request."""
        conn, _ = self.open_conn()
        conn.data_received(self.request([b"kp-\x00secret"]))
        (rejected,) = self.server._on_rejected.call_args_list
        self.assertNotIn("secret", str(rejected))
        self.assertEqual(rejected.args[1:], (400, "illegal header line"))


class KeyChangeTest(RequestKeyCase):
    """Keys that are added and removed while callers hold connections."""

    async def test_changes_in_quick_succession_on_an_open_connection(self):
        """Guards against a connection that keeps the keys of the time when it was opened."""
        conn, transport = self.open_conn()
        statuses = []
        for keys in ((), ("kp-2",), (), ("kp-2", "kp-3"), ("kp-3",)):
            self.apply_tenants(press=keys, desk=("kd-1",))
            for key in (b"kp-2", b"kd-1"):
                statuses.append(int(self.answer(conn, transport, self.request([key])).split()[1]))
        self.assertEqual(statuses, [401, 200, 200, 200, 401, 200, 200, 200, 401, 200])
        self.assertFalse(transport.closed)

    async def test_key_that_moves_to_another_tenant(self):
        """Guards against a request for the former holder of a key."""
        self.apply_tenants(press=(), desk=("kp-1",))
        self.assertEqual(self.status([b"kp-1"]), 200)
        self.assertEqual(self.named_tenants(), [b"desk"])

    async def test_tenants_removed_or_added_while_a_request_waits(self):
        """Guards against a key that reaches an upstream because the tenants were removed between
        the request and its dispatch, or added.
        """
        for before, after, named in (
            ({"press": ("kp-1",)}, {}, b"press"),
            ({}, {"press": ("kp-1",)}, b""),
            ({"press": ("kp-1",)}, {"press": ()}, b"press"),
        ):
            self.apply_tenants(**before)
            exchange = self.hold(self.request([b"kp-1"]))
            self.apply_tenants(**after)
            self.handler.perform(self.dispatcher.submit(exchange.job, 0.0))
            self.assertEqual(self.named_tenants()[-1], named)
            self.serve(self.upstream_conns[-1], "r1")

    def hold(self, data: bytes):
        """Send a request that the dispatcher holds, and return its exchange."""
        submit, held = self.dispatcher.submit, []
        self.dispatcher.submit = lambda job, _now: held.append(job) or []
        self.open_conn()[0].data_received(data)
        self.dispatcher.submit = submit
        return held[0].exchange
