"""Holds the lease of the coordinator, or competes for it."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import replace

import structlog

from ..fleet import EntrySettings
from ..leases import LeaseMachine, LeaseTerm, ReadLease, WriteLease
from ..metrics import Metrics
from ..objects import ObjectStore

__all__ = ["STEP_S", "TRANSIT_S", "LeaseHolder"]

log = structlog.get_logger()

LEASE_AREA = "engine-orders"
# How long a holder may act after it has sent its last renewal, in seconds: long enough for two
# more tries, short enough that a successor takes over soon.
TERM_S = 1.1
RENEW_S = 0.4
# A term that rests on promises ends this long before they do, in seconds, for an order that is just
# being sent.
MARGIN_S = 0.2
# A holder whose last renewal is this old asks the nodes whether they reach the store, in seconds.
STORE_LOST_S = 0.65
# Time for a renewal after another node has reached the store again, in seconds: one that is pending
# has to fail first.
REGAIN_S = 0.9
# A holder whose last renewal is this old gives the lease up and says so, in seconds: another node
# then takes over at once, instead of after the lease's whole duration.
GIVE_UP_S = 0.85
# A successor waits this multiple of the lease's duration, which covers clocks that run at rates two
# in a hundred apart.
CLOCK_MARGIN = 1.02
# An order that was sent in the last moment of a term arrives within this time, in seconds.
TRANSIT_S = 0.4
# Nodes with this many cores compete for the lease at once; each core less delays by this time, in
# seconds. A strong node takes a free lease within 0.1 s.
ENOUGH_CORES = 1.0
WEAK_DELAY_S = 1.0
# A node that has heard no coordinator since its start does not know its last orders, and leaves the
# lease to one that does for this time, in seconds.
UNINFORMED_DELAY_S = 0.4
# The lease and the coordinator's plan are looked at this often, in seconds.
STEP_S = 0.02


class LeaseHolder:
    """Takes, renews, gives up and releases the lease.

    ``may_compete`` says whether the node may take the lease: not while it hears a coordinator, has
    promised something to one, or is cut off. ``promised_until`` is the time until which no other
    node takes it. ``announce_end`` tells the nodes that a term has ended. ``informed`` says whether
    the node knows the orders of the coordinator before.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: ObjectStore,
        clock: Callable[[], float],
        metrics: Metrics,
        announce_end: Callable[[str], None],
        may_compete: Callable[[], bool],
        promised_until: Callable[[], float],
        informed: Callable[[], bool],
    ) -> None:
        self.handover_s = settings.bounds.order_handover_s + TRANSIT_S
        self.store = store
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._announce_end = announce_end
        self._may_compete = may_compete
        self._promised_until = promised_until
        self._informed = informed
        self._machine = self._make_machine()
        self._last_term: LeaseTerm | None = None
        self._give_up_at: float | None = None
        self._leaderless_since: float | None = None
        self._gone: set[str] = set()
        self._stopping = False

    def term(self) -> LeaseTerm | None:
        """Return the term if this node may give orders at this moment.

        While the store does not answer, a term goes on as long as every other node has promised
        not to take the lease.
        """
        if self._stopping:
            return None
        now = self._clock()
        term = self._machine.term(now)
        if term is not None:
            self._last_term = term
            return term
        last = self._last_term
        if last is None or not self._machine.is_held or now >= self._promised_until() - MARGIN_S:
            return None
        return replace(last, valid_until=self._promised_until() - MARGIN_S)

    @property
    def version(self) -> int:
        """The version of the lease as last read or written."""
        return self._machine.version

    @property
    def holder(self) -> str:
        """The instance that holds the lease as last read, empty where none does."""
        record = self._machine.last_record
        return "" if record is None or record.released else record.holder

    @property
    def holder_is_gone(self) -> bool:
        """Whether the holder as last read is known to have ended or resigned."""
        return self.holder in self._gone

    @property
    def store_lost(self) -> bool:
        """Whether the last renewals of the lease had no answer."""
        term = self._machine.term(self._clock())
        return term is None or term.valid_until - self._clock() < TERM_S - STORE_LOST_S

    def note_version(self, version: int) -> None:
        """Take that the holder has told of a version of the lease."""
        self._machine.record_version(version, self._clock())

    def note_gone(self, instance: str) -> None:
        """Take that a holder has ended, or has promised to give no more orders."""
        self._gone.add(instance)
        self._machine.on_holder_ended(instance, self._clock())

    def note_store_reached(self) -> None:
        """Take that another node reaches the store: it can coordinate better than this one, unless
        the store has just returned and this node's next renewal succeeds too.
        """
        if not self.store_lost:
            return
        now = self._clock()
        if self._machine.term(now) is not None:
            self.give_up_term()
        elif self._give_up_at is None:
            self._give_up_at = now + REGAIN_S

    async def run(self) -> None:
        """Keep the lease or compete for it, until cancelled."""
        while True:
            if not self._stopping and (self.term() is not None or self._competes()):
                machine = self._machine
                for action in machine.tick(self._clock()):
                    await self._perform(machine, action)
            await asyncio.sleep(STEP_S)

    def check(self) -> None:
        """End a term that is not renewed in time, so that another node can go on now."""
        now = self._clock()
        term = self.term()
        # Promises let a term go on that the store does not renew.
        promised_s = self._promised_until() - MARGIN_S - now
        least_s = TERM_S - GIVE_UP_S
        if term is not None and term.valid_until - now < least_s and promised_s < least_s:
            self.give_up_term()
        if self._give_up_at is not None and now >= self._give_up_at:
            self._give_up_at = None
            if self.store_lost:
                self.give_up_term()

    def give_up_term(self) -> None:
        """End the term, because the store does not answer or this node is cut off."""
        term = self.term()
        if term is None:
            return
        given_up = self._machine.instance
        self._last_term = None
        self._machine = self._make_machine()
        log.warning("lease given up", step="lease", epoch=term.epoch, instance=given_up)
        self._metrics.count("lease_given_up")
        self._announce_end(given_up)

    async def resign(self) -> None:
        """Give no more orders, say so to the other nodes, and release the lease."""
        held = self.term() is not None
        self._stopping = True
        if not held:
            return
        self._announce_end(self._machine.instance)
        for action in self._machine.release(self._clock()):
            await self._perform(self._machine, action)

    def _competes(self) -> bool:
        """Whether this node tries to take the lease now. Weak nodes leave it to strong ones for a
        moment, because the coordinator's work grows with the fleet, and uninformed ones to others.
        """
        now = self._clock()
        if not self._may_compete():
            self._leaderless_since = None
            return False
        if self._leaderless_since is None:
            self._leaderless_since = now
        delay_s = WEAK_DELAY_S * max(0.0, ENOUGH_CORES - self._settings.cores)
        if not self._settings.first_start and not self._informed():
            delay_s += UNINFORMED_DELAY_S
        return now - self._leaderless_since >= delay_s

    def _make_machine(self) -> LeaseMachine:
        return LeaseMachine(
            LEASE_AREA,
            f"{self._settings.name}:{secrets.token_hex(4)}",
            duration_s=self.handover_s + TERM_S,
            stop_early_s=self.handover_s,
            renew_s=RENEW_S,
            one_per_host=True,
            takeover_factor=CLOCK_MARGIN,
        )

    async def _perform(self, machine: LeaseMachine, action: ReadLease | WriteLease) -> None:
        match action:
            case ReadLease():
                machine.on_read(await self.store.get(machine.key), self._clock())
            case WriteLease(value, expected):
                wrote = await self.store.put(machine.key, value, expected)
                machine.on_write(wrote, self._clock())
