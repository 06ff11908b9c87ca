"""Chooses where a wanted adapter is loaded."""

from dataclasses import dataclass

from .area_state import AreaState, Copy, UpstreamState
from .build_view import is_fixed
from .engine import Item, ItemKind

__all__ = ["AdapterPlace", "place_adapter"]


@dataclass(frozen=True)
class AdapterPlace:
    """An upstream, and the idle adapters to unload there first, least recently used first.

    ``fits`` is False while memory is still being freed.
    """

    upstream: str
    fits: bool
    evict: tuple[Copy, ...] = ()


def place_adapter(
    area: AreaState, item: Item, memory_mib: int, base: str, now: float
) -> AdapterPlace | None:
    """Return the place for an adapter, or None where no upstream can take it now.

    An upstream with free memory comes first, then one where memory is being freed, then the one
    whose idle adapters have been idle longest.
    """
    best: tuple[tuple[float, ...], AdapterPlace] | None = None
    for state in area.available(now):
        if not holds_base(area, state, base) or area.is_barred(
            Copy(state.upstream.name, item), now
        ):
            continue
        status = state.ledger.status
        assert status is not None
        busy = (status.running + status.queued) / max(1, state.upstream.max_batch)
        missing_mib = memory_mib - state.ledger.free_mib
        if missing_mib <= 0:
            place = AdapterPlace(state.upstream.name, fits=True)
            score = (0.0, busy, float(-state.ledger.free_mib))
        else:
            retiring_mib = sum(
                r.memory_mib
                for r in state.residents()
                if r.leaving or Copy(state.upstream.name, r.item) in area.unloads
            )
            if missing_mib <= retiring_mib:
                place = AdapterPlace(state.upstream.name, fits=False)
                score = (1.0, busy, 0.0)
            else:
                idle = choose_idle(area, state, missing_mib - retiring_mib, now)
                if not idle:
                    continue
                place = AdapterPlace(state.upstream.name, fits=False, evict=idle)
                last_s = max(area.estimator.last_s(copy.item.name) for copy in idle)
                score = (2.0, float(len(idle)), last_s)
        if best is None or score < best[0]:
            best = (score, place)
    return best[1] if best else None


def holds_base(area: AreaState, state: UpstreamState, base: str) -> bool:
    """Return whether a base model is resident on an upstream and stays there."""
    return any(
        r.item.kind is ItemKind.MODEL
        and r.item.name == base
        and Copy(state.upstream.name, r.item) not in area.unloads
        for r in state.ready()
    )


def choose_idle(
    area: AreaState, state: UpstreamState, needed_mib: int, now: float
) -> tuple[Copy, ...]:
    """Return the least recently used idle adapters that free ``needed_mib``, or none."""
    name = state.upstream.name
    options = sorted(
        (area.estimator.last_s(r.item.name), r.item.name, r.item.version, r.memory_mib, r.item)
        for r in state.ready()
        if r.item.kind is ItemKind.ADAPTER
        and (copy := Copy(name, r.item)) not in area.unloads
        and not is_fixed(area, copy, now)
        and not r.running
    )
    chosen: list[Copy] = []
    for *_, memory_mib, item in options:
        if needed_mib <= 0:
            break
        chosen.append(Copy(name, item))
        needed_mib -= memory_mib
    return tuple(chosen) if needed_mib <= 0 else ()
