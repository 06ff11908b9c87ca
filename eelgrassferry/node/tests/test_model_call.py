"""Tests for the validation of model requests."""

import json
import unittest

from ...http import HttpRequest
from ...settings import Adapter, Deployment, Model, Site
from ..model_call import CallKind, parse_model_call

DEPLOYMENT = Deployment(
    Site("s1", ("d1",)),
    models={"m1": Model("m1", 100, max_tokens=50, urgent=True)},
    adapters={"a1": Adapter("a1", "m1", 10, urgent=False)},
)


def parse(body, headers=(), kind=CallKind.COMPLETION):
    """Parse a request with the given JSON body."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return parse_model_call(HttpRequest("POST", "/", headers, data), kind, "r1", DEPLOYMENT)


class ParseModelCallTest(unittest.TestCase):
    """Parsing of single requests."""

    def test_invalid_body_is_refused_with_reason(self):
        """Guards against invalid input that reaches an engine or is refused without a reason."""
        cases = {
            "malformed_json": b"{",
            "unknown_field": {"model": "m1", "prompt": "p", "temprature": 1},
            "unknown_model": {"model": "m2", "prompt": "p"},
            "invalid_field": {"model": "m1", "prompt": "p", "max_tokens": 51},
        }
        for reason, body in cases.items():
            problem = parse(body).unwrap_err()
            self.assertEqual((problem.reason, problem.ran.value), (reason, "no"))

    def test_invalid_headers_are_refused(self):
        """Guards against invalid priorities or deadlines that are silently ignored."""
        body = {"model": "m1", "prompt": "p"}
        for header in (("priority", "u=9"), ("x-deadline-ms", "soon"), ("x-deadline-ms", "-1")):
            self.assertEqual(parse(body, (header,)).unwrap_err().reason, "invalid_header")

    def test_urgency_comes_from_header_or_settings(self):
        """Guards against patient requests that are served as urgent, and vice versa."""
        urgent = parse({"model": "m1", "prompt": "p"}).unwrap()
        patient = parse({"model": "a1", "prompt": "p"}).unwrap()
        raised = parse({"model": "a1", "prompt": "p"}, (("priority", "u=0, i"),)).unwrap()
        self.assertEqual([c.urgent for c in (urgent, patient, raised)], [True, False, True])

    def test_digest_ignores_sampling_options(self):
        """Guards against a crashing request that evades detection with other sampling options."""
        one = parse({"model": "m1", "prompt": "p", "max_tokens": 5}).unwrap()
        two = parse({"model": "m1", "prompt": "p", "max_tokens": 6, "seed": 3}).unwrap()
        other = parse({"model": "m1", "prompt": "q"}).unwrap()
        self.assertEqual(one.digest, two.digest)
        self.assertNotEqual(one.digest, other.digest)
