"""Runs the coordinator on the node that holds the lease."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import replace

import structlog
from result import Err

from ..dispatch import OrderedResidency
from ..fleet import EntrySettings, FleetConfig, UpstreamDirectory, UpstreamEntry
from ..leases import LeaseMachine, LeaseTerm, ReadLease, WriteLease
from ..metrics import Metrics
from ..objects import ObjectStore
from ..ordering import AskReport, Coordinator, GiveOrder, Inheritance, NodeStatus
from .messages import FleetView
from .order_runner import OrderRunner

__all__ = ["Leadership"]

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
# Least time between two plans for six engines, and for any number, in seconds. A plan for six
# engines takes about a third of a millisecond.
PLAN_EVERY_S = 0.005
MAX_PLAN_EVERY_S = 0.05


class Leadership:
    """Competes for the lease, and while it holds it, plans and gives orders.

    ``publish`` is called with each new view for the nodes. ``may_compete`` says whether the node
    may take the lease: not while it hears another coordinator or is cut off. ``promised_until`` is
    the time until which no other node takes it.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: ObjectStore,
        directory: UpstreamDirectory,
        runner: Callable[[Callable[[], LeaseTerm | None]], OrderRunner],
        clock: Callable[[], float],
        metrics: Metrics,
        publish: Callable[[FleetView], None],
        announce_end: Callable[[str], None],
        may_compete: Callable[[], bool],
        promised_until: Callable[[], float],
    ) -> None:
        handover_s = settings.bounds.order_handover_s + TRANSIT_S
        self._handover_s = handover_s
        self.machine = self._make_machine(f"{settings.name}:{secrets.token_hex(4)}")
        self.coordinator: Coordinator | None = None
        self._inherited: Inheritance | None = None
        self._gone: set[str] = set()
        self._certain: set[str] = set()
        self._not_before = float("-inf")
        self._settings = settings
        self._store = store
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._publish = publish
        self._announce_end = announce_end
        self._may_compete = may_compete
        self._promised_until = promised_until
        self._last_term: LeaseTerm | None = None
        self._give_up_at: float | None = None
        self._runner = runner(self.term)
        self._config: FleetConfig | None = None
        self._epoch = 0
        self._published = -1
        self._leaderless_since: float | None = None
        self._planned_at = float("-inf")
        self._planned_soon: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False

    def _make_machine(self, instance: str) -> LeaseMachine:
        return LeaseMachine(
            LEASE_AREA,
            instance,
            duration_s=self._handover_s + TERM_S,
            stop_early_s=self._handover_s,
            renew_s=RENEW_S,
            one_per_host=True,
            takeover_factor=CLOCK_MARGIN,
        )

    def term(self) -> LeaseTerm | None:
        """Return the term if this node may give orders at this moment.

        While the store does not answer, a term goes on as long as every other node has promised
        not to take the lease.
        """
        if self._stopping:
            return None
        now = self._clock()
        term = self.machine.term(now)
        if term is not None:
            self._last_term = term
            return term
        last = self._last_term
        if last is None or not self.machine.is_held or now >= self._promised_until() - MARGIN_S:
            return None
        return replace(last, valid_until=self._promised_until() - MARGIN_S)

    def inherit(self, view: FleetView) -> None:
        """Take what the present coordinator says of its lease and its orders."""
        self.machine.note_version(view.lease_version, self._clock())
        if view.orders is not None:
            self._inherited = view.orders

    def note_gone(self, instance: str, up_to_date: bool) -> None:
        """Take that a coordinator has ended or gives no more orders. ``up_to_date`` says that this
        node has heard of all its orders.
        """
        now = self._clock()
        self._gone.add(instance)
        if up_to_date and self._inherited is not None:
            self._certain.add(instance)
        else:
            self._not_before = max(self._not_before, now + self._handover_s)
        self.machine.note_gone(instance, now)

    @property
    def holder(self) -> str:
        """The instance that holds the lease as last read, empty where none does."""
        record = self.machine.last_record
        return "" if record is None or record.released else record.holder

    @property
    def holder_is_gone(self) -> bool:
        """Whether the holder as last read is known to have ended or resigned."""
        return self.holder in self._gone

    def set_config(self, config: FleetConfig) -> None:
        """Use another version of the configuration."""
        self._config = config
        if self.coordinator is not None:
            self.coordinator.set_config(config, self._clock())
            self.coordinator.take_directory(self._clock())
            self.step()

    def take_directory(self) -> None:
        """Look at the registered upstreams again."""
        if self.coordinator is not None:
            self.coordinator.take_directory(self._clock())
            self.step()

    def take_status(self, status: NodeStatus) -> None:
        """Take a node's status; requests that wait are acted on at once."""
        if self.coordinator is not None:
            self.coordinator.take_status(status, self._clock())
            if status.wants:
                self.step()

    async def run(self) -> None:
        """Compete for the lease and plan, until cancelled.

        The two run apart, because a call of the store may take long while the term goes on.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_lease())
            group.create_task(self._run_plan())

    async def _run_lease(self) -> None:
        while True:
            await self._keep_lease()
            await asyncio.sleep(STEP_S)

    async def _run_plan(self) -> None:
        while True:
            self._follow_term()
            term = self.term()
            if term is not None and term.valid_until - self._clock() < TERM_S - GIVE_UP_S:
                self._give_up_unless_promised()
            self._give_up_if_passed_over()
            self.step()
            await asyncio.sleep(STEP_S)

    async def resign(self) -> None:
        """Give no more orders, say so to the other nodes, and release the lease."""
        held = self.term() is not None
        self._stopping = True
        self._follow_term()
        if not held:
            return
        self._announce_end(self.machine.instance)
        for action in self.machine.release(self._clock()):
            await self._perform(action)

    @property
    def _store_lost(self) -> bool:
        """Whether the last renewals of the lease had no answer."""
        term = self.machine.term(self._clock())
        return term is None or term.valid_until - self._clock() < TERM_S - STORE_LOST_S

    def note_store_reached(self) -> None:
        """Take that another node reaches the store: it can coordinate better than this one, unless
        the store has just returned and this node's next renewal succeeds too.
        """
        if not self._store_lost:
            return
        now = self._clock()
        if self.machine.term(now) is not None:
            self.give_up_term()
        elif self._give_up_at is None:
            self._give_up_at = now + REGAIN_S

    def _give_up_if_passed_over(self) -> None:
        """Give up a term on promises where other nodes reach the store and this one does not."""
        if self._give_up_at is not None and self._clock() >= self._give_up_at:
            self._give_up_at = None
            if self._store_lost:
                self.give_up_term()

    def _give_up_unless_promised(self) -> None:
        """Give up a term that ends, unless the nodes' promises let it go on."""
        if self._promised_until() - MARGIN_S - self._clock() < TERM_S - GIVE_UP_S:
            self.give_up_term()

    def give_up_term(self) -> None:
        """End the term, because the store does not answer or this node is cut off, so that another
        node can go on now.
        """
        if self.term() is None:
            return
        given_up = self.machine.instance
        self._last_term = None
        self.machine = self._make_machine(f"{self._settings.name}:{secrets.token_hex(4)}")
        log.warning("lease given up", step="lease", epoch=self._epoch, instance=given_up)
        self._metrics.count("lease_given_up")
        self._follow_term()
        self._announce_end(given_up)

    def step(self) -> None:
        """Plan once and start what is due, or soon where the last plan was just made."""
        coordinator = self.coordinator
        term = self.term()
        if coordinator is None or term is None:
            return
        now = self._clock()
        wait_s = self._planned_at + self._plan_every_s(coordinator) - now
        if wait_s > 0:
            if self._planned_soon is None:
                loop = asyncio.get_running_loop()
                self._planned_soon = loop.call_later(wait_s, self._step_soon)
            return
        self._planned_at = now
        for action in coordinator.decide(now):
            match action:
                case GiveOrder():
                    self._start(self._give(coordinator, action))
                case AskReport(entry):
                    self._start(self._ask(coordinator, entry))
        ready_at = coordinator.next_ready_at(now)
        if ready_at is not None:
            asyncio.get_running_loop().call_later(ready_at - now + 0.0005, self._note_ready)
        self._publish_view(coordinator, term, now)

    def _step_soon(self) -> None:
        self._planned_soon = None
        self.step()

    def _plan_every_s(self, coordinator: Coordinator) -> float:
        """Return the least time between two plans, in seconds, which grows with what a plan
        costs, so that planning takes at most a small share of the node's time.
        """
        return min(MAX_PLAN_EVERY_S, PLAN_EVERY_S * max(1.0, len(coordinator.books) / 6.0))

    def _note_ready(self) -> None:
        if self.coordinator is not None:
            self.coordinator.changes += 1
            term = self.term()
            if term is not None:
                self._publish_view(self.coordinator, term, self._clock())

    def _publish_view(self, coordinator: Coordinator, term: LeaseTerm, now: float) -> None:
        changed = coordinator.changes != self._published
        self._published = coordinator.changes
        residency = coordinator.residency(now) if changed else None
        if residency is not None:
            orders = coordinator.inheritance(now)
            self._publish(self._make_view(coordinator, term, residency, orders))

    def current_view(self) -> FleetView | None:
        """Return a complete view for a node that has just connected."""
        term, coordinator = self.term(), self.coordinator
        if term is None or coordinator is None:
            return None
        now = self._clock()
        residency, orders = coordinator.residency(now), coordinator.inheritance(now)
        return self._make_view(coordinator, term, residency, orders)

    def load_view(self) -> FleetView | None:
        """Return a view with loads only."""
        term, coordinator = self.term(), self.coordinator
        if term is None or coordinator is None:
            return None
        return self._make_view(coordinator, term)

    def _make_view(
        self,
        coordinator: Coordinator,
        term: LeaseTerm,
        residency: Mapping[str, OrderedResidency] | None = None,
        orders: Inheritance | None = None,
    ) -> FleetView:
        return FleetView(
            term.epoch,
            self.machine.version,
            coordinator.nodes,
            coordinator.loads,
            residency,
            orders,
            self._store_lost,
        )

    # Steps

    async def _keep_lease(self) -> None:
        if self._stopping or (self.term() is None and not self._competes()):
            return
        machine = self.machine
        for action in machine.tick(self._clock()):
            await self._perform(action)

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
        if not self._settings.first_start and self._inherited is None:
            delay_s += UNINFORMED_DELAY_S
        return now - self._leaderless_since >= delay_s

    async def _perform(self, action: ReadLease | WriteLease) -> None:
        machine = self.machine
        match action:
            case ReadLease():
                read = await self._store.get(machine.key)
                machine.on_read(read, self._clock())
            case WriteLease(value, expected):
                wrote = await self._store.put(machine.key, value, expected)
                machine.on_write(wrote, self._clock())

    def _follow_term(self) -> None:
        """Start or end the coordinator's work as the lease is taken or lost."""
        term = self.term()
        if term is None:
            if self.coordinator is not None:
                log.warning("coordination ended", step="lease", epoch=self._epoch)
                self.coordinator = None
            return
        if self.coordinator is not None and term.epoch == self._epoch:
            return
        now = self._clock()
        self._epoch = term.epoch
        inherited = self._inheritance(term, now)
        self.coordinator = Coordinator(self._directory, self._settings.bounds, inherited)
        log.info(
            "coordination begun",
            step="lease",
            epoch=term.epoch,
            orders_known=len(inherited.last_orders),
            cold_loads_known=inherited.cold_loads is not None,
            wait_s=round(max(0.0, inherited.not_before - now), 3),
        )
        self._metrics.count("coordination_begun")
        if self._config is not None:
            self.coordinator.set_config(self._config, now)
            self.coordinator.take_directory(now)

    def _inheritance(self, term: LeaseTerm, now: float) -> Inheritance:
        """Return what is known of the orders before this term."""
        if self._settings.first_start and term.epoch == 1:
            return Inheritance(cold_loads={})
        known = self._inherited or Inheritance()
        released = term.acknowledged - self._certain
        # A holder that released the lease without a word to this node may just have ordered.
        not_before = max(now + self._handover_s if released else now, self._not_before)
        return Inheritance(known.last_orders, known.cold_loads, not_before)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_done)

    def _note_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("order failed", step="give_order", exc_info=task.exception())

    async def _give(self, coordinator: Coordinator, action: GiveOrder) -> None:
        again: GiveOrder | None = action
        while again is not None:
            answer = await self._runner.give(again)
            if answer is None or self.coordinator is not coordinator:
                return
            again = coordinator.take_answer(again.entry.instance, answer, self._clock())
            self.step()

    async def _ask(self, coordinator: Coordinator, entry: UpstreamEntry) -> None:
        asked_at = self._clock()
        read = await self._runner.read_report(entry)
        if self.coordinator is not coordinator:
            return
        if isinstance(read, Err):
            self._metrics.count("reports_failed")
            log.warning(
                "report not read",
                step="read_report",
                upstream=entry.instance,
                peer=entry.address,
                detail=str(read.err_value),
            )
            return
        used = coordinator.take_report(entry.instance, read.ok_value, asked_at, self._clock())
        log.info(
            "report read",
            step="read_report",
            upstream=entry.instance,
            used=used,
            accepted_orders=read.ok_value.accepted_orders,
            in_progress=read.ok_value.order_in_progress,
            residents=sorted(read.ok_value.residents),
            running=read.ok_value.running,
        )
        self.step()
