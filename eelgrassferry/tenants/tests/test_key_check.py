"""Tests of the decision by key."""

import unittest
from dataclasses import replace

from ...fleet import Backend, FleetConfig, RequestKind, Route, Tenant
from .. import Identified, UnknownKey, Unsure, check_key

PRESS = Tenant("press", ("kp",))
CLOSED = Route("r", "h", "/", RequestKind.IDEMPOTENT, (Backend("s", 1.0),), 4.0, 0.5, 1, 1)
OPEN = replace(CLOSED, anonymous=True)
CONFIG = FleetConfig(1, (CLOSED, OPEN), tenants={"press": PRESS})


class KeyCheckTest(unittest.TestCase):
    """Keys on both kinds of routes, with a copy of the configuration that is or may not be new."""

    def test_decisions(self):
        """Guards against a request that runs without a tenant's key, against one that is turned
        away for good by a node that is cut off, and against 503 answers that no return can mend.
        """
        for route, key, may_be_behind, decision in (
            (CLOSED, "kp", False, Identified(PRESS)),
            (CLOSED, "kp", True, Identified(PRESS)),
            (CLOSED, "kq", False, UnknownKey()),
            (CLOSED, "kq", True, Unsure(0.5)),
            (CLOSED, "", True, UnknownKey()),
            (OPEN, "kp", False, Identified(PRESS)),
            (OPEN, "kq", True, Identified(None)),
            (OPEN, "", False, Identified(None)),
        ):
            with self.subTest(route=route.anonymous, key=key, may_be_behind=may_be_behind):
                self.assertEqual(check_key(CONFIG, route, key, may_be_behind), decision)

    def test_without_tenants(self):
        """Guards against a fleet without tenants whose callers need keys after an update."""
        config = replace(CONFIG, tenants={})
        self.assertEqual(check_key(config, CLOSED, "kq", True), Identified(None))
