"""Tests of loading, checking, comparing and formatting settings."""

import unittest

from result import Err, Ok

from .. import (
    SettingsText,
    diff_deployments,
    format_effective,
    load_deployment,
    load_node_settings,
)

BASE = """
[site]
name = here
domains = d1, d2
[store]
load_rate = 1.5/s
[model m1]
memory = 12 GiB
first_token = 350 ms
token_gap = 44 ms
[adapter a1]
base = m1
memory = 100 MiB
[upstream e1]
kind = engine
address = 127.0.0.2:8000
domain = d1
accelerators = 2
memory = 16 GiB
[upstream s1]
kind = service
address = 127.0.0.3:8000
domain = d2
[service booking]
upstreams = s1
"""

NODE = """
[node]
name = n1
site = here
domain = d1
listen = 127.0.0.1:0
operator_listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
platform = 127.0.0.1:9000
operator_token = secret
peer_keys = new, old
drain_grace = 20 s
"""


def load(base: str, overlay: str = ""):
    """Load a deployment from two texts named base.ini and overlay.ini."""
    return load_deployment(SettingsText("base.ini", base), SettingsText("overlay.ini", overlay))


class LoadTest(unittest.TestCase):
    """A base with every kind of section, and overlays that modify it."""

    def assert_refused(self, overlay: str, section: str, key: str, part: str) -> None:
        match load(BASE, overlay):
            case Err(errors):
                found = [(e.section, e.key, e.file) for e in errors]
                self.assertEqual(found, [(section, key, "overlay.ini")])
                self.assertIn(part, errors[0].message)
            case Ok():
                self.fail(f"accepted: {overlay}")

    def test_units_are_converted(self):
        """Guards against a quantity that is converted by a wrong factor."""
        dep = load(BASE).unwrap().deployment
        self.assertEqual(dep.models["m1"].memory_mib, 12288)
        self.assertEqual(dep.models["m1"].first_token_s, 0.35)
        self.assertEqual(dep.store.loads_per_s, 1.5)
        self.assertEqual([u.name for u in dep.engines], ["e1"])

    def test_overlay_overrides_a_key_and_origins_are_kept(self):
        """Guards against an overlay that is ignored, or that removes other keys of a section."""
        loaded = load(BASE, "[model m1]\ntoken_gap = 50 ms\n[model m2]\nmemory = 1 GiB").unwrap()
        self.assertEqual(loaded.deployment.models["m1"].token_gap_s, 0.05)
        self.assertEqual(loaded.deployment.models["m1"].memory_mib, 12288)
        self.assertEqual(loaded.origin_of("model m1", "token_gap"), "overlay.ini")
        self.assertEqual(loaded.origin_of("model m1", "memory"), "base.ini")
        self.assertEqual(loaded.origin_of("model m1", "max_tokens"), "default")

    def test_each_error_is_reported_with_its_location(self):
        """Guards against an error that is accepted, or reported for the wrong file or key."""
        engine = "kind = engine\naccelerators = 1\nmemory = 1 GiB\n"
        new = f"[upstream e2]\n{engine}domain = d1\n"
        cases = (
            ("[modle m2]", "modle m2", "", "unknown"),
            ("[model m1]\nmemroy = 1 GiB", "model m1", "memroy", "unknown"),
            ("[model m1]\nmemory = 12", "model m1", "memory", "no unit"),
            ("[model m1]\nmemory = 12 GB", "model m1", "memory", "unknown unit"),
            ("[model m1]\nfirst_token = 0 ms", "model m1", "first_token", "not positive"),
            ("[model m1]\nmin_replicas = -1", "model m1", "min_replicas", "not positive"),
            ("[model m1]\nmin_replicas = 2", "model m1", "min_replicas", "only 1 engines"),
            ("[model m1]\nmemory = 17 GiB", "model m1", "memory", "largest engine"),
            ("[adapter a1]\nmemory = 5 GiB", "adapter a1", "memory", "largest engine"),
            ("[adapter a1]\nbase = m9", "adapter a1", "base", "does not exist"),
            ("[adapter m1]\nbase = m1\nmemory = 1 MiB", "adapter m1", "", "also names a model"),
            ("[service booking]\nupstreams = s9", "service booking", "upstreams", "not exist"),
            ("[service booking]\nupstreams = e1", "service booking", "upstreams", "an engine"),
            ("[upstream e1]\ndomain = d9", "upstream e1", "domain", "site's domains"),
            ("[upstream s1]\nmemory = 1 GiB", "upstream s1", "memory", "engines only"),
            (new + "address = host:80", "upstream e2", "address", "IPv4"),
            (new + "address = 127.0.0.1", "upstream e2", "address", "IPv4"),
            (new + "address = 127.0.0.1:0", "upstream e2", "address", "IPv4"),
            (new + "address = 127.0.0.2:8000", "upstream e2", "address", "also the address"),
            (new, "upstream e2", "address", "missing"),
            ("[site]\norder_send_limit = 9 s", "site", "order_send_limit", "shorter"),
            ("[model m2]\nmemory = 1 GiB\n[model m2]", "model m2", "", "twice"),
            ("[model m2]\nmemory = 1 GiB\n[model  m2]", "model m2", "", "twice"),
            ("[site]\nlease = 9 s\nlease = 8 s", "site", "lease", "twice"),
        )
        for overlay, section, key, part in cases:
            with self.subTest(overlay=overlay):
                self.assert_refused(overlay, section, key, part)

    def test_models_larger_than_all_engines_together_are_refused(self):
        """Guards against a deployment whose models can never all be resident."""
        errors = load(BASE, "[model m2]\nmemory = 5 GiB").unwrap_err()
        self.assertEqual([(e.section, e.step) for e in errors], [("site", "check")])
        self.assertIn("17 GiB", errors[0].message)

    def test_all_errors_are_reported_at_once(self):
        """Guards against reporting only one error at a time."""
        overlay = "x\n[site]\nlease = 9\nlease = 8 s\nlease = 7 s\n[oops]\nrubbish\n[oops]\n"
        overlay += "[upstream e1]\ndomain = d9\n[adapter a1]\nbase = m9\n"
        steps = [error.step for error in load(BASE, overlay).unwrap_err()]
        self.assertEqual(steps.count("read"), 5)
        self.assertEqual(steps.count("parse"), 2)
        good_site = overlay.replace("lease = 9\n", "")
        steps = [error.step for error in load(BASE, good_site).unwrap_err()]
        self.assertEqual(steps.count("check"), 2)

    def test_effective_text_loads_to_the_same_deployment(self):
        """Guards against a printed value that differs from the value in force."""
        loaded = load(BASE, "[model m1]\nmemory = 1537 MiB\npriority = patient").unwrap()
        text = format_effective(loaded)
        self.assertRegex(text, r"memory = 1537 MiB +# overlay.ini")
        self.assertEqual(load(text).unwrap().deployment, loaded.deployment)

    def test_difference_compares_parsed_values(self):
        """Guards against reporting equal values in different notations as differences."""
        old = load(BASE).unwrap().deployment
        same = load(BASE, "[model m1]\nmemory = 12288 MiB\nmax_tokens = 4096").unwrap().deployment
        self.assertEqual(diff_deployments(old, same), ())
        new = load(BASE, "[site]\nmove_cost = 40\n[model m2]\nmemory = 1 GiB").unwrap().deployment
        lines = [str(difference) for difference in diff_deployments(old, new)]
        self.assertIn("[site] move_cost: 10 -> 40", lines)
        self.assertIn("[model m2] memory: (absent) -> 1 GiB", lines)


class NodeSettingsTest(unittest.TestCase):
    """The settings file of one node."""

    def test_node_file_is_loaded(self):
        """Guards against a node that reads its own settings incorrectly."""
        node = load_node_settings(SettingsText("node.ini", NODE)).unwrap()
        self.assertEqual((node.peer_keys, node.drain_grace_s), (("new", "old"), 20.0))

    def test_invalid_node_file_is_refused(self):
        """Guards against a node that starts with a missing or invalid key."""
        text = NODE.replace("platform = 127.0.0.1:9000", "platform = localhost:9000")
        text = text.replace("domain = d1\n", "")
        errors = load_node_settings(SettingsText("node.ini", text)).unwrap_err()
        self.assertEqual({e.key for e in errors}, {"platform", "domain"})
        self.assertTrue(load_node_settings(SettingsText("node.ini", "")).is_err())
