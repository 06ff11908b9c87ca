"""The coordinator's lease on this node."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import replace

import structlog

from ..fleet import EntrySettings
from ..leases import LeaseMachine, LeaseTerm, ReadLease, WriteLease
from ..metrics import Metrics
from ..objects import ObjectStore

__all__ = ["ORDER_TRANSIT_S", "STEP_S", "LeaseHolder"]

log = structlog.get_logger()

LEASE_AREA = "engine-orders"
# Time for which a holder may act after sending its last renewal, in seconds. It allows for two
# retries, and is short enough that a successor takes over soon.
TERM_S = 1.1
# Time between two renewals, in seconds.
RENEW_S = 0.4
# A term that is extended by promises ends this long before they do, in seconds, to allow for an
# order that is just being sent.
PROMISE_MARGIN_S = 0.2
# Age of the last renewal at which the store counts as lost and the holder asks the other nodes
# whether they reach it, in seconds.
STORE_LOST_S = 0.65
# Time that a holder has for a renewal after another node has reached the store, in seconds. A
# pending renewal has to fail first.
RENEWAL_GRACE_S = 0.9
# Age of the last renewal at which a holder gives the lease up and notifies the other nodes, in
# seconds. One of them can then take over without waiting for the lease to expire.
GIVE_UP_AFTER_S = 0.85
# A successor waits this multiple of the lease's duration, which covers clocks whose rates differ by
# two percent.
CLOCK_MARGIN = 1.02
# Time within which an order arrives that was sent at the very end of a term, in seconds.
ORDER_TRANSIT_S = 0.4
# Delay for a node that has had no contact with a coordinator since its start, in seconds. Such a
# node does not know the last orders and leaves the lease to a node that does.
NO_HISTORY_DELAY_S = 0.4
# Time between two checks of the lease and between two calls of the planner, in seconds.
STEP_S = 0.02


class LeaseHolder:
    """Driver that acquires, renews, gives up and releases the coordinator's lease.

    ``may_compete`` returns whether this node may take the lease: it may not while it is in contact
    with a coordinator, has promised one not to take the lease, or is isolated. ``delay_s`` returns
    the time for which this node leaves a free lease to other nodes. ``promised_until`` returns the
    time until which all other nodes have promised not to take it. ``announce_end`` notifies the
    other nodes that the term of an instance has ended. ``has_order_history`` returns whether this
    node knows the orders of the previous coordinator. ``alone_since`` is a time on ``clock`` at
    which all earlier nodes of this name had ended.

    ``handover_s`` is the time after the last order of one coordinator until the first order of its
    successor, in seconds, including the time for which an order may be in transit.
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
        has_order_history: Callable[[], bool],
        delay_s: Callable[[], float],
        alone_since: float = float("inf"),
    ) -> None:
        self.handover_s = settings.bounds.order_handover_s + ORDER_TRANSIT_S
        self.store = store
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._announce_end = announce_end
        self._may_compete = may_compete
        self._promised_until = promised_until
        self._has_order_history = has_order_history
        self._delay_s = delay_s
        self._alone_since = alone_since
        self._instances: frozenset[str] = frozenset()
        self._machine = self._make_machine(settings.first_start, 0)
        self._last_term: LeaseTerm | None = None
        self._give_up_at: float | None = None
        self._leaderless_since: float | None = None
        self._ended_holders: set[str] = set()
        self._stopping = False

    def term(self) -> LeaseTerm | None:
        """Return the current term, or None while this node may not send orders.

        While the store does not respond, a term is extended for as long as every other node has
        promised not to take the lease.
        """
        if self._stopping:
            return None
        now = self._clock()
        term = self._machine.term(now)
        if term is not None:
            self._last_term = term
            return term
        last = self._last_term
        if (
            last is None
            or not self._machine.is_held
            or now >= self._promised_until() - PROMISE_MARGIN_S
        ):
            return None
        return replace(last, valid_until=self._promised_until() - PROMISE_MARGIN_S)

    @property
    def version(self) -> int:
        """The version of the lease object as last read or written."""
        return self._machine.version

    @property
    def holder(self) -> str:
        """The instance that holds the lease as last read, or "" if none does."""
        if self._machine.is_held:
            return self._machine.instance
        record = self._machine.last_record
        return "" if record is None or record.released else record.holder

    @property
    def holder_has_ended(self) -> bool:
        """Whether the holder, as last read, is known to have ended or resigned."""
        return self.holder in self._ended_holders

    @property
    def store_lost(self) -> bool:
        """Whether the last confirmed renewal is older than ``STORE_LOST_S`` or the term is over."""
        term = self._machine.term(self._clock())
        return term is None or term.valid_until - self._clock() < TERM_S - STORE_LOST_S

    def record_version(self, version: int) -> None:
        """Record the version of the lease object as reported by its holder."""
        self._machine.record_version(version, self._clock())

    def record_epoch(self, epoch: int) -> None:
        """Record the epoch of a term of another node, so that no lower one is taken."""
        self._machine.record_epoch(epoch)

    def on_holder_ended(self, instance: str) -> None:
        """Handle that a holder has ended or has promised to send no more orders."""
        self._ended_holders.add(instance)
        self._machine.on_holder_ended(instance, self._clock())

    def on_store_reached(self) -> None:
        """Handle that another node reaches the store while this node does not.

        This node gives the lease up, because the other node can renew it. If its term is already
        extended by promises, it first waits ``RENEWAL_GRACE_S`` seconds, because the store may just
        have become reachable for all nodes, so that its own next renewal succeeds too.
        """
        if not self.store_lost:
            return
        now = self._clock()
        if self._machine.term(now) is not None:
            self.give_up_term()
        elif self._give_up_at is None:
            self._give_up_at = now + RENEWAL_GRACE_S

    async def run(self) -> None:
        """Renew the lease or compete for it, until cancelled."""
        while True:
            if self.store.was_restored:
                self._machine.record_restore()
            term = self.term()
            if not self._stopping and (term is not None or self._should_compete()):
                machine = self._machine
                machine.extend(float("-inf") if term is None else term.valid_until)
                for action in machine.tick(self._clock()):
                    await self._perform(machine, action)
            await asyncio.sleep(STEP_S)

    def give_up_overdue_term(self) -> None:
        """Give up a term that was not renewed in time, so that another node can take over now."""
        now = self._clock()
        term = self.term()
        # Promises of the other nodes extend a term that is not renewed in the store.
        promised_s = self._promised_until() - PROMISE_MARGIN_S - now
        min_remaining_s = TERM_S - GIVE_UP_AFTER_S
        if (
            term is not None
            and term.valid_until - now < min_remaining_s
            and promised_s < min_remaining_s
        ):
            self.give_up_term()
        if self._give_up_at is not None and now >= self._give_up_at:
            self._give_up_at = None
            if self.store_lost:
                self.give_up_term()

    def give_up_term(self) -> None:
        """End the term without a release, because the store does not respond or this node is
        isolated.
        """
        term = self.term()
        if term is None:
            return
        instance = self._machine.instance
        self._last_term = None
        self._machine = self._make_machine(False, self._machine.highest_epoch)
        log.warning("lease given up", step="lease", epoch=term.epoch, instance=instance)
        self._metrics.count("lease_given_up")
        self._announce_end(instance)

    async def resign(self) -> None:
        """Stop sending orders, notify the other nodes and release the lease."""
        held = self.term() is not None
        self._stopping = True
        if not held:
            return
        self._announce_end(self._machine.instance)
        for action in self._machine.release(self._clock()):
            await self._perform(self._machine, action)

    def _should_compete(self) -> bool:
        """Return whether this node should try to take the lease now.

        Nodes are delayed in the order of succession, and further if they do not know the orders of
        the previous coordinator.
        """
        now = self._clock()
        if not self._may_compete():
            self._leaderless_since = None
            return False
        if self._leaderless_since is None:
            self._leaderless_since = now
        delay_s = self._delay_s()
        if not self._settings.first_start and not self._has_order_history():
            delay_s += NO_HISTORY_DELAY_S
        return now - self._leaderless_since >= delay_s

    def _make_machine(self, first_start: bool, highest_epoch: int) -> LeaseMachine:
        former, instance = self._instances, f"{self._settings.name}:{secrets.token_hex(4)}"
        self._instances |= {instance}
        return LeaseMachine(
            LEASE_AREA,
            instance,
            duration_s=self.handover_s + TERM_S,
            former=former,
            stop_early_s=self.handover_s,
            renew_s=RENEW_S,
            one_per_host=True,
            takeover_factor=CLOCK_MARGIN,
            alone_since=self._alone_since,
            highest_epoch=highest_epoch,
            first_start=first_start,
        )

    async def _perform(self, machine: LeaseMachine, action: ReadLease | WriteLease) -> None:
        match action:
            case ReadLease():
                read = await self.store.get(machine.key)
                machine.on_read(read, self._clock(), self.store.era)
            case WriteLease(value, expected):
                written = await self.store.put(machine.key, value, expected)
                machine.on_write(written, self._clock())
