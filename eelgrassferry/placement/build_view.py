"""Builds what the planner and a version change see from the controller's tables."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..settings import Upstream
from .area_state import AreaState, Copy, UpstreamState
from .engine import EngineStatus, Item, ItemKind
from .record import UpstreamRecord
from .version_change import ChangeUpstream, ChangeView
from .view import ADAPTER_STAY_S, ItemPlan, PlanView, UpstreamPlan

__all__ = ["PlanViewBuilder", "build_change_view", "is_fixed"]

# A new model is kept for this long, so that a burst on another does not evict it before it has
# paid for its load.
MODEL_STAY_S = 20.0


@dataclass(frozen=True)
class _Seen:
    """What an upstream's plan was built from; compared by identity where that is cheaper."""

    status: EngineStatus | None
    draft: UpstreamRecord | None
    upstream: Upstream
    unloads: frozenset[Item]
    probing: frozenset[Item]
    barred: frozenset[str]

    def is_same(self, other: "_Seen") -> bool:
        same = self.status is other.status and self.draft is other.draft
        return (
            same
            and self.upstream is other.upstream
            and self.unloads == other.unloads
            and self.probing == other.probing
            and self.barred == other.barred
        )


class PlanViewBuilder:
    """Builds the planner's view, and again only what has changed since the last time."""

    def __init__(self, area: AreaState, request_tokens: float) -> None:
        self._area = area
        self._request_tokens = request_tokens
        self._built_for: object = None
        self._items: dict[str, ItemPlan] = {}
        self._upstreams: dict[str, tuple[_Seen, UpstreamPlan]] = {}

    def build(
        self, now: float, frozen: frozenset[str], max_moves: int, make_room: tuple[str, ...] = ()
    ) -> PlanView:
        """Return the view. ``frozen`` names are in the hands of a version change."""
        area = self._area
        deployment = area.deployment
        assert deployment is not None
        key = (id(deployment), frozen, tuple(area.pinned.items()))
        if key != self._built_for:
            self._built_for = key
            self._items = {
                name: self._make_item(name, frozen)
                for name in (*deployment.models, *deployment.adapters)
            }
        return PlanView(
            self._items,
            self._make_upstreams(now),
            dict(area.estimator.demands(now)),
            deployment.site.move_cost,
            now,
            max_moves,
            make_room,
        )

    def _make_item(self, name: str, frozen: frozenset[str]) -> ItemPlan:
        deployment, known = self._area.deployment, self._area.item_of(name)
        assert deployment is not None
        assert known is not None
        model, adapter = deployment.models.get(name), deployment.adapters.get(name)
        return ItemPlan(
            *known,
            base=adapter.base if adapter else "",
            min_replicas=model.min_replicas if model else 1,
            frozen=name in frozen,
        )

    def _make_upstreams(self, now: float) -> dict[str, UpstreamPlan]:
        area = self._area
        unloads, probing = group(area.unloads), group(area.probing)
        barred: dict[str, frozenset[str]] = {}
        for copy in area.failures:
            if area.is_barred(copy, now):
                names = barred.get(copy.upstream, frozenset())
                barred[copy.upstream] = names | {copy.item.name}
        none: frozenset[Item] = frozenset()
        plans: dict[str, UpstreamPlan] = {}
        for state in area.available(now):
            name = state.upstream.name
            seen = _Seen(
                state.ledger.status,
                state.ledger.draft,
                state.upstream,
                unloads.get(name, none),
                probing.get(name, none),
                barred.get(name, frozenset()),
            )
            built = self._upstreams.get(name)
            if built is None or not built[0].is_same(seen):
                built = (seen, build_upstream(area, state, seen, self._request_tokens))
                self._upstreams[name] = built
            plans[name] = built[1]
        return plans


def group(copies: Iterable[Copy]) -> dict[str, frozenset[Item]]:
    """Return the items by upstream."""
    found: dict[str, frozenset[Item]] = {}
    for copy in copies:
        found[copy.upstream] = found.get(copy.upstream, frozenset()) | {copy.item}
    return found


def build_upstream(
    area: AreaState, state: UpstreamState, seen: _Seen, request_tokens: float
) -> UpstreamPlan:
    """Return the planner's view of one upstream. It depends on nothing but ``seen``."""
    name = state.upstream.name
    copies: dict[str, Item] = {}
    memory_mib: dict[str, int] = {}
    fixed_until_s: dict[str, float] = {}
    retiring_mib = 0
    for resident in state.residents():
        item = resident.item
        if resident.leaving or item in seen.unloads:
            retiring_mib += resident.memory_mib
            continue
        copies[item.name] = item
        memory_mib[item.name] = memory_mib.get(item.name, 0) + resident.memory_mib
        if item in seen.probing:
            fixed_until_s[item.name] = float("inf")
        elif item.name not in fixed_until_s:
            fixed_until_s[item.name] = stays_until(area, Copy(name, item))
    return UpstreamPlan(
        name,
        state.upstream.domain,
        state.upstream.decode_tokens_per_s / request_tokens,
        state.ledger.free_mib,
        copies,
        memory_mib,
        frozenset(item.name for item in state.loading()),
        retiring_mib,
        fixed_until_s,
        seen.barred,
    )


def stays_until(area: AreaState, copy: Copy) -> float:
    """Return the time until which a copy is too new to be evicted."""
    stay_s = ADAPTER_STAY_S if copy.item.kind is ItemKind.ADAPTER else MODEL_STAY_S
    return area.loaded_s.get(copy, float("-inf")) + stay_s


def is_fixed(area: AreaState, copy: Copy, now: float) -> bool:
    """Return whether a copy is too new, or an adapter too recently used, to be evicted."""
    if now < stays_until(area, copy):
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
