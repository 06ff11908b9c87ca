"""The lease state machine of one candidate for one planning area."""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from ..objects import Conflict, ObjectError, StoredObject, Unavailable
from .record import LeaseRecord

__all__ = [
    "STOP_EARLY_S",
    "TAKEOVER_FACTOR",
    "LeaseAction",
    "LeaseMachine",
    "LeaseTerm",
    "ReadLease",
    "WriteLease",
]

# A holder stops this long before its term ends, so that work begun in the last loop step of the
# term is over before a successor may start.
STOP_EARLY_S = 1.0
# A candidate waits this multiple of the duration. The margin covers clocks that run at slightly
# different rates.
TAKEOVER_FACTOR = 1.1
RETRY_S = 0.3


@dataclass(frozen=True)
class ReadLease:
    """Read the lease object and pass the result to ``on_read``."""


@dataclass(frozen=True)
class WriteLease:
    """Write the lease object conditionally and pass the result to ``on_write``."""

    value: bytes
    expected: int


LeaseAction = ReadLease | WriteLease


@dataclass(frozen=True)
class LeaseTerm:
    """The right to act until ``valid_until``, on the holder's own clock in seconds.

    ``epoch`` is the fencing number. ``acknowledged`` lists earlier holders that have released the
    lease and so promised to send nothing any more. ``alone_since`` is a time on the same clock from
    which no other host has acted as the holder, None where none is known.
    """

    epoch: int
    valid_until: float
    acknowledged: frozenset[str] = frozenset()
    alone_since: float | None = None


@dataclass
class _Seen:
    """The object as last read, and when this version was first read."""

    version: int
    record: LeaseRecord | None
    first_s: float


@dataclass(frozen=True)
class _Write:
    """A write of this candidate that may have taken effect."""

    sent_s: float


@dataclass
class _State:
    """``unread`` means that a write's answer was lost and the object was not read back since."""

    seen: _Seen | None = None
    busy: bool = False
    unread: bool = False
    next_s: float = 0.0
    sent: LeaseRecord | None = None
    writes: dict[str, _Write] = field(default_factory=dict)
    term: LeaseTerm | None = None
    renewed_s: float = 0.0
    releasing: bool = False


class LeaseMachine:
    """Decides when to read, take, renew and release a lease. Does no I/O.

    ``instance`` is ``<host id>:<nonce>`` and unique for each start of a process. At most one
    action is outstanding; its result goes to ``on_read`` or ``on_write``. A term counts from the
    moment its write was sent. A holder whose term has run out takes a new epoch, even where no
    other candidate came between, so that orders from before the gap are fenced. ``former`` are
    instances that this process has given up; their lease is taken without waiting for its end.
    With ``one_per_host``, so is that of an earlier process of the same host. A holder stops
    ``stop_early_s`` before its term ends and renews every ``renew_s``, by default a third of the
    duration.

    >>> machine = LeaseMachine("uy-sur", "n1:a")
    >>> machine.tick(0.0)
    (ReadLease(),)
    """

    def __init__(
        self,
        area: str,
        instance: str,
        duration_s: float = 9.0,
        former: frozenset[str] = frozenset(),
        stop_early_s: float = STOP_EARLY_S,
        renew_s: float | None = None,
        one_per_host: bool = False,
        takeover_factor: float = TAKEOVER_FACTOR,
    ) -> None:
        self.key = f"leases/{area}"
        self.instance = instance
        self._duration_s = duration_s
        self._renew_s = duration_s / 3 if renew_s is None else renew_s
        self._stop_early_s = stop_early_s
        self._one_per_host = one_per_host
        self._takeover_factor = takeover_factor
        self._heard: tuple[int, float] = (-1, 0.0)
        self._former = former
        self._acknowledged: frozenset[str] = frozenset()
        self._alone_since = 0.0
        self._count = 0
        self._top_epoch = 0
        self._state = _State()

    def term(self, now: float) -> LeaseTerm | None:
        """Return the term if this candidate may act as the holder at ``now``."""
        term = self._state.term
        if term is None or self._state.releasing:
            return None
        return term if now < term.valid_until else None

    def tick(self, now: float) -> tuple[LeaseAction, ...]:
        """Return the next action, if one is due."""
        state = self._state
        if state.busy or now < state.next_s:
            return ()
        if state.seen is None or state.unread:
            return self._read()
        held = self._is_held()
        if state.releasing:
            return self._write(now, released=True) if held else ()
        if held:
            lapsed = self.term(now) is None
            if lapsed or now >= state.renewed_s + self._renew_s:
                return self._write(now)
            state.next_s = min(state.renewed_s + self._renew_s, self._term_end())
            return ()
        if self._is_free(now):
            return self._write(now)
        return self._read()

    def on_read(self, res: Result[StoredObject | None, ObjectError], now: float) -> None:
        """Take the result of ``ReadLease``, received at ``now``."""
        state = self._state
        state.busy = False
        match res:
            case Ok(held):
                self._see(held, now)
            case Err():
                state.next_s = now + RETRY_S

    def on_write(self, res: Result[int, ObjectError], now: float) -> None:
        """Take the result of the last ``WriteLease``, received at ``now``."""
        state = self._state
        state.busy = False
        assert state.sent is not None
        match res:
            case Ok(version):
                self._accept(version, state.sent, now)
            case Err(Unavailable(uncertain=True)):
                state.unread = True
                state.next_s = now + RETRY_S
            case Err(Conflict()):
                state.writes.pop(state.sent.write_id, None)
                state.unread = True
                state.next_s = now
            case Err():
                state.writes.pop(state.sent.write_id, None)
                state.next_s = now + RETRY_S

    def note_version(self, version: int, now: float) -> None:
        """Take that a holder has told of a version of the object, which counts as reading it."""
        if version != self._heard[0]:
            self._heard = (version, now)

    def note_gone(self, instance: str, now: float) -> None:
        """Take that a holder has ended, or has promised to send nothing more."""
        self._former |= {instance}
        self._state.unread = True
        self._state.next_s = now

    def stop(self, now: float) -> None:
        """Stop acting as the holder for good; the next ticks release the lease."""
        self._state.releasing = True
        self._state.next_s = now

    def release(self, now: float) -> tuple[LeaseAction, ...]:
        """Stop acting as the holder for good and return the action that says so, if one is due.

        Call it only when nothing that was sent under the lease is still being written out.
        """
        self.stop(now)
        return self.tick(now)

    def is_idle(self) -> bool:
        """Return whether a release has been completed."""
        state = self._state
        return state.releasing and not state.busy and not state.unread and not self._is_held()

    @property
    def is_held(self) -> bool:
        """Whether the lease, as last read or written, is this candidate's."""
        return self._is_held() and not self._state.releasing

    @property
    def last_record(self) -> LeaseRecord | None:
        """The lease as last read, None where there was none."""
        return self._state.seen.record if self._state.seen is not None else None

    @property
    def version(self) -> int:
        """The version of the object as last read or written, 0 where there is none."""
        return self._state.seen.version if self._state.seen is not None else 0

    def wake_at(self) -> float:
        """Return the time of the next tick that may have an action."""
        return self._state.next_s

    def _read(self) -> tuple[LeaseAction, ...]:
        self._state.busy = True
        return (ReadLease(),)

    def _write(self, now: float, released: bool = False) -> tuple[LeaseAction, ...]:
        state = self._state
        assert state.seen is not None
        old = state.seen.record
        if not released and not (self._is_held() and self.term(now) is not None):
            self._top_epoch += 1
            if old is not None and old.released:
                self._acknowledged |= {old.holder}
        if not self._is_held():
            self._alone_since = self._find_alone_since(state.seen, now)
        self._count += 1
        write_id = f"{self.instance}/{self._count}"
        held_s = max(0.0, now - self._alone_since)
        state.sent = LeaseRecord(
            self.instance, self._top_epoch, self._duration_s, write_id, released, held_s
        )
        state.writes[write_id] = _Write(now)
        state.busy = True
        return (WriteLease(state.sent.encode(), state.seen.version),)

    def _see(self, held: StoredObject | None, now: float) -> None:
        state = self._state
        version, record = 0, None
        if held is not None:
            decoded = LeaseRecord.decode(held.value)
            if isinstance(decoded, Err):
                # Taking over an object that cannot be decoded could repeat an epoch.
                state.next_s = now + self._renew_s
                return
            version, record = held.version, decoded.ok_value
            self._top_epoch = max(self._top_epoch, record.epoch)
        state.unread = False
        if record is not None and record.write_id in state.writes:
            self._accept(version, record, now)
            return
        if state.seen is None or state.seen.version != version:
            # No write conditional on an earlier version can take effect any more.
            state.writes.clear()
            heard, heard_s = self._heard
            state.seen = _Seen(version, record, heard_s if heard == version else now)
        # An unchanged version does not exclude that a lost write is still on its way. It stays in
        # ``writes``, and the next write on the same version conflicts if it arrives first.
        if not self._is_held():
            state.term = None
        act_now = self._is_held() or self._is_free(now)
        state.next_s = now if act_now else self._poll_at(now)

    def _accept(self, version: int, record: LeaseRecord, now: float) -> None:
        state = self._state
        write = state.writes[record.write_id]
        state.writes.clear()
        state.seen = _Seen(version, record, now)
        state.next_s = now
        if record.released:
            state.term = None
            return
        state.renewed_s = write.sent_s
        end_s = write.sent_s + record.duration_s - self._stop_early_s
        state.term = LeaseTerm(record.epoch, end_s, self._acknowledged, self._alone_since)

    def _find_alone_since(self, seen: _Seen, now: float) -> float:
        """Return from when on no other host acts, for a lease that is taken at ``now``."""
        record = seen.record
        if record is None:
            return now - self._stop_early_s
        if self._is_own_host(record.holder):
            return seen.first_s - record.held_s
        # A holder whose term lapses has stopped ``stop_early_s`` before.
        return min(now, self._lapses_at(seen, record) - self._stop_early_s)

    def _is_held(self) -> bool:
        seen = self._state.seen
        if seen is None or seen.record is None:
            return False
        return seen.record.holder == self.instance and not seen.record.released

    def _is_free(self, now: float) -> bool:
        seen = self._state.seen
        assert seen is not None
        if seen.record is None or seen.record.released or self._is_former(seen.record.holder):
            return True
        return now >= self._lapses_at(seen, seen.record)

    def _is_former(self, holder: str) -> bool:
        if holder in self._former:
            return True
        return self._one_per_host and self._is_own_host(holder)

    def _is_own_host(self, holder: str) -> bool:
        return holder.partition(":")[0] == self.instance.partition(":")[0]

    def _lapses_at(self, seen: _Seen, record: LeaseRecord) -> float:
        """Return when a lease may be taken that is not renewed, its holder being unheard."""
        return seen.first_s + record.duration_s * self._takeover_factor

    def _poll_at(self, now: float) -> float:
        seen = self._state.seen
        assert seen is not None
        assert seen.record is not None
        return min(now + self._renew_s, self._lapses_at(seen, seen.record))

    def _term_end(self) -> float:
        term = self._state.term
        assert term is not None
        return term.valid_until
