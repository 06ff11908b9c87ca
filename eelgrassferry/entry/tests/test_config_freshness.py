"""Tests of the estimate whether a node's configuration may be out of date."""

import unittest
from unittest.mock import Mock

from ..config_freshness import ConfigFreshness


class ConfigFreshnessTest(unittest.TestCase):
    """The age of the copy, the state of the store and the coordinator's relay."""

    def may_be_behind(self, relayed=False, unavailable_s=0.0, age_s=0.1, outage=False) -> bool:
        feed = Mock(unavailable_s=unavailable_s, age_s=age_s, is_relayed=lambda: relayed)
        store = Mock(had_outage_since=lambda _time: outage)
        return ConfigFreshness(feed, store, lambda: 0.0).may_be_behind()

    def test_contact(self):
        """Guards against callers that are told to return for as long as a configuration stays the
        same: changes are relayed, or a watch of the store takes 2 s.
        """
        self.assertFalse(self.may_be_behind(relayed=True, age_s=900.0))
        self.assertFalse(self.may_be_behind(age_s=2.9))

    def test_no_contact(self):
        """Guards against a final answer from a node that is cut off, or that has just started
        during an outage of the store.
        """
        self.assertTrue(self.may_be_behind(age_s=float("inf")))
        self.assertTrue(self.may_be_behind(age_s=60.0))
        self.assertTrue(self.may_be_behind(unavailable_s=0.01))
        self.assertTrue(self.may_be_behind(outage=True))
