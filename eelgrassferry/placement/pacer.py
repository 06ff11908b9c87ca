"""Rate and concurrency limits of loads from the weight store."""

from ..settings import WeightStore
from .engine import ItemKind

__all__ = ["LoadPacer"]


class LoadPacer:
    """Limiter of the loads from a site's weight store.

    Model loads are limited in rate and in number. Adapter loads are limited to the number up to
    which they run at full speed. ``share`` is the fraction of the store that this area may use.

    >>> pacer = LoadPacer(WeightStore(loads_per_s=1.0, slots=2))
    >>> pacer.may_start(ItemKind.MODEL, in_transit=2, now=0.0)
    False
    """

    def __init__(self, store: WeightStore, share: float = 1.0) -> None:
        self._store = store
        self._share = share
        self._credit = 1.0
        self._refilled_s: float | None = None

    def update(self, store: WeightStore) -> None:
        """Replace the limits."""
        self._store = store

    def may_start(self, kind: ItemKind, in_transit: int, now: float) -> bool:
        """Return whether a load may start while ``in_transit`` loads of its kind are running."""
        if kind is ItemKind.ADAPTER:
            return in_transit < max(1, int(self._store.adapter_slots * self._share))
        self._refill(now)
        return self._credit >= 1.0 and in_transit < max(1, int(self._store.slots * self._share))

    def start(self, kind: ItemKind, now: float) -> None:
        """Count a load that starts now."""
        if kind is ItemKind.MODEL:
            self._refill(now)
            self._credit -= 1.0

    def _refill(self, now: float) -> None:
        if self._refilled_s is not None:
            gained = max(0.0, now - self._refilled_s) * self._store.loads_per_s * self._share
            # The credit is limited to one load, so that loads stay evenly spaced after idle times.
            self._credit = min(1.0, self._credit + gained)
        self._refilled_s = now
