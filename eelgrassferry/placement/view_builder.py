"""Construction of the views that the planner and the version changes work on."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..settings import Upstream
from .area_state import AreaState, Copy, UpstreamState
from .engine import EngineStatus, Item, ItemKind
from .plan_view import ADAPTER_MIN_RESIDENCY_S, ItemView, PlanView, UpstreamView
from .record import UpstreamRecord
from .version_change import ChangeUpstream, ChangeView

__all__ = ["PlanViewBuilder", "build_change_view", "is_protected"]

# Minimum time a loaded model stays resident, so that a burst on another model does not evict it
# before it has repaid the cost of its load.
MODEL_MIN_RESIDENCY_S = 20.0


@dataclass(frozen=True)
class _UpstreamInputs:
    """Inputs of an upstream's plan view, compared by identity where that is cheaper."""

    status: EngineStatus | None
    draft: UpstreamRecord | None
    upstream: Upstream
    unloads: frozenset[Item]
    probing: frozenset[Item]
    backing_off: frozenset[str]

    def matches(self, other: "_UpstreamInputs") -> bool:
        same = self.status is other.status and self.draft is other.draft
        return (
            same
            and self.upstream is other.upstream
            and self.unloads == other.unloads
            and self.probing == other.probing
            and self.backing_off == other.backing_off
        )


class PlanViewBuilder:
    """Builder of the planner's view that rebuilds only the parts that have changed."""

    def __init__(self, area: AreaState, request_tokens: float) -> None:
        self._area = area
        self._request_tokens = request_tokens
        self._items_key: object = None
        self._items: dict[str, ItemView] = {}
        self._upstreams: dict[str, tuple[_UpstreamInputs, UpstreamView]] = {}

    def build(
        self,
        now: float,
        frozen: frozenset[str],
        max_moves: int,
        changes_needing_memory: tuple[str, ...] = (),
    ) -> PlanView:
        """Return the view. A version change controls the items in ``frozen``."""
        area = self._area
        deployment = area.deployment
        assert deployment is not None
        key = (id(deployment), frozen, tuple(area.pinned.items()))
        if key != self._items_key:
            self._items_key = key
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
            changes_needing_memory,
        )

    def _make_item(self, name: str, frozen: frozenset[str]) -> ItemView:
        deployment, desired = self._area.deployment, self._area.desired_item(name)
        assert deployment is not None
        assert desired is not None
        model, adapter = deployment.models.get(name), deployment.adapters.get(name)
        return ItemView(
            *desired,
            base=adapter.base if adapter else "",
            min_replicas=model.min_replicas if model else 1,
            frozen=name in frozen,
        )

    def _make_upstreams(self, now: float) -> dict[str, UpstreamView]:
        area = self._area
        unloads, probing = group_by_upstream(area.unloads), group_by_upstream(area.probing)
        backing_off: dict[str, frozenset[str]] = {}
        for copy in area.failures:
            if area.is_backing_off(copy, now):
                names = backing_off.get(copy.upstream, frozenset())
                backing_off[copy.upstream] = names | {copy.item.name}
        none: frozenset[Item] = frozenset()
        views: dict[str, UpstreamView] = {}
        for state in area.available(now):
            name = state.upstream.name
            inputs = _UpstreamInputs(
                state.ledger.status,
                state.ledger.draft,
                state.upstream,
                unloads.get(name, none),
                probing.get(name, none),
                backing_off.get(name, frozenset()),
            )
            cached = self._upstreams.get(name)
            if cached is None or not cached[0].matches(inputs):
                cached = (inputs, make_upstream_view(area, state, inputs, self._request_tokens))
                self._upstreams[name] = cached
            views[name] = cached[1]
        return views


def group_by_upstream(copies: Iterable[Copy]) -> dict[str, frozenset[Item]]:
    """Return the items of the copies by upstream."""
    found: dict[str, frozenset[Item]] = {}
    for copy in copies:
        found[copy.upstream] = found.get(copy.upstream, frozenset()) | {copy.item}
    return found


def make_upstream_view(
    area: AreaState, state: UpstreamState, inputs: _UpstreamInputs, request_tokens: float
) -> UpstreamView:
    """Return the planner's view of one upstream. The result depends only on ``inputs``."""
    name = state.upstream.name
    copies: dict[str, Item] = {}
    memory_mib: dict[str, int] = {}
    protected_until_s: dict[str, float] = {}
    retiring_mib = 0
    for resident in state.residents():
        item = resident.item
        if resident.leaving or item in inputs.unloads:
            retiring_mib += resident.memory_mib
            continue
        copies[item.name] = item
        memory_mib[item.name] = memory_mib.get(item.name, 0) + resident.memory_mib
        if item in inputs.probing:
            protected_until_s[item.name] = float("inf")
        elif item.name not in protected_until_s:
            protected_until_s[item.name] = protected_until(area, Copy(name, item))
    return UpstreamView(
        name,
        state.upstream.domain,
        state.upstream.decode_tokens_per_s / request_tokens,
        state.ledger.free_mib,
        copies,
        memory_mib,
        frozenset(item.name for item in state.pending_loads()),
        retiring_mib,
        protected_until_s,
        inputs.backing_off,
    )


def protected_until(area: AreaState, copy: Copy) -> float:
    """Return the time before which a recently loaded copy must not be evicted."""
    stay_s = (
        ADAPTER_MIN_RESIDENCY_S if copy.item.kind is ItemKind.ADAPTER else MODEL_MIN_RESIDENCY_S
    )
    return area.loaded_s.get(copy, float("-inf")) + stay_s


def is_protected(area: AreaState, copy: Copy, now: float) -> bool:
    """Return whether a copy must not be evicted.

    A copy is protected for some time after its load, and an adapter also after its last use.
    """
    if now < protected_until(area, copy):
        return True
    if copy.item.kind is ItemKind.MODEL:
        return False
    return now < area.estimator.last_s(copy.item.name) + ADAPTER_MIN_RESIDENCY_S


def build_change_view(area: AreaState, target: Item, base: str, now: float) -> ChangeView:
    """Return the view for a change to ``target``.

    An adapter can only be loaded where its ``base`` is resident; for a model, ``base`` is empty.
    """
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
        loading = {i for i in state.pending_loads() if i.name == target.name and i not in residents}
        has_base = not base or any(
            r.item.name == base and Copy(name, r.item) not in area.unloads
            for r in state.active_residents()
        )
        can_load = has_base and not area.is_backing_off(Copy(name, target), now)
        found.append(
            ChangeUpstream(
                name,
                state.ledger.free_mib,
                residents,
                frozenset(loading),
                frozenset(retiring),
                can_load,
            )
        )
    deployment = area.deployment
    model = deployment.models.get(target.name) if deployment else None
    return ChangeView(tuple(found), model.min_replicas if model else 1)
