"""Runs the version changes of an area."""

from ..settings import Deployment
from .area_state import AreaState, Copy
from .build_view import PlanViewBuilder, build_change_view
from .engine import EngineStatus, Item
from .move_runner import MoveRunner
from .pacer import LoadPacer
from .version_change import (
    LoadVersion,
    ProbeCopy,
    RejectVersion,
    RetireCopy,
    VersionChange,
    VersionState,
)
from .view import PlanView

__all__ = ["VersionRunner"]

MAX_MOVES = 4


class VersionRunner:
    """Starts a change where a resident version is not the configured one, and carries it out.

    A version whose probe failed is pinned to the old one until the configuration names another.
    """

    def __init__(self, area: AreaState, moves: MoveRunner, request_tokens: float) -> None:
        self._area = area
        self._views = PlanViewBuilder(area, request_tokens)
        self._looked_at: dict[str, EngineStatus | None] = {}
        self._looked_for: Deployment | None = None
        self._moves = moves
        self._changes: dict[str, VersionChange] = {}

    def clear(self) -> None:
        """Drop all changes; a later term finds them again from records and statuses."""
        self._changes.clear()
        self._area.probing.clear()
        self._area.pinned.clear()
        self._looked_at.clear()

    def reasons(self) -> dict[str, tuple[VersionState, str]]:
        """Return the state and reason of each change under way."""
        return {name: (c.state, c.reason) for name, c in self._changes.items()}

    def on_probe(self, upstream: str, name: str, version: str, ok: bool, detail: str) -> None:
        """Take the result of a probe."""
        change = self._changes.get(name)
        if change is not None and change.target.version == version:
            change.on_probe(upstream, ok, detail)

    def plan_view(self, now: float) -> PlanView:
        """Return the planner's view, in which items that are being changed are frozen."""
        waiting = tuple(n for n, c in self._changes.items() if c.state is VersionState.WAITING)
        return self._views.build(now, frozenset(self._changes), MAX_MOVES, waiting)

    def advance(self, pacer: LoadPacer, now: float) -> list[Copy]:
        """Carry changes on and return the copies to probe."""
        self._find(now)
        probes: list[Copy] = []
        for name, change in list(self._changes.items()):
            configured = self._area.configured(name)
            if configured is None or configured[0] != change.target:
                del self._changes[name]
                continue
            probes += self._advance_one(change, pacer, now)
            if change.is_over:
                del self._changes[name]
                self._looked_at.clear()
        self._area.probing = self._find_probing(now)
        return probes

    def _find(self, now: float) -> None:
        area = self._area
        residents = self._find_residents(now)
        for name, (pinned, _) in list(area.pinned.items()):
            configured = area.configured(name)
            if configured is None or configured[0] == pinned or not area.is_rejected(configured[0]):
                del area.pinned[name]
        for item, memory_mib in sorted(residents, key=lambda pair: pair[0].sort_key()):
            configured = area.configured(item.name)
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

    def _find_residents(self, now: float) -> set[tuple[Item, int]]:
        """Return item and memory of the copies on upstreams with a new status."""
        area = self._area
        if self._looked_for is not area.deployment:
            self._looked_for = area.deployment
            self._looked_at.clear()
        residents: set[tuple[Item, int]] = set()
        for state in area.available(now):
            name = state.upstream.name
            if self._looked_at.get(name) is state.ledger.status:
                continue
            self._looked_at[name] = state.ledger.status
            for r in state.ready():
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
                    self._area.touched.add(copy.upstream)
                    if change.old is not None:
                        self._area.pinned[copy.item.name] = change.old
        return probes

    def _find_probing(self, now: float) -> set[Copy]:
        """Return the copies of new versions that get no work while an old copy can do it."""
        probing: set[Copy] = set()
        for name, change in self._changes.items():
            copies = self._area.copies_of(name, now)
            new = {c for c in copies if c.item == change.target and c.upstream not in change.good}
            if len(new) < len(copies):
                probing |= new
        return probing
