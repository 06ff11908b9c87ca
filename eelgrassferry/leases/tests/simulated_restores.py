"""Candidates for a lease and a store that is restored from copies, in virtual time."""

import heapq
import itertools
from collections.abc import Callable
from random import Random

from result import Err, Ok

from ...objects import (
    Conflict,
    StoredObject,
    Unavailable,
    era_of,
    make_version,
    revision_of,
)
from .. import LeaseMachine, LeaseTerm, ReadLease, WriteLease

__all__ = ["HANDOVER_S", "SimulatedRestores"]

# The coordinator's lease at the platform's ``lease_ms`` of 3,000.
HANDOVER_S, TERM_S, RENEW_S, TAKEOVER_FACTOR = 3.4, 1.1, 0.4, 1.02
STEP_S = 0.05
# A call takes up to this time; if its answer is lost, the store may carry it out later.
CALL_S, LATE_S = 0.03, 3.0
KEY = "leases/a"


class Store:
    """A store whose conditional writes compare revisions, also across a restore."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.lease: tuple[int, bytes] | None = None
        self.is_down = False

    def write_other(self) -> None:
        """Write some other object."""
        self.revision += 1

    def put(self, expected: int, value: bytes) -> bool:
        """Write the lease if its revision is ``expected``, 0 if it must not exist."""
        if (self.lease[0] if self.lease else 0) != expected:
            return False
        self.revision += 1
        self.lease = (self.revision, value)
        return True


class Candidate:
    """One host, whose process may be killed and started again."""

    def __init__(self, host: str, number: int, first_start: bool) -> None:
        self.host = host
        self.era = 0
        self.epoch = 0
        self.not_before = 0.0
        self.machine = LeaseMachine(
            "a",
            f"{host}:{number}",
            duration_s=HANDOVER_S + TERM_S,
            stop_early_s=HANDOVER_S,
            renew_s=RENEW_S,
            one_per_host=True,
            takeover_factor=TAKEOVER_FACTOR,
            first_start=first_start,
        )

    def begin_term(self, term: LeaseTerm, now: float) -> None:
        """Wait for orders that may be in transit, like a coordinator that knows of none."""
        if term.epoch == self.epoch:
            return
        self.epoch = term.epoch
        self.not_before = now + HANDOVER_S if term.acknowledged else now
        if not term.is_first:
            self.not_before = max(self.not_before, term.sole_host_since + HANDOVER_S)


class SimulatedRestores:
    """A run with random restores, outages, kills, stops and late writes.

    ``orders`` lists the time, the host and the epoch of each order that a holder has sent.
    """

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.orders: list[tuple[float, str, int]] = []
        self.restores = 0
        self._rng = Random(seed)
        self._store = Store()
        self._copies: list[tuple[float, int, tuple[int, bytes] | None]] = []
        self._numbers = itertools.count()
        self._candidates = [self._start(f"n{number}", True) for number in range(hosts)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._now = 0.0

    def run(self, seconds: float) -> None:
        """Play ``seconds`` of virtual time."""
        for number in range(len(self._candidates)):
            self._at(self._rng.uniform(0.0, STEP_S), lambda now, n=number: self._step(n, now))
        self._at(0.0, self._copy)
        self._at(self._rng.uniform(2.0, 8.0), self._fault)
        while self._events and self._now < seconds:
            self._now, _, action = heapq.heappop(self._events)
            action(self._now)

    def _at(self, time: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _start(self, host: str, first_start: bool) -> Candidate:
        return Candidate(host, next(self._numbers), first_start)

    # Faults

    def _copy(self, now: float) -> None:
        self._copies.append((now, self._store.revision, self._store.lease))
        del self._copies[:-40]
        if self._rng.random() < 0.5:
            self._store.write_other()
        self._at(now + 0.2, self._copy)

    def _fault(self, now: float) -> None:
        match self._rng.choice(("restore", "restore", "kill", "release", "down")):
            case "restore":
                self._store.is_down = True
                self._at(now + self._rng.choice((0.0, 0.3, 1.0)), self._restore)
            case "kill":
                number = self._rng.randrange(len(self._candidates))
                self._candidates[number] = self._start(self._candidates[number].host, False)
            case "release":
                self._rng.choice(self._candidates).machine.stop(now)
                self._at(now + self._rng.uniform(0.2, 5.0), self._restore)
            case "down":
                self._store.is_down = True
                self._at(now + self._rng.uniform(0.3, 3.0), self._return)
        self._at(now + self._rng.choice((0.5, 2.0, 6.0, 12.0)), self._fault)

    def _restore(self, now: float) -> None:
        """Return to a copy that is up to 5 s old."""
        oldest = now - self._rng.uniform(0.0, 5.0)
        recent = [copy for copy in self._copies if copy[0] >= oldest]
        _, revision, lease = (recent or self._copies)[0]
        self._store.revision, self._store.lease = revision, lease
        self._store.era += 1
        self._store.is_down = False
        self._copies.clear()
        self._copies.append((now, revision, lease))
        self.restores += 1

    def _return(self, _now: float) -> None:
        self._store.is_down = False

    # Candidates

    def _step(self, number: int, now: float) -> None:
        candidate = self._candidates[number]
        machine = candidate.machine
        if machine.is_release_complete():
            candidate = self._candidates[number] = self._start(candidate.host, False)
            machine = candidate.machine
        if self._copies and self._store.era > 1 and candidate.era > 1:
            machine.record_restore()
        for action in machine.tick(now):
            self._call(candidate, action, now)
        term = machine.term(now)
        if term is not None:
            candidate.begin_term(term, now)
            if now >= candidate.not_before:
                self.orders.append((now, candidate.host, term.epoch))
        self._at(now + STEP_S, lambda at: self._step(number, at))

    def _call(self, candidate: Candidate, action: ReadLease | WriteLease, now: float) -> None:
        """Carry out a call after some time and answer it, unless it or its answer is lost."""
        expected = action.expected if isinstance(action, WriteLease) else 0
        if expected and era_of(expected) < candidate.era:
            candidate.machine.on_write(Err(Conflict("put", "store", KEY)), now)
            return
        arrives_at = now + self._rng.uniform(0.0, CALL_S)
        is_lost = self._rng.random() < 0.08
        if is_lost and self._rng.random() < 0.5:
            arrives_at += self._rng.uniform(0.0, LATE_S)
        answered_at = (now if is_lost else arrives_at) + self._rng.uniform(0.0, CALL_S)
        answer: list = []
        self._at(arrives_at, lambda _now: answer.append(self._carry_out(action)))
        self._at(
            answered_at + 1e-6,
            lambda at: self._answer(candidate, action, answer[0] if not is_lost else None, at),
        )

    def _carry_out(self, action: ReadLease | WriteLease) -> tuple:
        """Return the era, the revision or 0, and the value of the lease; None if down."""
        store = self._store
        if store.is_down:
            return (store.era, None, b"")
        if isinstance(action, WriteLease):
            written = store.put(revision_of(action.expected), action.value)
            return (store.era, store.revision if written else 0, b"")
        return (store.era, *(store.lease or (0, b"")))

    def _answer(
        self,
        candidate: Candidate,
        action: ReadLease | WriteLease,
        answer: tuple | None,
        now: float,
    ) -> None:
        machine, is_write = candidate.machine, isinstance(action, WriteLease)
        if answer is None or answer[1] is None:
            failed = Err(Unavailable("call", "store", "lost", uncertain=answer is None))
            (machine.on_write if is_write else machine.on_read)(failed, now)
            return
        era, revision, value = answer
        candidate.era = max(candidate.era, era)
        if not is_write:
            stored = StoredObject(KEY, make_version(era, revision), value) if revision else None
            machine.on_read(Ok(stored), now, era)
        elif not revision:
            machine.on_write(Err(Conflict("put", "store", KEY)), now)
        elif action.expected and era_of(action.expected) != era:
            machine.on_write(Err(Unavailable("put", "store", "restored", uncertain=True)), now)
        else:
            machine.on_write(Ok(make_version(era, revision)), now)
