"""What the controller of one area knows."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..settings import Deployment, Upstream
from .demand import DemandEstimator
from .engine import Item, ItemKind, OrderKind, Resident
from .ledger import MemoryLedger

__all__ = ["AreaState", "Copy", "Load", "Unload", "UpstreamState", "Want"]

# An upstream whose status could not be read for this long gets no moves, and its copies no longer
# count. A restart of a process takes less.
UNREACHABLE_S = 6.0
# Routers pause a stalled upstream; its copies do not count for this much longer, so that the next
# trial request can show whether it is still stalled.
STALL_MARGIN_S = 10.0


@dataclass(frozen=True)
class Copy:
    """One item on one upstream."""

    upstream: str
    item: Item


@dataclass
class Load:
    """A load that was ordered and is not settled."""

    order_id: str
    started_s: float
    recorded: bool = False


@dataclass
class Unload:
    """A copy that gets no new work and is unloaded once it is idle."""

    since_s: float
    reason: str
    order_id: str = ""
    recorded: bool = False


@dataclass
class Want:
    """A request that waits for a model or adapter."""

    urgent: bool
    since_s: float
    last_s: float


@dataclass
class UpstreamState:
    """One upstream: its settings, its ledger, and when to read what next."""

    upstream: Upstream
    ledger: MemoryLedger
    address: str
    leaving: bool = False
    stalled_until_s: float = float("-inf")
    record_busy: bool = False
    record_due_s: float = 0.0
    status_busy: bool = False
    status_due_s: float = 0.0
    status_pause_s: float = 0.0
    failing_since_s: float | None = None
    fence_due_s: float = 0.0
    write_sent_s: float = 0.0

    def is_available(self, now: float) -> bool:
        """Whether copies here count and moves may go here."""
        status = self.ledger.status
        if self.leaving or not self.ledger.is_ready or (status is not None and status.leaving):
            return False
        if now < self.stalled_until_s:
            return False
        return self.failing_since_s is None or now < self.failing_since_s + UNREACHABLE_S

    def residents(self) -> tuple[Resident, ...]:
        """What the engine last reported as resident."""
        return self.ledger.status.residents if self.ledger.status else ()

    def ready(self) -> Iterator[Resident]:
        """What the engine last reported as resident and not being unloaded."""
        return (r for r in self.residents() if not r.leaving)

    def is_resident(self, item: Item) -> bool:
        """Whether the engine last reported an item as resident."""
        return any(r.item == item for r in self.residents())

    def loading(self) -> Iterator[Item]:
        """The items whose load is not settled."""
        return (r.item for r in self.ledger.reservations if r.kind.is_load)


@dataclass
class AreaState:
    """The controller's tables.

    ``probing`` copies have a version that is not probed yet. ``pinned`` gives the version and
    memory to keep for a name whose configured version was rejected. ``failures`` holds the number
    of failed loads and the time until which none is tried again. ``holders`` gives the upstreams
    that reported a name as resident, and ``touched`` those whose record may need a write.
    """

    instance: str
    deployment: Deployment | None = None
    upstreams: dict[str, UpstreamState] = field(default_factory=dict)
    estimator: DemandEstimator = field(default_factory=DemandEstimator)
    loads: dict[Copy, Load] = field(default_factory=dict)
    unloads: dict[Copy, Unload] = field(default_factory=dict)
    wants: dict[str, Want] = field(default_factory=dict)
    probing: set[Copy] = field(default_factory=set)
    loaded_s: dict[Copy, float] = field(default_factory=dict)
    failures: dict[Copy, tuple[int, float]] = field(default_factory=dict)
    pinned: dict[str, tuple[Item, int]] = field(default_factory=dict)
    holders: dict[str, dict[str, UpstreamState]] = field(default_factory=dict)
    touched: set[str] = field(default_factory=set)

    def available(self, now: float) -> Iterator[UpstreamState]:
        """The upstreams that take part in placement, in the order of the deployment."""
        return (state for state in self.upstreams.values() if state.is_available(now))

    def reindex(self, state: UpstreamState, before: tuple[Resident, ...]) -> None:
        """Bring ``holders`` up to date after a status that followed on ``before``."""
        name = state.upstream.name
        after = state.residents()
        for resident in before:
            self.holders.get(resident.item.name, {}).pop(name, None)
        for resident in after:
            self.holders.setdefault(resident.item.name, {})[name] = state

    def copies_of(self, name: str, now: float) -> list[Copy]:
        """Return the resident copies of a name in any version, except those being unloaded."""
        return [
            copy
            for upstream, state in self.holders.get(name, {}).items()
            if upstream in self.upstreams and state.is_available(now)
            for r in state.ready()
            if r.item.name == name and (copy := Copy(upstream, r.item)) not in self.unloads
        ]

    def serving_copies(self, name: str, now: float) -> list[Copy]:
        """Return the copies that get new work."""
        return [copy for copy in self.copies_of(name, now) if copy not in self.probing]

    def is_barred(self, copy: Copy, now: float) -> bool:
        """Whether a load failed here too recently to try again."""
        _, until_s = self.failures.get(copy, (0, 0.0))
        return now < until_s

    def in_transit(self, kind: ItemKind, now: float) -> int:
        """Return the number of loads of this kind that may be using the weight store.

        Loads on upstreams that cannot be reached do not count, or a crash during a load would
        hold up all others.
        """
        order, count = OrderKind.load(kind), 0
        for state in self.available(now):
            status = state.ledger.status
            loading = {r.item for r in status.loading} if status else set()
            for r in state.ledger.reservations:
                if r.kind is order and (r.writer == self.instance or r.item in loading):
                    count += 1
        return count

    def item_of(self, name: str) -> tuple[Item, int] | None:
        """Return the version of a model or adapter to load, and its memory."""
        return self.pinned.get(name) or self.configured(name)

    def configured(self, name: str) -> tuple[Item, int] | None:
        """Return the configured version of a model or adapter and its memory."""
        deployment = self.deployment
        if deployment is None:
            return None
        if model := deployment.models.get(name):
            return Item(ItemKind.MODEL, name, model.version), model.memory_mib
        if adapter := deployment.adapters.get(name):
            return Item(ItemKind.ADAPTER, name, adapter.version), adapter.memory_mib
        return None

    def is_rejected(self, item: Item) -> bool:
        """Whether a probe of this version failed on any upstream."""
        return any(
            item in state.ledger.draft.rejected
            for state in self.upstreams.values()
            if state.ledger.draft is not None
        )
