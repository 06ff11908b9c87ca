"""Tests of the configuration."""

import unittest

from .. import Backend, FleetConfig, RequestKind, Route


def make_route(name: str, host: str, prefix: str) -> Route:
    """Return a route of a host and path prefix to the service ``s``."""
    return Route(
        name,
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        (Backend("s", 1.0),),
        1.0,
        0.2,
        0,
        max_attempts=1,
    )


class MatchTest(unittest.TestCase):
    """Matching of requests to routes."""

    def setUp(self):
        routes = (
            make_route("short", "a.example", "/x/"),
            make_route("long", "a.example", "/x/y/"),
            make_route("other", "b.example", "/x/y/z/"),
        )
        self.config = FleetConfig(1, routes)

    def test_longest_prefix_of_the_host_wins(self):
        """Guards against sending a request to the service of a less specific route."""
        self.assertEqual(self.config.match("a.example", "/x/y/z/1").name, "long")
        self.assertEqual(self.config.match("a.example", "/x/1").name, "short")

    def test_host_is_compared_without_case_and_port(self):
        """Guards against refusing a valid request whose Host header has capitals or a port."""
        self.assertEqual(self.config.match("A.Example:80", "/x/").name, "short")

    def test_prefix_matches_whole_segments(self):
        """Guards against a prefix that matches only a part of a path segment."""
        self.assertIsNone(self.config.match("a.example", "/xy/"))
        self.assertIsNone(self.config.match("c.example", "/x/"))
