"""State machine that changes one model or adapter to another version."""

from dataclasses import dataclass, field
from enum import Enum

from .area_state import Copy
from .engine import Item

__all__ = [
    "ChangeStep",
    "ChangeUpstream",
    "ChangeView",
    "LoadVersion",
    "ProbeCopy",
    "RejectVersion",
    "RetireCopy",
    "VersionChange",
    "VersionState",
]


class VersionState(Enum):
    """State of a version change."""

    RUNNING = "running"
    WAITING = "waiting"
    DONE = "done"
    ROLLING_BACK = "going_back"
    ROLLED_BACK = "went_back"


@dataclass(frozen=True)
class LoadVersion:
    """Step that loads a version on an upstream."""

    upstream: str
    item: Item
    memory_mib: int


@dataclass(frozen=True)
class ProbeCopy:
    """Step that probes a copy before it receives traffic."""

    copy: Copy


@dataclass(frozen=True)
class RetireCopy:
    """Step that stops routing new requests to a copy and unloads it once it is idle."""

    copy: Copy


@dataclass(frozen=True)
class RejectVersion:
    """Step that records the failed probe of a version on an upstream."""

    copy: Copy


ChangeStep = LoadVersion | ProbeCopy | RetireCopy | RejectVersion


@dataclass(frozen=True)
class ChangeUpstream:
    """Upstream with its copies of the item that is being changed.

    ``residents`` maps each resident version to its memory in MiB. ``can_load`` is False if the new
    version must not be loaded here.
    """

    name: str
    free_mib: int
    residents: dict[Item, int]
    loading: frozenset[Item] = frozenset()
    retiring: frozenset[Item] = frozenset()
    can_load: bool = True


@dataclass(frozen=True)
class ChangeView:
    """Available upstreams with the resident versions of one model or adapter."""

    upstreams: tuple[ChangeUpstream, ...]
    min_replicas: int = 1


@dataclass
class VersionChange:
    """State machine that replaces the copies of ``target.name`` by ``target``, one at a time.

    The new version is loaded next to an old copy, or on another upstream with enough free memory.
    It receives traffic once its probe has passed, and an old copy is then retired. If the new
    version fits nowhere but another copy is serving, one old copy is retired first and the new
    version is loaded in its place. If the only copy would have to be retired, the change waits and
    ``reason`` contains the explanation.

    After a failed probe, the new version is retired everywhere, and copies that were retired for
    it are loaded again in the old version. The state machine derives everything except the probe
    results from the view. A successor can therefore continue the change; it repeats the probes.

    ``verified`` contains the upstreams on which the probe passed, ``probing_upstream`` and
    ``failed_upstream`` name the upstream of the current and of the failed probe, and ``previous``
    is the old version with its memory in MiB.
    """

    target: Item
    memory_mib: int
    state: VersionState = VersionState.RUNNING
    reason: str = ""
    replicas: int = 0
    verified: set[str] = field(default_factory=set)
    probing_upstream: str = ""
    failed_upstream: str = ""
    previous: tuple[Item, int] | None = None

    def on_probe(self, upstream: str, ok: bool, detail: str) -> None:
        """Handle the result of a probe; a failure starts the rollback."""
        self.probing_upstream = ""
        if ok:
            self.verified.add(upstream)
            return
        self.failed_upstream = upstream
        self.state = VersionState.ROLLING_BACK
        self.reason = f"the probe of version {self.target.version} failed: {detail}"

    @property
    def is_over(self) -> bool:
        """Whether the change is complete or rolled back."""
        return self.state in (VersionState.DONE, VersionState.ROLLED_BACK)

    def step(self, view: ChangeView) -> tuple[ChangeStep, ...]:
        """Return the next steps; empty while a load, probe or unload is in progress."""
        new = [u for u in view.upstreams if self._has_active(u, self.target)]
        old = [(u, item) for u in view.upstreams for item in u.residents if self._is_old(u, item)]
        self.verified &= {u.name for u in new}
        self.replicas = max(self.replicas, view.min_replicas, len(old))
        for upstream, item in old:
            self.previous = (item, upstream.residents[item])
        busy = any(self._is_busy(u) for u in view.upstreams)
        if self.failed_upstream:
            return self._roll_back(view, new, old, busy)
        if self.probing_upstream and any(u.name == self.probing_upstream for u in new):
            return ()
        for upstream in new:
            if upstream.name not in self.verified:
                self.probing_upstream = upstream.name
                return (ProbeCopy(Copy(upstream.name, self.target)),)
        if busy:
            return ()
        if not old:
            self.state, self.reason = VersionState.DONE, ""
            return ()
        self.state, self.reason = VersionState.RUNNING, ""
        return self._advance(view, new, old)

    def _advance(
        self,
        view: ChangeView,
        new: list[ChangeUpstream],
        old: list[tuple[ChangeUpstream, Item]],
    ) -> tuple[ChangeStep, ...]:
        new_names = {u.name for u in new}
        for upstream, item in old:
            if upstream.name in new_names:
                return (RetireCopy(Copy(upstream.name, item)),)
        if len(new) + len(old) > self.replicas:
            upstream, item = old[0]
            return (RetireCopy(Copy(upstream.name, item)),)
        old_names = {u.name for u, _ in old}
        fitting = [
            u
            for u in view.upstreams
            if u.can_load and u.name not in new_names and u.free_mib >= self.memory_mib
        ]
        if fitting:
            # Prefer upstreams with an old copy, so that the number of copies does not change.
            best = max(fitting, key=lambda u: (u.name in old_names, u.free_mib, u.name))
            return (LoadVersion(best.name, self.target, self.memory_mib),)
        if len(new) + len(old) >= 2:
            for upstream, item in old:
                available_mib = upstream.free_mib + upstream.residents[item]
                if upstream.can_load and available_mib >= self.memory_mib:
                    return (RetireCopy(Copy(upstream.name, item)),)
        self.state = VersionState.WAITING
        free_mib = max((u.free_mib for u in view.upstreams), default=0)
        only = "the only copy serves" if len(new) + len(old) < 2 else "no old copy frees enough"
        self.reason = (
            f"version {self.target.version} needs {self.memory_mib} MiB, "
            f"at most {free_mib} MiB are free on one upstream, and {only}"
        )
        return ()

    def _roll_back(
        self,
        view: ChangeView,
        new: list[ChangeUpstream],
        old: list[tuple[ChangeUpstream, Item]],
        busy: bool,
    ) -> tuple[ChangeStep, ...]:
        steps: list[ChangeStep] = []
        if self.failed_upstream in {u.name for u in new}:
            steps.append(RejectVersion(Copy(self.failed_upstream, self.target)))
        if new and old:
            steps += [RetireCopy(Copy(u.name, self.target)) for u in new]
            return tuple(steps)
        if busy:
            return tuple(steps)
        if self.previous is not None and len(old) < self.replicas:
            item, memory_mib = self.previous
            old_names = {u.name for u, _ in old}
            for upstream in view.upstreams:
                fits = upstream.free_mib >= memory_mib and upstream.can_load
                if fits and upstream.name not in old_names:
                    return (*steps, LoadVersion(upstream.name, item, memory_mib))
        if not new:
            self.state = VersionState.ROLLED_BACK
        return tuple(steps)

    def _has_active(self, upstream: ChangeUpstream, item: Item) -> bool:
        return item in upstream.residents and item not in upstream.retiring

    def _is_old(self, upstream: ChangeUpstream, item: Item) -> bool:
        return item != self.target and item not in upstream.retiring

    def _is_busy(self, upstream: ChangeUpstream) -> bool:
        return bool(upstream.loading or upstream.retiring)
