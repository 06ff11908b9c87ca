"""Estimate whether a node's copy of the configuration may be out of date."""

from collections.abc import Callable

from ..objects import MonitoredStore, ObjectFeed

__all__ = ["ConfigFreshness"]

# A copy that neither the store nor a peer has confirmed for this time may be out of date, in
# seconds. A watch without changes takes 2 s, and the pause before the next one up to 1 s.
MAX_UNCONFIRMED_S = 3.5


class ConfigFreshness:
    """Tells whether the copy of the configuration in ``feed`` may lack a newer version.

    The copy is current while a coordinator that reaches the store relays the changes, or while the
    store itself answers this node.
    """

    def __init__(self, feed: ObjectFeed, store: MonitoredStore, clock: Callable[[], float]) -> None:
        self._feed = feed
        self._store = store
        self._clock = clock

    def may_be_behind(self) -> bool:
        """Return whether a newer configuration may be in force."""
        if self._feed.is_relayed():
            return False
        if self._feed.unavailable_s > 0.0 or self._feed.age_s > MAX_UNCONFIRMED_S:
            return True
        return self._store.had_outage_since(self._clock())
