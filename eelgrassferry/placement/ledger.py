"""Accounting of the memory of one upstream."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from ..objects import ObjectError
from .engine import EngineStatus, Item, OrderKind, OrderState, Resident
from .record import Reservation, UpstreamRecord

__all__ = ["InsufficientMemory", "LedgerError", "MemoryLedger", "NotReady", "RecordWrite"]


@dataclass(frozen=True)
class InsufficientMemory:
    """Error for a reservation that exceeds the free memory."""

    step: str
    peer: str
    needed_mib: int
    free_mib: int


@dataclass(frozen=True)
class NotReady:
    """Error for a reservation that the ledger cannot accept yet.

    The record or the engine's status has not been read, the record carries a higher epoch, or the
    engine is not fenced.
    """

    step: str
    peer: str
    detail: str


LedgerError = InsufficientMemory | NotReady


@dataclass(frozen=True)
class RecordWrite:
    """Conditional write of the record; ``expected`` is the version that it replaces."""

    record: UpstreamRecord
    expected: int


@dataclass
class _Term:
    epoch: int
    started_s: float


class MemoryLedger:
    """Ledger that prevents the memory of one upstream from being overcommitted.

    Used memory is the sum of the residents in the record, the outstanding reservations, and any
    items that the engine reports but the record does not contain. A reservation is written to the
    record before its order is sent, and only an engine status can remove it from the record.

    A status that does not contain an order is conclusive only if it was requested when the order
    could no longer arrive:

    - For an order of this process, the maximum transit time must have passed since the process
      stopped sending it.
    - For an order of another process, the transit time must have passed since the takeover and
      since the reservation was first read, and the engine must be fenced. If the engine ignores
      fencing numbers, the writer must have been stopped for the transit time instead.

    ``read_at`` is the time at which the request for a status was sent. All times are in seconds.
    """

    def __init__(
        self, upstream: str, instance: str, memory_mib: int, checks_fence: bool, transit_s: float
    ) -> None:
        self.upstream = upstream
        self.instance = instance
        self.memory_mib = memory_mib
        self.checks_fence = checks_fence
        self.transit_s = transit_s
        self.status: EngineStatus | None = None
        self.status_read_s = float("-inf")
        self.draft: UpstreamRecord | None = None
        self._term: _Term | None = None
        self._version = 0
        self._writing: UpstreamRecord | None = None
        self._recorded_ids: frozenset[str] = frozenset()
        self._has_changes = False
        self._load_requested = False
        self._used_mib: int | None = None
        self._write_count = 0
        # Ids of the reservations of this process that no completed write contains yet.
        self._unwritten: set[str] = set()
        # Orders of this process that are recorded and may still be sent, with their items.
        self._sendable: dict[str, Item | None] = {}
        # Latest time at which an order of this process can arrive.
        self._last_arrival_s: dict[str, float] = {}
        # Time at which a reservation was first known to be in the record.
        self._first_seen_s: dict[str, float] = {}
        # Latest time at which the last order to load an item, or a duplicate of it, can arrive.
        self._load_arrival_s: dict[Item, float] = {}
        self._stopped_s: dict[str, float] = {}

    def begin_term(self, epoch: int, now: float) -> None:
        """Start a lease term with a new epoch. The record has to be read again."""
        self._term = _Term(epoch, now)
        self.discard_record()

    def end_term(self) -> None:
        """End the lease term. Nothing is written until the next one begins."""
        self._term = None
        self.discard_record()

    def discard_record(self) -> None:
        """Drop the record and all unwritten changes. The record has to be read again."""
        self.draft = None
        self._writing = None
        self._unwritten.clear()
        self._has_changes = False
        self._used_mib = None

    def on_writers_stopped(self, writers: Iterable[str], now: float) -> None:
        """Record processes that send no more orders, as of ``now``."""
        for writer in writers:
            self._stopped_s.setdefault(writer, now)

    def on_record(self, version: int, record: UpstreamRecord | None, now: float) -> None:
        """Replace the draft by the record that was read, or by an empty one for None."""
        self._version = version
        self._writing = None
        self._unwritten.clear()
        self._replace_draft(record or UpstreamRecord(), now)
        self._has_changes = False
        if self.status is not None:
            self._resolve_reservations(now)

    def on_status(self, status: EngineStatus, read_at: float, now: float) -> None:
        """Apply a status of the engine. A status older than the last one is ignored."""
        if read_at < self.status_read_s:
            return
        self.status = status
        self.status_read_s = read_at
        self._used_mib = None
        if self.draft is not None:
            self._resolve_reservations(now)

    @property
    def is_ready(self) -> bool:
        """Whether reservations are possible.

        This requires the record, an engine status requested in this term, and no higher epoch in
        the record.
        """
        term = self._term
        if term is None or self.draft is None or self.draft.epoch > term.epoch:
            return False
        return self.status is not None and self.status_read_s >= term.started_s

    @property
    def epoch(self) -> int:
        """The epoch of the current term, or 0 without a term."""
        return self._term.epoch if self._term else 0

    @property
    def is_superseded(self) -> bool:
        """Whether the record carries a higher epoch than the current term."""
        term, draft = self._term, self.draft
        return term is not None and draft is not None and draft.epoch > term.epoch

    @property
    def needs_fence(self) -> bool:
        """Whether the engine has to be fenced.

        Fencing is needed to resolve the reservations of other processes and to send loads.
        """
        foreign = any(r.writer != self.instance for r in self.reservations)
        return (foreign or self._load_requested) and self._is_unfenced

    @property
    def _is_unfenced(self) -> bool:
        if not self.is_ready or not self.checks_fence:
            return False
        assert self.status is not None
        assert self._term is not None
        return self.status.fence < self._term.epoch

    @property
    def reservations(self) -> tuple[Reservation, ...]:
        """The reservations whose outcome is not known yet."""
        return self.draft.reservations if self.draft else ()

    @property
    def has_reservations(self) -> bool:
        """Whether any reservation waits for a conclusive engine status."""
        return bool(self.reservations)

    @property
    def used_mib(self) -> int:
        """Memory that is in use or reserved, in MiB."""
        if self._used_mib is None:
            self._used_mib = self._count_used()
        return self._used_mib

    @property
    def free_mib(self) -> int:
        """Memory that can still be reserved, in MiB."""
        total = self.memory_mib
        if self.status is not None and self.status.memory_mib:
            total = min(total, self.status.memory_mib)
        return total - self.used_mib

    def reserve(
        self, kind: OrderKind, name: str, version: str, memory_mib: int, order_id: str
    ) -> Result[Reservation, LedgerError]:
        """Add a reservation to the next write of the record. An unload reserves no memory.

        Returns ``NotReady`` or ``InsufficientMemory`` if the reservation is not possible.
        """
        if not self.is_ready:
            return Err(
                NotReady("reserve", self.upstream, "the record or the status is not known yet")
            )
        needed_mib = memory_mib if kind.is_load else 0
        self._load_requested = kind.is_load
        if kind.is_load and self._is_unfenced:
            # A restarted engine has lost its fence. It would accept a delayed order of an earlier
            # holder whose reservation was removed because the fence would reject the order.
            return Err(NotReady("reserve", self.upstream, "the engine is not fenced"))
        if needed_mib and needed_mib > self.free_mib:
            return Err(InsufficientMemory("reserve", self.upstream, needed_mib, self.free_mib))
        assert self.draft is not None
        reservation = Reservation(self.instance, order_id, kind, name, version, needed_mib)
        self._update_draft(reservations=(*self.draft.reservations, reservation))
        self._unwritten.add(order_id)
        return Ok(reservation)

    def reject(self, item: Item) -> None:
        """Add a version whose probe failed to the rejected versions of the record."""
        if self.draft is not None and item not in self.draft.rejected:
            others = (i for i in self.draft.rejected if i.name != item.name)
            self._update_draft(rejected=(*others, item))

    def pop_write(self) -> RecordWrite | None:
        """Return a write of all pending changes, or None.

        None is returned if there are no changes, a write is outstanding or the ledger is not
        ready.
        """
        if not self._has_changes or self._writing is not None or not self.is_ready:
            return None
        assert self.draft is not None
        assert self._term is not None
        self._write_count += 1
        write_id = f"{self.instance}/{self._term.epoch}/{self._write_count}"
        self._writing = replace(self.draft, epoch=self._term.epoch, write_id=write_id)
        self._has_changes = False
        return RecordWrite(self._writing, self._version)

    def on_written(self, res: Result[int, ObjectError], now: float) -> tuple[Reservation, ...]:
        """Handle the result of the last write; return the reservations that it recorded.

        After any failure, the record has to be read again. A write whose answer was lost may still
        take effect; its reservations then appear in the record although no order was sent.
        """
        if self._writing is None or isinstance(res, Err):
            self.discard_record()
            return ()
        assert self.draft is not None
        self._version = res.ok_value
        written, self._writing = self._writing, None
        self.draft = replace(self.draft, epoch=written.epoch, write_id=written.write_id)
        self._recorded_ids = frozenset(r.order_id for r in written.reservations)
        recorded = tuple(r for r in written.reservations if r.order_id in self._unwritten)
        for reservation in recorded:
            self._unwritten.discard(reservation.order_id)
            self._sendable[reservation.order_id] = reservation.item
            self._first_seen_s[reservation.order_id] = now
            if reservation.kind.is_load:
                self._load_arrival_s[reservation.item] = float("inf")
        self._prune(self._recorded_ids)
        return recorded

    def on_sent(self, order_id: str, now: float) -> None:
        """Record that an order was or may have been sent, and is not sent after ``now``."""
        self._set_last_arrival(order_id, now + self.transit_s)

    def on_unsent(self, order_id: str, now: float) -> None:
        """Record that no part of an order was sent and that it will not be sent."""
        self._set_last_arrival(order_id, now)

    def _set_last_arrival(self, order_id: str, last_arrival_s: float) -> None:
        self._last_arrival_s[order_id] = last_arrival_s
        item = self._sendable.pop(order_id, None)
        if item in self._load_arrival_s:
            self._load_arrival_s[item] = last_arrival_s

    def _replace_draft(self, record: UpstreamRecord, now: float) -> None:
        self.draft = record
        self._recorded_ids = frozenset(r.order_id for r in record.reservations)
        self._used_mib = None
        for order_id in self._recorded_ids:
            self._first_seen_s.setdefault(order_id, now)
        self._prune(self._recorded_ids)

    def _prune(self, known: frozenset[str]) -> None:
        """Drop the times of orders that are resolved and can no longer arrive."""
        for times in (self._first_seen_s, self._last_arrival_s):
            for order_id in [o for o in times if o not in known and o not in self._sendable]:
                del times[order_id]
        for item in [
            i
            for i, last_arrival_s in self._load_arrival_s.items()
            if last_arrival_s < self.status_read_s
        ]:
            del self._load_arrival_s[item]

    def _update_draft(self, **changes: object) -> None:
        assert self.draft is not None
        self.draft = replace(self.draft, **changes)
        self._has_changes = True
        self._used_mib = None

    def _count_used(self) -> int:
        if self.draft is None:
            return self.memory_mib
        used_mib = sum(r.memory_mib for r in self.draft.residents)
        used_mib += sum(r.memory_mib for r in self.draft.reservations)
        if self.status is None:
            return used_mib
        known = {r.item for r in self.draft.residents}
        known.update(r.item for r in self.draft.reservations if r.kind.is_load)
        reported = (*self.status.residents, *self.status.loading)
        used_mib += sum(r.memory_mib for r in reported if r.item not in known)
        return max(used_mib, self.status.used_mib)

    def _resolve_reservations(self, now: float) -> None:
        """Remove the reservations that the last status resolves, and update the residents."""
        if not self.is_ready:
            return
        assert self.draft is not None
        assert self.status is not None
        resident_items = {r.item: r for r in self.status.residents}
        loading = {r.item for r in self.status.loading}
        remaining: list[Reservation] = []
        for reservation in self.draft.reservations:
            if not self._is_resolved(reservation, resident_items, loading):
                remaining.append(reservation)
        pending_loads = {r.item for r in remaining if r.kind.is_load}
        residents = {r.item: r for r in self.draft.residents}
        for item in [i for i in residents if i not in resident_items and i not in loading]:
            if self._load_cannot_arrive(item):
                del residents[item]
        for item, reported in resident_items.items():
            if item not in pending_loads:
                known_resident = residents.get(item)
                memory_mib = max(
                    reported.memory_mib, known_resident.memory_mib if known_resident else 0
                )
                residents[item] = Resident(item, memory_mib)
        found = tuple(sorted(residents.values(), key=lambda r: r.item.sort_key()))
        if found != self.draft.residents or len(remaining) != len(self.draft.reservations):
            self._update_draft(residents=found, reservations=tuple(remaining))

    def _is_resolved(
        self, reservation: Reservation, resident_items: dict[Item, Resident], loading: set[Item]
    ) -> bool:
        assert self.status is not None
        order_id, item = reservation.order_id, reservation.item
        if order_id in self._unwritten or order_id not in self._recorded_ids:
            return False
        state = self.status.state_of(order_id)
        if state is OrderState.RUNNING or item in loading:
            return False
        if reservation.writer == self.instance and state is OrderState.DONE:
            present = item in resident_items
            if present == reservation.kind.is_load:
                return True
        return self._order_cannot_arrive(reservation)

    def _order_cannot_arrive(self, reservation: Reservation) -> bool:
        """Return whether the order could no longer arrive when the last status was requested."""
        assert self.status is not None
        assert self._term is not None
        order_id = reservation.order_id
        read_s, first_seen_s = self.status_read_s, self._first_seen_s.get(order_id, float("inf"))
        if reservation.writer == self.instance:
            if order_id in self._sendable:
                return False
            return read_s >= self._last_arrival_s.get(order_id, first_seen_s)
        if read_s < max(self._term.started_s, first_seen_s) + self.transit_s:
            return False
        if self.checks_fence:
            return self.status.fence >= self._term.epoch
        stopped_s = self._stopped_s.get(reservation.writer)
        return stopped_s is not None and read_s >= stopped_s + self.transit_s

    def _load_cannot_arrive(self, item: Item) -> bool:
        """Return whether no duplicate of the order that loaded an item can still arrive."""
        assert self._term is not None
        takeover_arrival_s = self._term.started_s + self.transit_s
        return self.status_read_s >= max(self._load_arrival_s.get(item, takeover_arrival_s), 0.0)
