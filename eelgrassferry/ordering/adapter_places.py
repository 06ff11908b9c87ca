"""Decides on which engine a missing adapter is loaded, and what makes room for it."""

from collections.abc import Iterable, Mapping

from ..placement import OrderKind
from .engine_book import CopyState, EngineBook
from .fleet_order import FleetOrder

__all__ = ["place_adapter"]

# An adapter that was used within this time is not evicted while others are older, in seconds.
RECENT_S = 0.5


def place_adapter(
    model: str,
    adapter: str,
    books: Iterable[EngineBook],
    wanted: Iterable[tuple[str, str]],
    requests: Mapping[str, float],
    now: float,
) -> tuple[EngineBook, FleetOrder] | None:
    """Return the next order towards an adapter that requests wait for, or None.

    Engines take no order for an adapter while they load or unload a model.

    An adapter that is loaded or under way anywhere needs none. Otherwise the least busy engine
    that holds the model and has a free place gets it; where all places are taken, the adapter that
    was not used for longest is unloaded first, unless requests wait for it.
    """
    holders = [
        book
        for book in books
        if model in book.copies and book.copies[model].state is CopyState.LIVE
    ]
    if any((model, adapter) in book.adapters for book in holders):
        return None
    ready = [book for book in holders if book.is_ready(now) and not book.is_moving]
    free = [book for book in ready if book.free_slots > 0]
    if free:
        book = min(free, key=lambda b: (requests.get(b.instance, 0.0), -b.free_slots))
        return book, FleetOrder(OrderKind.LOAD_ADAPTER, model, book.count, adapter)
    waited_for = set(wanted)
    victims = [
        (book.used_at.get(pair, 0.0), book, pair)
        for book in ready
        for pair, ready_at in book.adapters.items()
        if ready_at <= now
        and pair not in waited_for
        and now - book.used_at.get(pair, 0.0) >= RECENT_S
    ]
    if not victims:
        return None
    _, book, (old_model, old_adapter) = min(victims, key=lambda victim: victim[0])
    return book, FleetOrder(OrderKind.UNLOAD_ADAPTER, old_model, book.count, old_adapter)
