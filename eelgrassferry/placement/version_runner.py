"""Execution of the version changes of a planning area."""

from ..settings import Deployment
from .area_state import AreaState, Copy
from .engine import EngineStatus, Item
from .move_runner import MoveRunner
from .pacer import LoadPacer
from .plan_view import PlanView
from .version_change import (
    LoadVersion,
    ProbeCopy,
    RejectVersion,
    RetireCopy,
    VersionChange,
    VersionState,
)
from .view_builder import PlanViewBuilder, build_change_view

__all__ = ["VersionRunner"]

MAX_MOVES_PER_PLAN = 4


class VersionRunner:
    """Executor of version changes.

    A change starts when a resident version differs from the configured one. If the probe of the
    configured version fails, the item stays pinned to the old version until the configuration
    names another version.
    """

    def __init__(self, area: AreaState, moves: MoveRunner, request_tokens: float) -> None:
        self._area = area
        self._views = PlanViewBuilder(area, request_tokens)
        self._last_statuses: dict[str, EngineStatus | None] = {}
        self._last_deployment: Deployment | None = None
        self._moves = moves
        self._changes: dict[str, VersionChange] = {}

    def clear(self) -> None:
        """Drop all changes. A later term detects them again from records and statuses."""
        self._changes.clear()
        self._area.probing.clear()
        self._area.pinned.clear()
        self._last_statuses.clear()

    def change_states(self) -> dict[str, tuple[VersionState, str]]:
        """Return the state and reason of each change in progress, by item name."""
        return {name: (c.state, c.reason) for name, c in self._changes.items()}

    def on_probe(self, upstream: str, name: str, version: str, ok: bool, detail: str) -> None:
        """Handle the result of a probe."""
        change = self._changes.get(name)
        if change is not None and change.target.version == version:
            change.on_probe(upstream, ok, detail)

    def plan_view(self, now: float) -> PlanView:
        """Return the view for the planner, in which items with a version change are frozen."""
        waiting = tuple(n for n, c in self._changes.items() if c.state is VersionState.WAITING)
        return self._views.build(now, frozenset(self._changes), MAX_MOVES_PER_PLAN, waiting)

    def advance(self, pacer: LoadPacer, now: float) -> list[Copy]:
        """Advance all changes and return the copies to probe."""
        self._find_changes(now)
        probes: list[Copy] = []
        for name, change in list(self._changes.items()):
            configured = self._area.configured_item(name)
            if configured is None or configured[0] != change.target:
                del self._changes[name]
                continue
            probes += self._advance_one(change, pacer, now)
            if change.is_over:
                del self._changes[name]
                self._last_statuses.clear()
        self._area.probing = self._find_probing(now)
        return probes

    def _find_changes(self, now: float) -> None:
        area = self._area
        residents = self._find_updated_residents(now)
        for name, (pinned, _) in list(area.pinned.items()):
            configured = area.configured_item(name)
            if configured is None or configured[0] == pinned or not area.is_rejected(configured[0]):
                del area.pinned[name]
        for item, memory_mib in sorted(residents, key=lambda pair: pair[0].sort_key()):
            configured = area.configured_item(item.name)
            if configured is None or configured[0] == item or item.name in self._changes:
                continue
            target, target_mib = configured
            if target.kind is not item.kind:
                continue
            change = VersionChange(target, target_mib)
            if area.is_rejected(target):
                area.pinned[item.name] = (item, memory_mib)
                if not any(c.item == target for c in area.copies_of(target.name, now)):
                    continue
                change.on_probe("", False, "rejected before")
            self._changes[item.name] = change

    def _find_updated_residents(self, now: float) -> set[tuple[Item, int]]:
        """Return item and memory of the copies on upstreams whose status has changed."""
        area = self._area
        if self._last_deployment is not area.deployment:
            self._last_deployment = area.deployment
            self._last_statuses.clear()
        residents: set[tuple[Item, int]] = set()
        for state in area.available(now):
            name = state.upstream.name
            if self._last_statuses.get(name) is state.ledger.status:
                continue
            self._last_statuses[name] = state.ledger.status
            for r in state.active_residents():
                if Copy(name, r.item) not in area.unloads:
                    residents.add((r.item, r.memory_mib))
        return residents

    def _advance_one(self, change: VersionChange, pacer: LoadPacer, now: float) -> list[Copy]:
        deployment = self._area.deployment
        assert deployment is not None
        adapter = deployment.adapters.get(change.target.name)
        view = build_change_view(self._area, change.target, adapter.base if adapter else "", now)
        probes: list[Copy] = []
        for step in change.step(view):
            match step:
                case LoadVersion(upstream, item, memory_mib):
                    self._moves.start_load(Copy(upstream, item), memory_mib, pacer, now)
                case ProbeCopy(copy):
                    probes.append(copy)
                case RetireCopy(copy):
                    reason = f"change to version {change.target.version}"
                    self._moves.start_unload(copy, reason, now)
                case RejectVersion(copy):
                    self._area.upstreams[copy.upstream].ledger.reject(copy.item)
                    self._area.dirty_upstreams.add(copy.upstream)
                    if change.previous is not None:
                        self._area.pinned[copy.item.name] = change.previous
        return probes

    def _find_probing(self, now: float) -> set[Copy]:
        """Return the unverified new copies of items that also have another copy to serve."""
        probing: set[Copy] = set()
        for name, change in self._changes.items():
            copies = self._area.copies_of(name, now)
            new = {
                c for c in copies if c.item == change.target and c.upstream not in change.verified
            }
            if len(new) < len(copies):
                probing |= new
        return probing
