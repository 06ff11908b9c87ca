"""State of the controller of one planning area."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..settings import Deployment, Upstream
from .demand import DemandEstimator
from .engine import Item, ItemKind, OrderKind, Resident
from .ledger import MemoryLedger

__all__ = ["AreaState", "Copy", "Load", "PendingDemand", "Unload", "UpstreamState"]

# An upstream whose status could not be read for this long gets no moves, and its copies are not
# counted. A process restart takes less time.
UNREACHABLE_S = 6.0
# Routers back off from a stalled upstream. Its copies are ignored for this much longer than the
# backoff, so that the next trial request can show whether the upstream is still stalled.
STALL_MARGIN_S = 10.0


@dataclass(frozen=True)
class Copy:
    """Location of an item: one copy on one upstream."""

    upstream: str
    item: Item


@dataclass
class Load:
    """Load in progress. ``recorded`` is True once its reservation is in the stored record."""

    order_id: str
    started_s: float
    recorded: bool = False


@dataclass
class Unload:
    """Unload in progress: the copy gets no new requests and is unloaded once it is idle.

    ``order_id`` is empty until the unload is reserved.
    """

    since_s: float
    reason: str
    order_id: str = ""
    recorded: bool = False


@dataclass
class PendingDemand:
    """Requests that wait for a model or adapter.

    ``urgent`` is True if any of them is urgent; ``since_s`` and ``last_s`` are the times of the
    first and of the last request.
    """

    urgent: bool
    since_s: float
    last_s: float


@dataclass
class UpstreamState:
    """State of one upstream: its settings, its ledger and the schedule of its reads."""

    upstream: Upstream
    ledger: MemoryLedger
    address: str
    leaving: bool = False
    stalled_until_s: float = float("-inf")
    record_read_pending: bool = False
    record_due_s: float = 0.0
    status_read_pending: bool = False
    status_due_s: float = 0.0
    status_interval_s: float = 0.0
    failing_since_s: float | None = None
    fence_due_s: float = 0.0
    write_sent_s: float = 0.0

    def is_available(self, now: float) -> bool:
        """Return whether this upstream takes part in placement."""
        status = self.ledger.status
        if self.leaving or not self.ledger.is_ready or (status is not None and status.leaving):
            return False
        if now < self.stalled_until_s:
            return False
        return self.failing_since_s is None or now < self.failing_since_s + UNREACHABLE_S

    def residents(self) -> tuple[Resident, ...]:
        """Return the residents in the last status of the engine."""
        return self.ledger.status.residents if self.ledger.status else ()

    def active_residents(self) -> Iterator[Resident]:
        """Return the residents in the last status that the engine is not unloading."""
        return (r for r in self.residents() if not r.leaving)

    def is_resident(self, item: Item) -> bool:
        """Return whether an item is resident according to the last status."""
        return any(r.item == item for r in self.residents())

    def pending_loads(self) -> Iterator[Item]:
        """Return the items with an outstanding load reservation."""
        return (r.item for r in self.ledger.reservations if r.kind.is_load)


@dataclass
class AreaState:
    """Shared state of a planning area.

    Attributes
    ----------
    loads, unloads : dict
        Moves in progress.
    pending_demand : dict
        Models and adapters that are not resident although requests wait for them.
    probing : set of Copy
        Copies of a version that has not been probed yet.
    loaded_s : dict
        Time at which a copy was loaded.
    failures : dict
        Number of consecutive failed loads of a copy, and the time before which its load is not
        tried again.
    pinned : dict
        Version and memory to keep for a name whose configured version was rejected.
    holders : dict
        Upstreams that reported a name as resident.
    dirty_upstreams : set of str
        Upstreams whose record may need a write.
    """

    instance: str
    deployment: Deployment | None = None
    upstreams: dict[str, UpstreamState] = field(default_factory=dict)
    estimator: DemandEstimator = field(default_factory=DemandEstimator)
    loads: dict[Copy, Load] = field(default_factory=dict)
    unloads: dict[Copy, Unload] = field(default_factory=dict)
    pending_demand: dict[str, PendingDemand] = field(default_factory=dict)
    probing: set[Copy] = field(default_factory=set)
    loaded_s: dict[Copy, float] = field(default_factory=dict)
    failures: dict[Copy, tuple[int, float]] = field(default_factory=dict)
    pinned: dict[str, tuple[Item, int]] = field(default_factory=dict)
    holders: dict[str, dict[str, UpstreamState]] = field(default_factory=dict)
    dirty_upstreams: set[str] = field(default_factory=set)

    def available(self, now: float) -> Iterator[UpstreamState]:
        """Return the upstreams that take part in placement, in the order of the deployment."""
        return (state for state in self.upstreams.values() if state.is_available(now))

    def update_holders(self, state: UpstreamState, before: tuple[Resident, ...]) -> None:
        """Update ``holders`` after a new status; ``before`` are the previous residents."""
        name = state.upstream.name
        after = state.residents()
        for resident in before:
            self.holders.get(resident.item.name, {}).pop(name, None)
        for resident in after:
            self.holders.setdefault(resident.item.name, {})[name] = state

    def copies_of(self, name: str, now: float) -> list[Copy]:
        """Return the resident copies of any version of an item, except those being unloaded."""
        return [
            copy
            for upstream, state in self.holders.get(name, {}).items()
            if upstream in self.upstreams and state.is_available(now)
            for r in state.active_residents()
            if r.item.name == name and (copy := Copy(upstream, r.item)) not in self.unloads
        ]

    def serving_copies(self, name: str, now: float) -> list[Copy]:
        """Return the copies that receive new requests."""
        return [copy for copy in self.copies_of(name, now) if copy not in self.probing]

    def is_backing_off(self, copy: Copy, now: float) -> bool:
        """Return whether loads of a copy are suspended after a failed load."""
        _, until_s = self.failures.get(copy, (0, 0.0))
        return now < until_s

    def in_transit(self, kind: ItemKind, now: float) -> int:
        """Return the number of loads of this kind that may be reading from the weight store.

        Loads on unreachable upstreams are not counted. Otherwise, a crash during a load would
        block all other loads.
        """
        order, count = OrderKind.load(kind), 0
        for state in self.available(now):
            status = state.ledger.status
            loading = {r.item for r in status.loading} if status else set()
            for r in state.ledger.reservations:
                if r.kind is order and (r.writer == self.instance or r.item in loading):
                    count += 1
        return count

    def desired_item(self, name: str) -> tuple[Item, int] | None:
        """Return the version of a model or adapter to load and its memory in MiB.

        This is the pinned version, if there is one, or the configured version.
        """
        return self.pinned.get(name) or self.configured_item(name)

    def configured_item(self, name: str) -> tuple[Item, int] | None:
        """Return the configured version of a model or adapter and its memory in MiB."""
        deployment = self.deployment
        if deployment is None:
            return None
        if model := deployment.models.get(name):
            return Item(ItemKind.MODEL, name, model.version), model.memory_mib
        if adapter := deployment.adapters.get(name):
            return Item(ItemKind.ADAPTER, name, adapter.version), adapter.memory_mib
        return None

    def is_rejected(self, item: Item) -> bool:
        """Return whether a probe of this version failed on any upstream."""
        return any(
            item in state.ledger.draft.rejected
            for state in self.upstreams.values()
            if state.ledger.draft is not None
        )
