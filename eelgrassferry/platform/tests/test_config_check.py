"""Tests of the check of a configuration file."""

import copy
import json
import unittest
from collections.abc import Callable
from typing import Any

from result import Err

from ...fleet_check import Severity
from ..config_check import check_config
from .documents import make_config

TENANT = {
    "name": "club",
    "api_keys": ["k1"],
    "unit": "tokens",
    "plain_tokens": 200,
    "rate_per_s": 900,
    "burst": 900,
}


def codes(spec: Any, in_force: Any = None) -> list[tuple[str, str]]:
    """Return the code and key of each finding."""
    against = None if in_force is None else json.dumps(in_force).encode()
    report = check_config(json.dumps(spec, indent=1).encode(), against).unwrap()
    return [(located.finding.code, located.key) for located in report.findings]


class FindingsTest(unittest.TestCase):
    """Findings in configurations that nodes would use."""

    def changed(self, change: Callable[[dict[str, Any]], object]) -> list[tuple[str, str]]:
        spec = copy.deepcopy(make_config())
        change(spec)
        return codes(spec)

    def test_clean_configuration(self):
        """Guards against findings in a configuration that has no fault."""
        self.assertEqual(codes(make_config()), [])
        self.assertEqual(codes({"meta": {"name": "main"}, "spec": make_config()}), [])

    def test_entries_that_never_match(self):
        """Guards against routes, services and models that no request reaches unnoticed."""

        def shadow(spec):
            spec["routes"].append({**spec["routes"][0], "name": "again", "host": "CALLS.example"})

        def leave_uncalled(spec):
            spec["services"].append({"name": "attic"})

        def set_route(**fields):
            return lambda spec: spec["routes"][2].update(fields)

        def set_model(**fields):
            return lambda spec: spec["services"][0]["engine"]["models"][1].update(fields)

        def drop_slots(spec):
            spec["services"][0]["engine"]["adapter_slots"] = 0

        weightless = [{"service": "desk", "weight": 1}, {"service": "chat", "weight": 0}]
        for change, expected in (
            (shadow, ("shadowed_route", "path_prefix")),
            (leave_uncalled, ("uncalled_service", "")),
            (set_route(service="gone"), ("unknown_service", "service")),
            (set_route(host="calls.example:80"), ("unmatched_host", "host")),
            (set_route(path_prefix="book/"), ("unmatched_prefix", "path_prefix")),
            (set_route(backends=weightless), ("weightless_backend", "backends")),
            (set_model(weights_mb=211.0), ("oversized_model", "weights_mb")),
            (set_model(weights_mb=210.0), ("oversized_adapter", "adapter_mb")),
            (drop_slots, ("unloadable_adapters", "adapters")),
        ):
            with self.subTest(expected):
                self.assertIn(expected, self.changed(change))

    def test_contradictions(self):
        """Guards against limits of which one makes the other useless."""

        def set_route(index, **fields):
            return lambda spec: spec["routes"][index].update(fields)

        def drop_limit(spec):
            spec["limits"]["idle_timeout_ms"] = 0

        def stop_loads(spec):
            spec["services"][0]["engine"]["loads_per_s"] = 0

        for change, expected in (
            (set_route(2, timeout_ms=400), ("timeout_below_target", "timeout_ms")),
            (set_route(0, gap_aim_ms=4000), ("unreached_gap", "gap_aim_ms")),
            (set_route(3, resumable=True), ("not_a_stream", "resumable")),
            (set_route(2, max_attempts=2), ("unused_attempts", "max_attempts")),
            (drop_limit, ("zero_limit", "idle_timeout_ms")),
            (stop_loads, ("zero_capacity", "loads_per_s")),
        ):
            with self.subTest(expected):
                self.assertEqual(self.changed(change), [expected])

    def test_tenants(self):
        """Guards against tenants and quotas that shut their own callers out unnoticed."""
        for fields, expected in (
            ({}, []),
            ({"api_keys": []}, [("keyless_tenant", "api_keys")]),
            ({"rate_per_s": 0}, [("unused_burst", "burst")]),
            ({"plain_tokens": 0}, [("uncounted_requests", "plain_tokens")]),
            ({"burst": 199}, [("burst_below_request", "burst")]),
        ):
            with self.subTest(fields):
                self.assertEqual(
                    codes({**make_config(), "tenants": [{**TENANT, **fields}]}), expected
                )

    def test_version_in_force(self):
        """Guards against a version that every node would ignore."""
        self.assertEqual(codes(make_config(7), make_config(7)), [("old_version", "version")])
        self.assertEqual(codes(make_config(8), make_config(7)), [])


class LocationTest(unittest.TestCase):
    """Lines and keys of findings and errors."""

    def test_line_of_a_field(self):
        """Guards against a finding that names another line than that of its key."""
        spec = make_config()
        spec["routes"][2]["timeout_ms"] = 400
        text = json.dumps(spec, indent=1)
        (located,) = check_config(text.encode()).unwrap().findings
        self.assertEqual(located.finding.severity, Severity.ERROR)
        self.assertEqual(text.splitlines()[located.line - 1].strip(), '"timeout_ms": 400,')

    def test_undecodable_entries(self):
        """Guards against an error that does not name the entry, or hides the second one."""
        spec = make_config()
        del spec["routes"][1]["kind"]
        spec["services"][0]["engine"]["slots"] = "8"
        text = json.dumps(spec, indent=1)
        errors = check_config(text.encode()).unwrap_err()
        self.assertEqual(
            [str(error.finding.entry) for error in errors], ["route r/batch/", "service chat"]
        )
        self.assertIn("'kind' is missing", errors[0].finding.message)

    def test_not_json(self):
        """Guards against a traceback for a file that is not JSON."""
        errors = check_config(b'{"version": 1,\n"routes": [}').unwrap_err()
        self.assertEqual(errors[0].line, 2)
        for data in (b"", b"[]", b"7", b'{"spec": 4}'):
            self.assertIsInstance(check_config(data), Err)


class DifferencesTest(unittest.TestCase):
    """Differences from the configuration in force."""

    def test_differences_without_secrets(self):
        """Guards against a change that is not shown, and against keys in the output."""
        old = {**make_config(7), "tenants": [TENANT]}
        new = copy.deepcopy({**old, "version": 8})
        new["routes"][2]["timeout_ms"] = 3000
        del new["routes"][3]
        new["tenants"][0]["api_keys"] = ["secret-1", "secret-2"]
        report = check_config(json.dumps(new).encode(), json.dumps({"spec": old}).encode())
        shown = [str(difference) for difference in report.unwrap().differences]
        self.assertIn("route r/book/: timeout_s: 4.0 -> 3.0", shown)
        self.assertIn("route r/look/: removed", shown)
        self.assertIn("tenant club: keys: 1 keys -> 1 removed, 2 added", shown)
        self.assertNotIn("secret", " ".join(shown))
