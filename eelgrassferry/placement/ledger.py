"""The memory ledger of one upstream."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from ..objects import ObjectError
from .engine import EngineStatus, Item, OrderKind, OrderState, Resident
from .record import Reservation, UpstreamRecord

__all__ = ["LedgerError", "MemoryLedger", "NoRoom", "NotReady", "RecordWrite"]


@dataclass(frozen=True)
class NoRoom:
    """The memory asked for is not free."""

    step: str
    peer: str
    needed_mib: int
    free_mib: int


@dataclass(frozen=True)
class NotReady:
    """The record or the engine's status is not known yet, or a higher epoch is in the record."""

    step: str
    peer: str
    detail: str


LedgerError = NoRoom | NotReady


@dataclass(frozen=True)
class RecordWrite:
    """A conditional write of the record."""

    record: UpstreamRecord
    expected: int


@dataclass
class _Term:
    epoch: int
    started_s: float


class MemoryLedger:
    """Decides what may be sent to one upstream so that its memory is never overcommitted.

    Used memory counts the record's residents, every unsettled reservation, and everything the
    engine reports that the record does not know. A reservation is written to the record before
    its order is sent, and leaves the record only by a status of the engine.

    A status that does not show an order proves something only if it was read when the order can
    no longer be on its way: the maximum transit time after this process stopped sending it, or,
    for another process's order, after the takeover, after the reservation was first seen, and
    after the engine was fenced. Where the engine ignores fencing numbers, the writer must have
    been known to be gone for the transit time.

    ``read_at`` is the time at which the request for a status was sent; times are in seconds.
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
        self._recorded: frozenset[str] = frozenset()
        self._dirty = False
        self._load_asked = False
        self._used_mib: int | None = None
        self._count = 0
        self._waiting: set[str] = set()
        self._sending: dict[str, Item | None] = {}
        self._ended_s: dict[str, float] = {}
        self._seen_s: dict[str, float] = {}
        self._loaded_s: dict[Item, float] = {}
        self._gone_s: dict[str, float] = {}

    def begin_term(self, epoch: int, now: float) -> None:
        """Start to act under a new epoch. The record has to be read again."""
        self._term = _Term(epoch, now)
        self.forget_record()

    def end_term(self) -> None:
        """Stop writing."""
        self._term = None
        self.forget_record()

    def forget_record(self) -> None:
        """Drop the record and what was not yet written; it has to be read again."""
        self.draft = None
        self._writing = None
        self._waiting.clear()
        self._dirty = False
        self._used_mib = None

    def on_gone(self, writers: Iterable[str], now: float) -> None:
        """Note processes that are known to send nothing any more."""
        for writer in writers:
            self._gone_s.setdefault(writer, now)

    def on_record(self, version: int, record: UpstreamRecord | None, now: float) -> None:
        """Take the record as read."""
        self._version = version
        self._writing = None
        self._waiting.clear()
        self._rebase(record or UpstreamRecord(), now)
        self._dirty = False
        if self.status is not None:
            self._settle(now)

    def on_status(self, status: EngineStatus, read_at: float, now: float) -> None:
        """Take a status of the engine; one older than the last is ignored."""
        if read_at < self.status_read_s:
            return
        self.status = status
        self.status_read_s = read_at
        self._used_mib = None
        if self.draft is not None:
            self._settle(now)

    @property
    def is_ready(self) -> bool:
        """Whether the record and a status of this term are known and this epoch is the highest."""
        term = self._term
        if term is None or self.draft is None or self.draft.epoch > term.epoch:
            return False
        return self.status is not None and self.status_read_s >= term.started_s

    @property
    def epoch(self) -> int:
        """The epoch of the present term, 0 without one."""
        return self._term.epoch if self._term else 0

    @property
    def is_superseded(self) -> bool:
        """Whether the record carries a higher epoch than this process's."""
        term, draft = self._term, self.draft
        return term is not None and draft is not None and draft.epoch > term.epoch

    @property
    def needs_fence(self) -> bool:
        """Whether the engine has to be fenced to settle foreign reservations or to take loads."""
        foreign = any(r.writer != self.instance for r in self.reservations)
        return (foreign or self._load_asked) and self._is_unfenced

    @property
    def _is_unfenced(self) -> bool:
        if not self.is_ready or not self.checks_fence:
            return False
        assert self.status is not None
        assert self._term is not None
        return self.status.fence < self._term.epoch

    @property
    def reservations(self) -> tuple[Reservation, ...]:
        """The unsettled reservations."""
        return self.draft.reservations if self.draft else ()

    @property
    def has_open(self) -> bool:
        """Whether something waits for a status of the engine."""
        return bool(self.reservations)

    @property
    def used_mib(self) -> int:
        """Memory that is or may come to be in use, in MiB."""
        if self._used_mib is None:
            self._used_mib = self._count_used()
        return self._used_mib

    @property
    def free_mib(self) -> int:
        """Memory that may be reserved, in MiB."""
        total = self.memory_mib
        if self.status is not None and self.status.memory_mib:
            total = min(total, self.status.memory_mib)
        return total - self.used_mib

    def reserve(
        self, kind: OrderKind, name: str, version: str, memory_mib: int, order_id: str
    ) -> Result[Reservation, LedgerError]:
        """Add a reservation to the next write of the record. An unload takes no memory."""
        if not self.is_ready:
            return Err(NotReady("reserve", self.upstream, "record or status not known"))
        needed_mib = memory_mib if kind.is_load else 0
        self._load_asked = kind.is_load
        if kind.is_load and self._is_unfenced:
            # A restarted engine has lost its fence. An order of an earlier holder, whose
            # reservation was settled because of the fence, would be obeyed again.
            return Err(NotReady("reserve", self.upstream, "the engine is not fenced"))
        if needed_mib and needed_mib > self.free_mib:
            return Err(NoRoom("reserve", self.upstream, needed_mib, self.free_mib))
        assert self.draft is not None
        made = Reservation(self.instance, order_id, kind, name, version, needed_mib)
        self._change(reservations=(*self.draft.reservations, made))
        self._waiting.add(order_id)
        return Ok(made)

    def reject(self, item: Item) -> None:
        """Note a version whose probe failed."""
        if self.draft is not None and item not in self.draft.rejected:
            kept = (i for i in self.draft.rejected if i.name != item.name)
            self._change(rejected=(*kept, item))

    def take_write(self) -> RecordWrite | None:
        """Return the write that is due, if none is outstanding; all changes ride on one write."""
        if not self._dirty or self._writing is not None or not self.is_ready:
            return None
        assert self.draft is not None
        assert self._term is not None
        self._count += 1
        write_id = f"{self.instance}/{self._term.epoch}/{self._count}"
        self._writing = replace(self.draft, epoch=self._term.epoch, write_id=write_id)
        self._dirty = False
        return RecordWrite(self._writing, self._version)

    def on_written(self, res: Result[int, ObjectError], now: float) -> tuple[Reservation, ...]:
        """Take the result of the last write and return the reservations that are now recorded.

        After any failure the record has to be read again: a write whose answer is lost may take
        effect later, and its reservations are then found in the record as never sent.
        """
        if self._writing is None or isinstance(res, Err):
            self.forget_record()
            return ()
        assert self.draft is not None
        self._version = res.ok_value
        written, self._writing = self._writing, None
        self.draft = replace(self.draft, epoch=written.epoch, write_id=written.write_id)
        self._recorded = frozenset(r.order_id for r in written.reservations)
        made = tuple(r for r in written.reservations if r.order_id in self._waiting)
        for reservation in made:
            self._waiting.discard(reservation.order_id)
            self._sending[reservation.order_id] = reservation.item
            self._seen_s[reservation.order_id] = now
            if reservation.kind.is_load:
                self._loaded_s[reservation.item] = float("inf")
        self._prune(self._recorded)
        return made

    def on_sent(self, order_id: str, now: float) -> None:
        """Note that an order was sent, or may have been, and will not be sent after ``now``."""
        self._end(order_id, now + self.transit_s)

    def on_unsent(self, order_id: str, now: float) -> None:
        """Note that no byte of an order was sent and none will be."""
        self._end(order_id, now)

    def _end(self, order_id: str, ended_s: float) -> None:
        self._ended_s[order_id] = ended_s
        item = self._sending.pop(order_id, None)
        if item in self._loaded_s:
            self._loaded_s[item] = ended_s

    def _rebase(self, record: UpstreamRecord, now: float) -> None:
        self.draft = record
        self._recorded = frozenset(r.order_id for r in record.reservations)
        self._used_mib = None
        for order_id in self._recorded:
            self._seen_s.setdefault(order_id, now)
        self._prune(self._recorded)

    def _prune(self, known: frozenset[str]) -> None:
        """Drop what is noted about orders that are settled and can no longer arrive."""
        for times in (self._seen_s, self._ended_s):
            for order_id in [o for o in times if o not in known and o not in self._sending]:
                del times[order_id]
        for item in [i for i, ended_s in self._loaded_s.items() if ended_s < self.status_read_s]:
            del self._loaded_s[item]

    def _change(self, **changes: object) -> None:
        assert self.draft is not None
        self.draft = replace(self.draft, **changes)
        self._dirty = True
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

    def _settle(self, now: float) -> None:
        """Release what the last status settles, and take over what it reports."""
        if not self.is_ready:
            return
        assert self.draft is not None
        assert self.status is not None
        here = {r.item: r for r in self.status.residents}
        loading = {r.item for r in self.status.loading}
        kept: list[Reservation] = []
        for reservation in self.draft.reservations:
            if not self._is_settled(reservation, here, loading):
                kept.append(reservation)
        open_loads = {r.item for r in kept if r.kind.is_load}
        residents = {r.item: r for r in self.draft.residents}
        for item in [i for i in residents if i not in here and i not in loading]:
            if self._is_quiet(item):
                del residents[item]
        for item, reported in here.items():
            if item not in open_loads:
                held = residents.get(item)
                memory_mib = max(reported.memory_mib, held.memory_mib if held else 0)
                residents[item] = Resident(item, memory_mib)
        found = tuple(sorted(residents.values(), key=lambda r: r.item.sort_key()))
        if found != self.draft.residents or len(kept) != len(self.draft.reservations):
            self._change(residents=found, reservations=tuple(kept))

    def _is_settled(
        self, reservation: Reservation, here: dict[Item, Resident], loading: set[Item]
    ) -> bool:
        assert self.status is not None
        order_id, item = reservation.order_id, reservation.item
        if order_id in self._waiting or order_id not in self._recorded:
            return False
        state = self.status.state_of(order_id)
        if state is OrderState.RUNNING or item in loading:
            return False
        if reservation.writer == self.instance and state is OrderState.DONE:
            present = item in here
            if present == reservation.kind.is_load:
                return True
        return self._may_settle(reservation)

    def _may_settle(self, reservation: Reservation) -> bool:
        """Return whether the order can no longer be on its way at the time of the last status."""
        assert self.status is not None
        assert self._term is not None
        order_id = reservation.order_id
        read_s, seen_s = self.status_read_s, self._seen_s.get(order_id, float("inf"))
        if reservation.writer == self.instance:
            if order_id in self._sending:
                return False
            return read_s >= self._ended_s.get(order_id, seen_s)
        if read_s < max(self._term.started_s, seen_s) + self.transit_s:
            return False
        if self.checks_fence:
            return self.status.fence >= self._term.epoch
        gone_s = self._gone_s.get(reservation.writer)
        return gone_s is not None and read_s >= gone_s + self.transit_s

    def _is_quiet(self, item: Item) -> bool:
        """Return whether no copy of the order that loaded an item can still arrive."""
        assert self._term is not None
        taken_over_s = self._term.started_s + self.transit_s
        return self.status_read_s >= max(self._loaded_s.get(item, taken_over_s), 0.0)
