"""Tests of the codecs for the platform's data formats."""

import json
import unittest

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from ...fleet import RequestKind
from ...http import HttpResponse
from ...ordering import FleetOrder, OrderAnswer
from ...placement import OrderKind
from ...routing import UpstreamState
from ..config_codec import decode_config
from ..order_codec import decode_order_answer, encode_order
from ..request_codec import decode_answer, decode_request, encode_request
from ..settings_file import parse_settings
from ..upstream_codec import decode_entry, decode_report
from .documents import make_config, make_settings

ENTRY = {
    "service": "chat",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 8,
    "state": "ready",
    "born": 7,
    "models": [{"name": "m0", "version": 1, "adapters": ["a1", "m0/a2@3"]}],
    "at_hand": {"in_memory": ["m1"], "on_disk": ["m2"]},
}


ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, -(10**30), 2**64])
    | st.floats()
    | st.text(st.characters(), max_size=5),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.sampled_from(["name", "adapters", "on_disk", "x"]), children, max_size=3),
    max_leaves=6,
)


class SettingsFileTest(unittest.TestCase):
    """Parsing of a settings file."""

    def test_units_and_unknown_keys(self):
        """Guards against reading a setting in milliseconds as seconds."""
        cfg = parse_settings(make_settings("10.0.0.9:1", 1, 2, 3), "f").unwrap()
        self.assertEqual(cfg.bounds.order_handover_s, 3.0)
        self.assertEqual(cfg.bounds.stop_grace_s, 8.0)
        self.assertTrue(cfg.first_start)

    def test_each_error_names_its_key(self):
        """Guards against errors that do not name the setting to correct, or name only the first."""
        text = "node_name=n\nzone=z\nlisten.front=nonsense\nbounds.lease_ms=soon\n"
        errors = parse_settings(text, "node.conf").unwrap_err()
        keys = {error.key for error in errors}
        expected = {"listen.ready", "listen.control", "platform.address", "listen.front"}
        self.assertEqual(keys, expected | {"bounds.lease_ms"})


class ConfigTest(unittest.TestCase):
    """Decoding of the operators' configuration."""

    def test_routes_services_and_limits(self):
        """Guards against a route decoded with the wrong units, kind or service."""
        cfg = decode_config(json.dumps(make_config(9)).encode()).unwrap()
        route = cfg.match("calls.example", "/batch/1")
        self.assertEqual((cfg.version, route.timeout_s, route.resumable), (9, 4.0, True))
        self.assertIs(route.kind, RequestKind.STREAM)
        self.assertEqual(cfg.limits.idle_timeout_s, 15.0)
        self.assertIsNone(cfg.services["desk"].engine)

    def test_split_route(self):
        """Guards against losing the weights of a route that is split between services."""
        spec = make_config()
        del spec["routes"][0]["service"]
        spec["routes"][0]["backends"] = [
            {"service": "chat", "weight": 90},
            {"service": "desk", "weight": 10},
        ]
        cfg = decode_config(json.dumps(spec).encode()).unwrap()
        self.assertEqual([b.weight for b in cfg.routes[0].backends], [90.0, 10.0])

    def test_undecodable_configuration(self):
        """Guards against an exception, instead of an error, for a malformed object."""
        for value in (b"", b"[]", b"{}", b'{"version":"x","routes":[],"services":[]}'):
            self.assertIsInstance(decode_config(value), Err)
        for field, value in (("timeout_ms", 1e999), ("priority", float("nan")), ("host", 3)):
            config = make_config()
            config["routes"][0][field] = value
            self.assertIsInstance(decode_config(json.dumps(config).encode()), Err, field)

    def test_route_without_weight(self):
        """Guards against a route that no request can be assigned a service of."""
        config = make_config()
        config["routes"][0]["backends"] = [{"service": "chat", "weight": 0}]
        self.assertIsInstance(decode_config(json.dumps(config).encode()), Err)


class EntryTest(unittest.TestCase):
    """Decoding of registry entries and reports, which may be malformed."""

    def test_fields(self):
        """Guards against wrong residents, start time, local copies or state of an upstream."""
        entry = decode_entry("i-1", json.dumps(ENTRY).encode()).unwrap()
        self.assertEqual(entry.residents, {"m0": frozenset({"a1", "a2"})})
        self.assertEqual((entry.started_ms, entry.on_disk), (7, frozenset({"m2"})))
        self.assertIs(entry.state, UpstreamState.LIVE)

    def test_undecodable_entries(self):
        """Guards against accepting, or raising on, a malformed entry by another writer."""
        broken = [{"state": "odd"}, {"service": 3}, {"address": "x"}, {"born": 1.5}, {"slots": "8"}]
        for change in broken:
            value = json.dumps({**ENTRY, **change}).encode()
            self.assertIsInstance(decode_entry("i-1", value), Err, change)
        for value in (b"\xff", b"null", b"[]", b"{}"):
            self.assertIsInstance(decode_entry("i-1", value), Err)

    def test_fields_out_of_range(self):
        """Guards against a decoder that raises on a number which cannot be represented: each node
        ended at it, and again after each start (review case 2).
        """
        numbers = ["1e999", "-1e999", "NaN", "9" * 400, "9" * 6000, "-1", "0.5", "0", "true", "[]"]
        for field in ("slots", "remaining_ms", "born"):
            for number in numbers:
                if (field, number) in (
                    ("remaining_ms", "0.5"),
                    ("remaining_ms", "0"),
                    ("born", "0"),
                ):
                    continue
                spec = json.dumps({**ENTRY, field: "?"}).replace('"?"', number)
                with self.subTest(field=field, number=number[:9]):
                    self.assertIsInstance(decode_entry("i-1", spec.encode()), Err)

    def test_names_that_cannot_be_sent(self):
        """Guards against an entry that is in use although requests to it, or messages about it,
        cannot be encoded.
        """
        for instance in ("", "\u00f1\u2192", "i 1", "i\n1", "i" * 300):
            with self.subTest(instance=instance[:9]):
                self.assertIsInstance(decode_entry(instance, json.dumps(ENTRY).encode()), Err)
        for change in (
            {"zone": "\ud800"},
            {"models": [{"name": "\ud800"}]},
            {"models": [{"name": "m0", "adapters": ["\udfff"]}]},
            {"address": "10.0.0.1:\u0668\u0660"},
            {"address": "10.0.0.1 :80"},
            {"address": "10.0.0.1:" + "8" * 5000},
            {"at_hand": {"on_disk": [["m0"]]}},
        ):
            with self.subTest(change=change):
                value = json.dumps({**ENTRY, **change}).encode()
                self.assertIsInstance(decode_entry("i-1", value), Err)

    def test_deeply_nested_entry(self):
        """Guards against a decoder that raises on deep nesting."""
        value = json.dumps({**ENTRY, "models": "?"}).replace('"?"', "[" * 9999 + "]" * 9999)
        self.assertIsInstance(decode_entry("i-1", value.encode()), Err)

    def test_report_without_facts(self):
        """Guards against an engine that is taken for empty because its report lacks the fields."""
        report = {"models": [], "busy": False, "sequence": 4}
        for change in ({"sequence": float("inf")}, {"sequence": -1}, {"busy": "no"}, {"models": 3}):
            with self.subTest(change=change):
                self.assertIsInstance(decode_report(json.dumps({**report, **change}).encode()), Err)
        for field in report:
            rest = {name: value for name, value in report.items() if name != field}
            self.assertIsInstance(decode_report(json.dumps(rest).encode()), Err, field)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.sampled_from(sorted({*ENTRY, "remaining_ms"})), ANY_JSON)
    def test_any_value_in_any_field(self, field, value):
        """Guards against a value that a decoder raises on, or that is accepted and cannot be used:
        what is decoded is sent in headers and in messages between nodes.
        """
        decoded = decode_entry("i-1", json.dumps({**ENTRY, field: value}).encode())
        if isinstance(decoded, Err):
            return
        entry = decoded.ok_value
        self.assertGreaterEqual(entry.slots, 1)
        names = [entry.service, entry.domain, entry.address, entry.started_ms]
        msgpack.packb([*names, *entry.residents, *entry.on_disk, *entry.in_host_memory])
        self.assertTrue(encode_request([], entry.instance, 1.0, 1, ""))

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.sampled_from(["models", "busy", "sequence", "active", "coming", "at_hand"]), ANY_JSON)
    def test_any_value_in_a_report(self, field, value):
        """Guards against a report that the decoder raises on."""
        decoded = decode_report(
            json.dumps({"models": [], "busy": False, "sequence": 4, field: value}).encode()
        )
        if not isinstance(decoded, Err):
            msgpack.packb([decoded.ok_value.accepted_orders, *decoded.ok_value.residents])

    def test_report_with_adapters_in_transit(self):
        """Guards against ignoring adapters whose loading is in progress."""
        report = decode_report(b'{"models":[],"busy":true,"sequence":4,"coming":["m0/a1@2"]}')
        self.assertEqual(report.unwrap().adapters_in_transit, frozenset({("m0", "a1")}))


class RequestTest(unittest.TestCase):
    """Decoding and encoding of request and response headers."""

    def test_request_facts(self):
        """Guards against a wrong model, adapter, prompt size or deadline."""
        facts = decode_request(
            [
                (b"Eelgrassferry-Request-Id", b"r1"),
                (b"Eelgrassferry-Model", b"m0/a3"),
                (b"Eelgrassferry-Token-Counts", b"1460,80"),
                (b"Eelgrassferry-Prompt-Prefix", b"5c:800,91:410"),
                (b"Eelgrassferry-Deadline-Ms", b"4000"),
            ]
        ).unwrap()
        self.assertEqual((facts.model, facts.adapter), ("m0", "a3"))
        self.assertEqual((facts.prompt_tokens, facts.max_output_tokens), (1460, 80))
        self.assertEqual(facts.prompt_parts, (("5c", 800), ("91", 410)))
        self.assertEqual(facts.deadline_s, 4.0)

    def test_malformed_numbers_are_an_error(self):
        """Guards against an exception for a caller's malformed header."""
        for header in (
            (b"Eelgrassferry-Deadline-Ms", b"soon"),
            (b"Eelgrassferry-Deadline-Ms", b"nan"),
            (b"Eelgrassferry-Deadline-Ms", b"1e999"),
            (b"Eelgrassferry-Token-Counts", b"x"),
            (b"Eelgrassferry-Token-Counts", b"-5,3"),
            (b"Eelgrassferry-Token-Counts", b"9" * 4000),
            (b"Eelgrassferry-Prompt-Prefix", b"5c:" + b"9" * 400),
        ):
            self.assertIsInstance(decode_request([header]), Err)

    def test_forwarded_headers(self):
        """Guards against forwarding hop-by-hop headers, forged system headers or the caller's
        longer deadline.
        """
        forwarded = encode_request(
            [
                (b"Host", b"h"),
                (b"Connection", b"close, X-Own"),
                (b"X-Own", b"1"),
                (b"X-Kept", b"2"),
                (b"EELGRASSFERRY-HOLD", b"3"),
                (b"Transfer-Encoding", b"chunked"),
                (b"Eelgrassferry-Deadline-Ms", b"9000"),
            ],
            "i-1",
            1.5,
            2,
            "",
        )
        self.assertEqual(
            forwarded,
            [
                (b"Host", b"h"),
                (b"X-Kept", b"2"),
                (b"Eelgrassferry-Deadline-Ms", b"1500"),
                (b"Eelgrassferry-Expect-Instance", b"i-1"),
                (b"Eelgrassferry-Request-Urgency", b"2"),
            ],
        )

    def test_connection_header_cannot_remove_the_model(self):
        """Guards against a request that runs without its model: the caller had listed the model's
        header as a hop-by-hop header.
        """
        headers = [(b"Connection", b"Eelgrassferry-Model"), (b"Eelgrassferry-Model", b"m0")]
        names = [name for name, _ in encode_request(headers, "i", 1.0, 0, "")]
        self.assertIn(b"Eelgrassferry-Model", names)

    def test_answer(self):
        """Guards against treating a request that was not run as run, and the reverse."""
        head = decode_answer(
            503, [(b"Eelgrassferry-Not-Executed", b"1"), (b"Keep-Alive", b"timeout=5, max=9")]
        )
        self.assertTrue(head.not_run)
        self.assertEqual(head.idle_limit_s, 5.0)
        self.assertFalse(decode_answer(503, []).not_run)
        self.assertTrue(decode_answer(200, [(b"Content-Encoding", b"gzip")]).encoded)


class OrderTest(unittest.TestCase):
    """Encoding of orders and decoding of their responses."""

    def test_body(self):
        """Guards against an order without the count and fencing token by which an engine rejects it
        when it arrives late.
        """
        order = FleetOrder(OrderKind.LOAD_ADAPTER, "m0", 4, "a3")
        self.assertEqual(
            json.loads(encode_order(order, "node-7", 41)),
            {
                "operation": "load",
                "model": "m0",
                "adapter": "a3",
                "expect": 4,
                "holder": "node-7",
                "fencing_token": 41,
            },
        )

    def test_answers(self):
        """Guards against treating a response of unknown outcome as a rejection."""
        meanings = {202: "accepted", 200: "holds", 409: "conflict", 412: "fenced", 400: "rejected"}
        for status, meaning in meanings.items():
            self.assertIs(decode_order_answer(HttpResponse(status)), OrderAnswer(meaning))
        self.assertIs(decode_order_answer(HttpResponse(500)), OrderAnswer.UNKNOWN)
