"""Builds what the planner and a version change see from the controller's tables."""

from .area_state import AreaState, Copy, UpstreamState
from .engine import Item, ItemKind
from .version_change import ChangeUpstream, ChangeView
from .view import ItemPlan, PlanView, UpstreamPlan

__all__ = ["build_change_view", "build_plan_view"]

# A new copy is kept for this long, so that a burst on another item does not evict it before it
# has paid for its load.
MODEL_STAY_S = 20.0
ADAPTER_STAY_S = 2.0


def build_plan_view(
    area: AreaState,
    now: float,
    frozen: frozenset[str],
    request_tokens: float,
    max_moves: int,
    make_room: tuple[str, ...] = (),
) -> PlanView:
    """Return the planner's view. ``frozen`` names are in the hands of a version change."""
    deployment = area.deployment
    assert deployment is not None
    items: dict[str, ItemPlan] = {}
    for name in (*deployment.models, *deployment.adapters):
        known = area.item_of(name)
        assert known is not None
        item, memory_mib = known
        model, adapter = deployment.models.get(name), deployment.adapters.get(name)
        items[name] = ItemPlan(
            item,
            memory_mib,
            area.estimator.demand(name, now),
            base=adapter.base if adapter else "",
            min_replicas=model.min_replicas if model else 1,
            frozen=name in frozen,
        )
    upstreams = {
        state.upstream.name: build_upstream(area, state, now, request_tokens)
        for state in area.available(now)
    }
    return PlanView(items, upstreams, deployment.site.move_cost, max_moves, make_room)


def build_upstream(
    area: AreaState,
    state: UpstreamState,
    now: float,
    request_tokens: float,
) -> UpstreamPlan:
    """Return the planner's view of one upstream."""
    name = state.upstream.name
    copies: dict[str, Item] = {}
    memory_mib: dict[str, int] = {}
    fixed: set[str] = set()
    retiring_mib = 0
    for resident in state.residents():
        item = resident.item
        copy = Copy(name, item)
        if resident.leaving or copy in area.unloads:
            retiring_mib += resident.memory_mib
            continue
        copies[item.name] = item
        memory_mib[item.name] = memory_mib.get(item.name, 0) + resident.memory_mib
        if is_fixed(area, copy, now) or copy in area.probing:
            fixed.add(item.name)
    loading = {item.name for item in state.loading()}
    barred = {
        copy.item.name
        for copy in area.failures
        if copy.upstream == name and area.is_barred(copy, now)
    }
    return UpstreamPlan(
        name,
        state.upstream.domain,
        state.upstream.decode_tokens_per_s / request_tokens,
        state.ledger.free_mib,
        copies,
        memory_mib,
        frozenset(loading),
        retiring_mib,
        frozenset(fixed),
        frozenset(barred),
    )


def is_fixed(area: AreaState, copy: Copy, now: float) -> bool:
    """Return whether a copy is too new, or an adapter too recently used, to be evicted."""
    stay_s = ADAPTER_STAY_S if copy.item.kind is ItemKind.ADAPTER else MODEL_STAY_S
    if now < area.loaded_s.get(copy, float("-inf")) + stay_s:
        return True
    if copy.item.kind is ItemKind.MODEL:
        return False
    return now < area.estimator.last_s(copy.item.name) + ADAPTER_STAY_S


def build_change_view(area: AreaState, target: Item, base: str, now: float) -> ChangeView:
    """Return the view of a version change of ``target``; an adapter needs its ``base``."""
    found: list[ChangeUpstream] = []
    for state in area.available(now):
        name = state.upstream.name
        residents = {
            r.item: r.memory_mib
            for r in state.residents()
            if r.item.name == target.name and r.item.kind is target.kind
        }
        leaving = {r.item for r in state.residents() if r.leaving}
        retiring = {i for i in residents if i in leaving or Copy(name, i) in area.unloads}
        loading = {i for i in state.loading() if i.name == target.name and i not in residents}
        has_base = not base or any(
            r.item.name == base and Copy(name, r.item) not in area.unloads for r in state.ready()
        )
        can_hold = has_base and not area.is_barred(Copy(name, target), now)
        found.append(
            ChangeUpstream(
                name,
                state.ledger.free_mib,
                residents,
                frozenset(loading),
                frozenset(retiring),
                can_hold,
            )
        )
    deployment = area.deployment
    model = deployment.models.get(target.name) if deployment else None
    return ChangeView(tuple(found), model.min_replicas if model else 1)
