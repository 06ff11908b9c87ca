"""The state machine with which one candidate competes for the lease of one planning area."""

from result import Err, Ok, Result

from ..objects import Conflict, ObjectError, StoredObject, Unavailable, era_of, make_version
from .actions import LeaseAction, LeaseTerm, ReadLease, WriteLease
from .record import LeaseRecord
from .state import LeaseState, ObservedLease, PendingWrite

__all__ = ["EPOCHS_PER_ERA", "STOP_EARLY_S", "TAKEOVER_FACTOR", "LeaseMachine"]

# A holder stops acting this long before its lease expires, in seconds, so that work begun in the
# last event loop iteration of the term is finished before a successor may start.
STOP_EARLY_S = 1.0
# A candidate waits this multiple of the lease's duration before it takes over an unchanged lease.
# The margin covers clocks that run at slightly different rates.
TAKEOVER_FACTOR = 1.1
# Pause after a failed read or write, in seconds.
RETRY_S = 0.3
# The first epochs of two eras differ by this. An epoch is a fencing token, and a later era of the
# store may have lost the record of the highest one.
EPOCHS_PER_ERA = 2**20


class LeaseMachine:
    """State machine that decides when to read, take, renew and release a lease. Does no I/O.

    At most one action is outstanding; its result is passed to ``on_read`` or ``on_write``. A term
    starts when its write was sent. A holder whose term has expired takes a new epoch, even if no
    other candidate held the lease in between, so that orders sent before the gap are fenced.

    ``instance`` has the form ``<host id>:<nonce>`` and is unique to each start of a process. A
    lease held by one of the ``former`` instances, which this process has given up, is taken without
    waiting for it to expire. With ``one_per_host``, the same applies to a lease held by an earlier
    process of the same host. A holder stops ``stop_early_s`` seconds before its lease expires and
    renews it every ``renew_s`` seconds, by default a third of ``duration_s``.

    ``alone_since`` is a time at which all earlier instances of the host but the ``former`` ones had
    ended. ``highest_epoch`` is the highest epoch that is known from elsewhere. At the
    ``first_start``, nobody has held a lease that does not exist.

    A store that was restored from a copy may have lost the records of later holders. A record that
    was not written in the present era therefore proves nothing, and neither does the lack of one:
    the lease is taken as if it had been renewed when it was first observed in this era. Only a
    holder whose term is not over writes it at once, and all epochs of an era are higher than those
    of the eras before.

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
        alone_since: float = float("inf"),
        highest_epoch: int = 0,
        first_start: bool = True,
    ) -> None:
        self.key = f"leases/{area}"
        self.instance = instance
        self._duration_s = duration_s
        self._renew_s = duration_s / 3 if renew_s is None else renew_s
        self._stop_early_s = stop_early_s
        self._one_per_host = one_per_host
        self._takeover_factor = takeover_factor
        self._alone_since = alone_since
        self._reported_version: tuple[int, float] = (-1, 0.0)
        self._former = former
        self._acknowledged: frozenset[str] = frozenset()
        self._sole_host_since = 0.0
        self._write_count = 0
        self._highest_epoch = highest_epoch
        self._first_start = first_start
        self._is_first = False
        self._extended_until = float("-inf")
        self._state = LeaseState()

    def term(self, now: float) -> LeaseTerm | None:
        """Return the current term, or None if this candidate may not act as holder at ``now``."""
        term = self._state.term
        if term is None or self._state.releasing:
            return None
        return term if now < term.valid_until else None

    def tick(self, now: float) -> tuple[LeaseAction, ...]:
        """Return the action that is due at ``now``, or an empty tuple."""
        state = self._state
        if state.busy or now < state.next_action_s:
            return ()
        if state.observed is None or state.needs_read:
            return self._read()
        held = self._is_held()
        if state.releasing:
            return self._write(now, released=True) if held else ()
        if held:
            lapsed = self.term(now) is None
            if lapsed or now >= state.renewed_s + self._renew_s:
                return self._write(now)
            state.next_action_s = min(state.renewed_s + self._renew_s, self._term_end())
            return ()
        if state.is_reclaiming and (self.term(now) is not None or now < self._extended_until):
            return self._write(now)
        state.is_reclaiming = False
        if self._is_free(now):
            return self._write(now)
        return self._read()

    def on_read(
        self, res: Result[StoredObject | None, ObjectError], now: float, era: int = 0
    ) -> None:
        """Handle the result of a ``ReadLease`` action, received at ``now``.

        ``era`` is the store's; a stored object has it in its version.
        """
        state = self._state
        state.busy = False
        match res:
            case Ok(stored):
                self._apply_read(stored, now, era)
            case Err():
                state.next_action_s = now + RETRY_S

    def on_write(self, res: Result[int, ObjectError], now: float) -> None:
        """Handle the result of the last ``WriteLease`` action, received at ``now``."""
        state = self._state
        state.busy = False
        assert state.sent_record is not None
        match res:
            case Ok(version) if era_of(version) == state.sent_record.era:
                self._apply_write(version, state.sent_record, now)
            case Ok():
                # The store was restored before it carried the write out.
                state.needs_read = True
                state.next_action_s = now
            case Err(Unavailable(uncertain=True)):
                state.needs_read = True
                state.next_action_s = now + RETRY_S
            case Err(Conflict()):
                state.pending_writes.pop(state.sent_record.write_id, None)
                state.needs_read = True
                state.next_action_s = now
            case Err():
                state.pending_writes.pop(state.sent_record.write_id, None)
                state.next_action_s = now + RETRY_S

    def record_version(self, version: int, now: float) -> None:
        """Record the object's version as reported by the holder.

        If this candidate later reads the same version, the lease's duration counts from the first
        report instead of the read.
        """
        if version != self._reported_version[0]:
            self._reported_version = (version, now)

    def record_epoch(self, epoch: int) -> None:
        """Record an epoch that a holder has used, so that no lower one is taken."""
        self._highest_epoch = max(self._highest_epoch, epoch)

    def record_restore(self) -> None:
        """Record that the store was restored, so that a lease that does not exist may be held."""
        self._first_start = False

    def extend(self, until: float) -> None:
        """Record that nobody else takes the lease before a time, even if the term is over."""
        self._extended_until = until

    def on_holder_ended(self, instance: str, now: float) -> None:
        """Allow taking over at once from a holder that has ended or promised to send no more."""
        self._former |= {instance}
        self._state.needs_read = True
        self._state.next_action_s = now

    def stop(self, now: float) -> None:
        """Stop acting as the holder permanently; the next ticks release the lease."""
        self._state.releasing = True
        self._state.next_action_s = now

    def release(self, now: float) -> tuple[LeaseAction, ...]:
        """Stop acting as the holder permanently and return the action that releases the lease.

        The tuple is empty if no action is due. Call this only after everything sent under the lease
        has been written out.
        """
        self.stop(now)
        return self.tick(now)

    def is_release_complete(self) -> bool:
        """Return whether a release has been completed."""
        state = self._state
        return state.releasing and not state.busy and not state.needs_read and not self._is_held()

    @property
    def is_held(self) -> bool:
        """Whether this candidate holds the lease according to the last read or write.

        This is also the case while it writes the lease again after a restore of the store.
        """
        state = self._state
        return (self._is_held() or state.is_reclaiming) and not state.releasing

    @property
    def highest_epoch(self) -> int:
        """The highest epoch that this candidate has taken or heard of."""
        return self._highest_epoch

    @property
    def last_record(self) -> LeaseRecord | None:
        """The lease as last read or written, or None if there is none."""
        return self._state.observed.record if self._state.observed is not None else None

    @property
    def version(self) -> int:
        """The object's version as last read or written; revision 0 if it does not exist."""
        return self._state.observed.version if self._state.observed is not None else 0

    def wake_at(self) -> float:
        """Return the earliest time at which ``tick`` may return an action."""
        return self._state.next_action_s

    def _read(self) -> tuple[LeaseAction, ...]:
        self._state.busy = True
        return (ReadLease(),)

    def _write(self, now: float, released: bool = False) -> tuple[LeaseAction, ...]:
        state = self._state
        assert state.observed is not None
        old, is_outdated = state.observed.record, self._is_outdated(state.observed)
        is_holder = self._is_held() or state.is_reclaiming
        epoch = self._highest_epoch
        if is_holder and state.term is not None and self.term(now) is not None:
            epoch = state.term.epoch
        elif not released:
            epoch = max(epoch, state.observed.era * EPOCHS_PER_ERA) + 1
            self._is_first = old is None and not is_outdated
            if old is not None and old.released and not is_outdated:
                self._acknowledged |= {old.holder}
        self._highest_epoch = max(self._highest_epoch, epoch)
        if not is_holder:
            self._sole_host_since = self._find_sole_host_since(state.observed, now)
        self._write_count += 1
        write_id = f"{self.instance}/{self._write_count}"
        held_s = max(0.0, now - self._sole_host_since)
        state.sent_record = LeaseRecord(
            self.instance,
            epoch,
            self._duration_s,
            write_id,
            released,
            held_s,
            state.observed.era,
        )
        state.pending_writes[write_id] = PendingWrite(now)
        state.busy = True
        expected = 0 if old is None else state.observed.version
        return (WriteLease(state.sent_record.encode(), expected),)

    def _apply_read(self, stored: StoredObject | None, now: float, era: int) -> None:
        state = self._state
        version, record = make_version(era, 0), None
        if stored is not None:
            decoded = LeaseRecord.decode(stored.value)
            if isinstance(decoded, Err):
                # The epoch in the object is unknown, so taking it over could reuse an epoch.
                state.next_action_s = now + self._renew_s
                return
            version, record = stored.version, decoded.ok_value
            self._highest_epoch = max(self._highest_epoch, record.epoch)
        known = state.observed
        if known is not None and era_of(version) < known.era:
            # The store had answered before it was restored.
            state.needs_read, state.next_action_s = True, now + RETRY_S
            return
        state.needs_read = False
        is_current = record is not None and record.era == era_of(version)
        if is_current and record.write_id in state.pending_writes:
            self._apply_write(version, record, now)
            return
        if known is not None and era_of(version) > known.era:
            self._first_start = False
            state.is_reclaiming |= self._is_held()
        elif is_current:
            state.is_reclaiming = False
        if known is None or known.version != version:
            # Pending writes are conditional on an earlier version and can no longer succeed; if the
            # store was restored since, the era in their record tells that they mean nothing.
            state.pending_writes.clear()
            reported, reported_s = self._reported_version
            state.observed = ObservedLease(
                version, record, reported_s if reported == version else now
            )
        # Even if the version is unchanged, a write without a response may still be in transit. It
        # stays in ``pending_writes``; if it arrives first, the next write conflicts with it.
        is_holder = self._is_held() or state.is_reclaiming
        if not is_holder:
            state.term = None
        act_now = is_holder or self._is_free(now)
        state.next_action_s = now if act_now else self._next_read_at(now)

    def _apply_write(self, version: int, record: LeaseRecord, now: float) -> None:
        state = self._state
        write = state.pending_writes[record.write_id]
        state.pending_writes.clear()
        state.is_reclaiming = False
        state.observed = ObservedLease(version, record, now)
        state.next_action_s = now
        if record.released:
            state.term = None
            return
        state.renewed_s = write.sent_s
        end_s = write.sent_s + record.duration_s - self._stop_early_s
        state.term = LeaseTerm(
            record.epoch, end_s, self._acknowledged, self._sole_host_since, self._is_first
        )

    def _find_sole_host_since(self, observed: ObservedLease, now: float) -> float:
        """Return the time since which no other host has acted, for a lease taken at ``now``."""
        record = observed.record
        if self._is_outdated(observed):
            return min(now, self._expires_at(observed) - self._stop_early_s)
        if record is None:
            return now - self._stop_early_s
        if self._is_own_host(record.holder):
            written_s = observed.first_observed_s
            if record.holder not in self._former:
                # The earlier process sent its last write before it ended.
                written_s = min(written_s, self._alone_since)
            return written_s - record.held_s
        # A holder stops ``stop_early_s`` before its lease expires.
        return min(now, self._expires_at(observed) - self._stop_early_s)

    def _is_held(self) -> bool:
        observed = self._state.observed
        if observed is None or observed.record is None or self._is_outdated(observed):
            return False
        return observed.record.holder == self.instance and not observed.record.released

    def _is_outdated(self, observed: ObservedLease) -> bool:
        """Return whether the store may have lost a later record than the observed one."""
        if observed.record is not None:
            return observed.record.era != observed.era
        return observed.era > 0 and not self._first_start

    def _is_free(self, now: float) -> bool:
        observed = self._state.observed
        assert observed is not None
        record = observed.record
        if not self._is_outdated(observed) and (
            record is None or record.released or self._is_former(record.holder)
        ):
            return True
        return now >= self._expires_at(observed)

    def _is_former(self, holder: str) -> bool:
        if holder in self._former:
            return True
        return self._one_per_host and self._is_own_host(holder)

    def _is_own_host(self, holder: str) -> bool:
        return holder.partition(":")[0] == self.instance.partition(":")[0]

    def _expires_at(self, observed: ObservedLease) -> float:
        """Return when a lease that is not renewed may be taken over."""
        duration_s = self._duration_s if observed.record is None else observed.record.duration_s
        if self._is_outdated(observed):
            duration_s = max(duration_s, self._duration_s)
        return observed.first_observed_s + duration_s * self._takeover_factor

    def _next_read_at(self, now: float) -> float:
        observed = self._state.observed
        assert observed is not None
        return min(now + self._renew_s, self._expires_at(observed))

    def _term_end(self) -> float:
        term = self._state.term
        assert term is not None
        return term.valid_until
