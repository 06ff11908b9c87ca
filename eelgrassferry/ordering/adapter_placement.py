"""Selection of the engine for a missing adapter and of the adapter to evict for it."""

from collections.abc import Container, Iterable, Mapping

from ..placement import OrderKind
from .engine_tracker import CopyState, EngineTracker
from .fleet_order import FleetOrder

__all__ = ["place_adapter"]

# An adapter that was used within this time is not evicted, in seconds.
RECENT_USE_S = 0.5


def place_adapter(
    model: str,
    adapter: str,
    trackers: Iterable[EngineTracker],
    wanted: Iterable[tuple[str, str]],
    requests: Mapping[str, float],
    now: float,
    limited: Container[str] = (),
) -> tuple[EngineTracker, FleetOrder] | None:
    """Return the next order that brings an adapter to an engine, and that engine.

    ``wanted`` contains the (model, adapter) pairs that requests wait for, and ``requests`` the
    number of requests in flight by instance. ``limited`` contains the engines that limit their rate
    of requests; an adapter that waits for one of them is loaded on another one as well.

    Returns None if the adapter is already loaded or in transit on an engine with a live copy of the
    model, or if no engine can take an order for it. Engines accept no order for an adapter while
    they load or unload a model. Otherwise the engine with the fewest requests among those with a
    free adapter slot loads the adapter. If all slots are occupied, the least recently used adapter
    that no request waits for is unloaded first.
    """
    holders = [
        tracker
        for tracker in trackers
        if model in tracker.copies and tracker.copies[model].state is CopyState.LIVE
    ]
    if any((model, adapter) in tracker.adapters for tracker in holders):
        holders = [tracker for tracker in holders if tracker.instance not in limited]
    if any((model, adapter) in tracker.adapters for tracker in holders):
        return None
    ready = [
        tracker
        for tracker in holders
        if tracker.is_ready(now) and not tracker.is_loading_or_unloading
    ]
    free = [tracker for tracker in ready if tracker.free_slots > 0]
    if free:
        tracker = min(free, key=lambda item: (requests.get(item.instance, 0.0), -item.free_slots))
        return tracker, FleetOrder(OrderKind.LOAD_ADAPTER, model, tracker.order_count, adapter)
    waited_for = set(wanted)
    victims = [
        (tracker.used_at.get(pair, 0.0), tracker, pair)
        for tracker in ready
        for pair, ready_at in tracker.adapters.items()
        if ready_at <= now
        and pair not in waited_for
        and now - tracker.used_at.get(pair, 0.0) >= RECENT_USE_S
    ]
    if not victims:
        return None
    _, tracker, (old_model, old_adapter) = min(victims, key=lambda victim: victim[0])
    return tracker, FleetOrder(
        OrderKind.UNLOAD_ADAPTER, old_model, tracker.order_count, old_adapter
    )
