"""The change of one model or adapter to another version."""

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
    """Where a change stands."""

    RUNNING = "running"
    WAITING = "waiting"
    DONE = "done"
    GOING_BACK = "going_back"
    WENT_BACK = "went_back"


@dataclass(frozen=True)
class LoadVersion:
    """Load a version on an upstream."""

    upstream: str
    item: Item
    memory_mib: int


@dataclass(frozen=True)
class ProbeCopy:
    """Probe a copy that gets no traffic yet."""

    copy: Copy


@dataclass(frozen=True)
class RetireCopy:
    """Give a copy no new work, and unload it once it is idle."""

    copy: Copy


@dataclass(frozen=True)
class RejectVersion:
    """Note that a version's probe failed on an upstream."""

    copy: Copy


ChangeStep = LoadVersion | ProbeCopy | RetireCopy | RejectVersion


@dataclass(frozen=True)
class ChangeUpstream:
    """An upstream as the change sees it. ``can_hold`` is False where a load is not allowed."""

    name: str
    free_mib: int
    residents: dict[Item, int]
    loading: frozenset[Item] = frozenset()
    retiring: frozenset[Item] = frozenset()
    can_hold: bool = True


@dataclass(frozen=True)
class ChangeView:
    """The available upstreams, by name, with the versions of this one model or adapter."""

    upstreams: tuple[ChangeUpstream, ...]
    min_replicas: int = 1


@dataclass
class VersionChange:
    """Replaces the copies of ``target.name`` by ``target``, one at a time.

    The new version is loaded beside an old copy, or on another upstream that has room, and gets
    traffic after its probe; an old copy is then retired. Where the new version fits nowhere and
    another copy serves, one old copy is retired first and the new version loaded in its place
    (a planned gap). With a single copy and no room the change waits and gives the reason.

    A failed probe takes the new version back everywhere; a copy that made room for it is loaded
    again in the old version. The machine reads everything but the probes from the view, so a
    successor's machine goes on where the last one stopped, and probes again.
    """

    target: Item
    memory_mib: int
    state: VersionState = VersionState.RUNNING
    reason: str = ""
    replicas: int = 0
    good: set[str] = field(default_factory=set)
    probing: str = ""
    failed: str = ""
    old: tuple[Item, int] | None = None

    def on_probe(self, upstream: str, ok: bool, detail: str) -> None:
        """Take the result of a probe."""
        self.probing = ""
        if ok:
            self.good.add(upstream)
            return
        self.failed = upstream
        self.state = VersionState.GOING_BACK
        self.reason = f"the probe of version {self.target.version} failed: {detail}"

    @property
    def is_over(self) -> bool:
        """Whether nothing remains to be done."""
        return self.state in (VersionState.DONE, VersionState.WENT_BACK)

    def step(self, view: ChangeView) -> tuple[ChangeStep, ...]:
        """Return what to do next; empty while something is under way."""
        new = [u for u in view.upstreams if self._has(u, self.target)]
        old = [(u, item) for u in view.upstreams for item in u.residents if self._is_old(u, item)]
        self.good &= {u.name for u in new}
        self.replicas = max(self.replicas, view.min_replicas, len(old))
        for upstream, item in old:
            self.old = (item, upstream.residents[item])
        busy = any(self._is_busy(u) for u in view.upstreams)
        if self.failed:
            return self._go_back(view, new, old, busy)
        if self.probing and any(u.name == self.probing for u in new):
            return ()
        for upstream in new:
            if upstream.name not in self.good:
                self.probing = upstream.name
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
        places = {u.name for u in new}
        for upstream, item in old:
            if upstream.name in places:
                return (RetireCopy(Copy(upstream.name, item)),)
        if len(new) + len(old) > self.replicas:
            upstream, item = old[0]
            return (RetireCopy(Copy(upstream.name, item)),)
        olds = {u.name for u, _ in old}
        fitting = [
            u
            for u in view.upstreams
            if u.can_hold and u.name not in places and u.free_mib >= self.memory_mib
        ]
        if fitting:
            # Beside an old copy first, so that the number of copies stays as it is.
            best = max(fitting, key=lambda u: (u.name in olds, u.free_mib, u.name))
            return (LoadVersion(best.name, self.target, self.memory_mib),)
        if len(new) + len(old) >= 2:
            for upstream, item in old:
                room_mib = upstream.free_mib + upstream.residents[item]
                if upstream.can_hold and room_mib >= self.memory_mib:
                    return (RetireCopy(Copy(upstream.name, item)),)
        self.state = VersionState.WAITING
        free_mib = max((u.free_mib for u in view.upstreams), default=0)
        only = "the only copy serves" if len(new) + len(old) < 2 else "no old copy frees enough"
        self.reason = (
            f"version {self.target.version} needs {self.memory_mib} MiB, "
            f"at most {free_mib} MiB are free on one upstream, and {only}"
        )
        return ()

    def _go_back(
        self,
        view: ChangeView,
        new: list[ChangeUpstream],
        old: list[tuple[ChangeUpstream, Item]],
        busy: bool,
    ) -> tuple[ChangeStep, ...]:
        steps: list[ChangeStep] = []
        if self.failed in {u.name for u in new}:
            steps.append(RejectVersion(Copy(self.failed, self.target)))
        if new and old:
            steps += [RetireCopy(Copy(u.name, self.target)) for u in new]
            return tuple(steps)
        if busy:
            return tuple(steps)
        if self.old is not None and len(old) < self.replicas:
            item, memory_mib = self.old
            olds = {u.name for u, _ in old}
            for upstream in view.upstreams:
                room = upstream.free_mib >= memory_mib and upstream.can_hold
                if room and upstream.name not in olds:
                    return (*steps, LoadVersion(upstream.name, item, memory_mib))
        if not new:
            self.state = VersionState.WENT_BACK
        return tuple(steps)

    def _has(self, upstream: ChangeUpstream, item: Item) -> bool:
        return item in upstream.residents and item not in upstream.retiring

    def _is_old(self, upstream: ChangeUpstream, item: Item) -> bool:
        return item != self.target and item not in upstream.retiring

    def _is_busy(self, upstream: ChangeUpstream) -> bool:
        return bool(upstream.loading or upstream.retiring)
