"""Tests of the configuration in force."""

import unittest

from .. import Backend, FleetConfig, RequestKind, Route


def make_route(name: str, host: str, prefix: str) -> Route:
    """Return a route to one service."""
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
    """Which route a request takes."""

    def setUp(self):
        routes = (
            make_route("short", "a.example", "/x/"),
            make_route("long", "a.example", "/x/y/"),
            make_route("other", "b.example", "/x/y/z/"),
        )
        self.config = FleetConfig(1, routes)

    def test_longest_prefix_of_the_host_wins(self):
        """Guards against a request that runs on the service of a shorter prefix."""
        self.assertEqual(self.config.match("a.example", "/x/y/z/1").name, "long")
        self.assertEqual(self.config.match("a.example", "/x/1").name, "short")

    def test_host_is_compared_without_case_and_port(self):
        """Guards against refusing a proper request for the form of its host."""
        self.assertEqual(self.config.match("A.Example:80", "/x/").name, "short")

    def test_prefix_ends_with_its_slash(self):
        """Guards against matching a part of a segment."""
        self.assertIsNone(self.config.match("a.example", "/xy/"))
        self.assertIsNone(self.config.match("c.example", "/x/"))
