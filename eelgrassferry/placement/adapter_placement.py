"""Choice of the upstream on which a requested adapter is loaded."""

from dataclasses import dataclass

from .area_state import AreaState, Copy, UpstreamState
from .engine import Item, ItemKind
from .view_builder import is_protected

__all__ = ["AdapterPlacement", "place_adapter"]


@dataclass(frozen=True)
class AdapterPlacement:
    """Upstream for an adapter and the idle adapters to unload there, least recently used first.

    ``fits`` is False if memory has to be freed before the load.
    """

    upstream: str
    fits: bool
    evict: tuple[Copy, ...] = ()


def place_adapter(
    area: AreaState, item: Item, memory_mib: int, base: str, now: float
) -> AdapterPlacement | None:
    """Return the placement of an adapter, or None if no upstream can load it now.

    Upstreams with enough free memory are preferred, then upstreams where enough memory is being
    freed, then the upstream with the fewest and longest idle adapters to unload.
    """
    best: tuple[tuple[float, ...], AdapterPlacement] | None = None
    for state in area.available(now):
        if not has_base_model(area, state, base) or area.is_backing_off(
            Copy(state.upstream.name, item), now
        ):
            continue
        status = state.ledger.status
        assert status is not None
        busy = (status.running + status.queued) / max(1, state.upstream.max_batch)
        missing_mib = memory_mib - state.ledger.free_mib
        if missing_mib <= 0:
            placement = AdapterPlacement(state.upstream.name, fits=True)
            score = (0.0, busy, float(-state.ledger.free_mib))
        else:
            retiring_mib = sum(
                r.memory_mib
                for r in state.residents()
                if r.leaving or Copy(state.upstream.name, r.item) in area.unloads
            )
            if missing_mib <= retiring_mib:
                placement = AdapterPlacement(state.upstream.name, fits=False)
                score = (1.0, busy, 0.0)
            else:
                idle = choose_idle_adapters(area, state, missing_mib - retiring_mib, now)
                if not idle:
                    continue
                placement = AdapterPlacement(state.upstream.name, fits=False, evict=idle)
                last_s = max(area.estimator.last_s(copy.item.name) for copy in idle)
                score = (2.0, float(len(idle)), last_s)
        if best is None or score < best[0]:
            best = (score, placement)
    return best[1] if best else None


def has_base_model(area: AreaState, state: UpstreamState, base: str) -> bool:
    """Return whether a base model is resident on an upstream and not being unloaded."""
    return any(
        r.item.kind is ItemKind.MODEL
        and r.item.name == base
        and Copy(state.upstream.name, r.item) not in area.unloads
        for r in state.active_residents()
    )


def choose_idle_adapters(
    area: AreaState, state: UpstreamState, needed_mib: int, now: float
) -> tuple[Copy, ...]:
    """Return the least recently used idle adapters that free ``needed_mib``, or none."""
    name = state.upstream.name
    options = sorted(
        (area.estimator.last_s(r.item.name), r.item.name, r.item.version, r.memory_mib, r.item)
        for r in state.active_residents()
        if r.item.kind is ItemKind.ADAPTER
        and (copy := Copy(name, r.item)) not in area.unloads
        and not is_protected(area, copy, now)
        and not r.running
    )
    chosen: list[Copy] = []
    for *_, memory_mib, item in options:
        if needed_mib <= 0:
            break
        chosen.append(Copy(name, item))
        needed_mib -= memory_mib
    return tuple(chosen) if needed_mib <= 0 else ()
