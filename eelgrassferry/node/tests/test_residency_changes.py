"""Tests for the detection of upstreams that the lease holder must announce again."""

import unittest

from ...placement import Copy, Item, ItemKind, Resident
from ..residency_changes import ResidencyChanges

ITEM = Item(ItemKind.MODEL, "m1", "1")


def make_residents() -> tuple[Resident, ...]:
    """Return the residents of one status as a new tuple."""
    return (Resident(ITEM, 1),)


class ResidencyChangesTest(unittest.TestCase):
    """Three upstreams with one copy each."""

    def setUp(self) -> None:
        self.changes = ResidencyChanges()
        self.residents = {name: make_residents() for name in ("u1", "u2", "u3")}

    def test_only_new_statuses_are_changes(self):
        """Guards against building the copies of every upstream at each check."""
        self.assertEqual(self.changes.pop_changed(self.residents, frozenset()), ["u1", "u2", "u3"])
        self.assertEqual(self.changes.pop_changed(self.residents, frozenset()), [])
        self.assertEqual(
            self.changes.pop_changed({**self.residents, "u2": make_residents()}, frozenset()),
            ["u2"],
        )
        self.assertEqual(
            self.changes.pop_changed({**self.residents, "u2": ()}, frozenset()), ["u2"]
        )

    def test_copies_made_unroutable_or_routable_are_changes(self):
        """Guards against requests to a copy that is about to be unloaded.

        Also guards against a version that gets no requests although it has been probed.
        """
        self.changes.pop_changed(self.residents, frozenset())
        unroutable = frozenset({Copy("u3", ITEM)})
        self.assertEqual(self.changes.pop_changed(self.residents, unroutable), ["u3"])
        self.assertEqual(self.changes.pop_changed(self.residents, unroutable), [])
        self.assertEqual(self.changes.pop_changed(self.residents, frozenset()), ["u3"])

    def test_clear_and_new_upstreams_are_changes(self):
        """Guards against upstreams that a new lease holder never announces."""
        self.changes.pop_changed(self.residents, frozenset())
        self.changes.clear()
        self.assertEqual(self.changes.pop_changed(self.residents, frozenset()), ["u1", "u2", "u3"])
        self.residents["u4"] = make_residents()
        self.assertEqual(self.changes.pop_changed(self.residents, frozenset()), ["u4"])

    def test_unchanged_upstreams_are_marked_in_rotation(self):
        """Guards against nodes that start later and never receive some upstream."""
        self.assertEqual(ResidencyChanges().mark_next_changed(), "")
        self.changes.pop_changed(self.residents, frozenset())
        for name in ("u1", "u2", "u3", "u1"):
            self.assertEqual(self.changes.mark_next_changed(), name)
            self.assertEqual(self.changes.pop_changed(self.residents, frozenset()), [name])


if __name__ == "__main__":
    unittest.main()
