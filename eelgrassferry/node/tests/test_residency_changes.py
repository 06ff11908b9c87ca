"""Tests of which upstreams the lease holder announces again."""

import unittest

from ...placement import Copy, Item, ItemKind, Resident
from ..residency_changes import ResidencyChanges

ITEM = Item(ItemKind.MODEL, "m1", "1")


def read() -> tuple[Resident, ...]:
    """Return the residents of one status, in a tuple of its own."""
    return (Resident(ITEM, 1),)


class ResidencyChangesTest(unittest.TestCase):
    """Three upstreams with one copy each."""

    def setUp(self) -> None:
        self.changes = ResidencyChanges()
        self.held = {name: read() for name in ("u1", "u2", "u3")}

    def test_only_new_statuses_count(self):
        """Guards against building the copies of every upstream at each look."""
        self.assertEqual(self.changes.take(self.held, frozenset()), ["u1", "u2", "u3"])
        self.assertEqual(self.changes.take(self.held, frozenset()), [])
        self.assertEqual(self.changes.take({**self.held, "u2": read()}, frozenset()), ["u2"])
        self.assertEqual(self.changes.take({**self.held, "u2": ()}, frozenset()), ["u2"])

    def test_copies_that_are_held_back_or_released_count(self):
        """Guards against new work on a copy that is about to be unloaded, and against a version
        that gets no work although it was probed."""
        self.changes.take(self.held, frozenset())
        held_back = frozenset({Copy("u3", ITEM)})
        self.assertEqual(self.changes.take(self.held, held_back), ["u3"])
        self.assertEqual(self.changes.take(self.held, held_back), [])
        self.assertEqual(self.changes.take(self.held, frozenset()), ["u3"])

    def test_a_new_term_and_a_new_upstream_count(self):
        """Guards against peers that never hear what the new holder knows."""
        self.changes.take(self.held, frozenset())
        self.changes.clear()
        self.assertEqual(self.changes.take(self.held, frozenset()), ["u1", "u2", "u3"])
        self.held["u4"] = read()
        self.assertEqual(self.changes.take(self.held, frozenset()), ["u4"])

    def test_unchanged_upstreams_are_repeated_in_turn(self):
        """Guards against a node that starts later and never hears of some upstream."""
        self.assertEqual(ResidencyChanges().repeat_next(), "")
        self.changes.take(self.held, frozenset())
        for name in ("u1", "u2", "u3", "u1"):
            self.assertEqual(self.changes.repeat_next(), name)
            self.assertEqual(self.changes.take(self.held, frozenset()), [name])


if __name__ == "__main__":
    unittest.main()
