"""Runs the coordinator on the node that holds the lease."""

import asyncio
from collections.abc import Callable, Coroutine

import structlog
from result import Err

from ..fleet import EntrySettings, FleetConfig, UpstreamDirectory, UpstreamEntry
from ..leases import LeaseMachine, LeaseTerm, ReadLease, WriteLease
from ..metrics import Metrics
from ..objects import ObjectStore
from ..ordering import AskReport, Coordinator, GiveOrder, NodeStatus
from .messages import FleetView
from .order_runner import OrderRunner

__all__ = ["Leadership"]

log = structlog.get_logger()

LEASE_AREA = "engine-orders"
# How long a holder may act after it has sent its last renewal, in seconds: long enough for two
# more tries, short enough that a successor takes over soon.
TERM_S = 1.3
RENEW_S = 0.4
# An order that was sent in the last moment of a term arrives within this time, in seconds.
TRANSIT_S = 0.4
# The lease and the coordinator's plan are looked at this often, in seconds.
STEP_S = 0.02


class Leadership:
    """Competes for the lease, and while it holds it, plans and gives orders.

    ``publish`` is called with each new view for the nodes. ``has_leader`` says that the node has a
    live link to another coordinator, so that the lease need not be looked at.
    """

    def __init__(
        self,
        settings: EntrySettings,
        instance: str,
        store: ObjectStore,
        directory: UpstreamDirectory,
        runner: Callable[[Callable[[], LeaseTerm | None]], OrderRunner],
        clock: Callable[[], float],
        metrics: Metrics,
        publish: Callable[[FleetView], None],
        has_leader: Callable[[], bool],
    ) -> None:
        handover_s = settings.bounds.order_handover_s + TRANSIT_S
        self.machine = LeaseMachine(
            LEASE_AREA,
            instance,
            duration_s=handover_s + TERM_S,
            stop_early_s=handover_s,
            renew_s=RENEW_S,
            one_per_host=True,
        )
        self.coordinator: Coordinator | None = None
        self._settings = settings
        self._store = store
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._publish = publish
        self._has_leader = has_leader
        self._runner = runner(self.term)
        self._config: FleetConfig | None = None
        self._epoch = 0
        self._published = -1
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False

    def term(self) -> LeaseTerm | None:
        """Return the term if this node may give orders at this moment."""
        return None if self._stopping else self.machine.term(self._clock())

    @property
    def holder(self) -> str:
        """The instance that holds the lease as last read, empty where none does."""
        record = self.machine.last_record
        return "" if record is None or record.released else record.holder

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
            self.step()
            await asyncio.sleep(STEP_S)

    async def resign(self) -> None:
        """Give no more orders, and hand the lease over once none can be on its way."""
        held = self.term() is not None
        self._stopping = True
        self._follow_term()
        if not held:
            return
        await asyncio.sleep(self._settings.bounds.order_handover_s)
        for action in self.machine.release(self._clock()):
            await self._perform(action)

    def step(self) -> None:
        """Plan once and start what is due."""
        coordinator = self.coordinator
        term = self.term()
        if coordinator is None or term is None:
            return
        now = self._clock()
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
        view = FleetView(term.epoch, coordinator.nodes, coordinator.loads(), residency)
        if changed:
            self._publish(view)

    def current_view(self) -> FleetView | None:
        """Return a complete view for a node that has just connected."""
        term, coordinator = self.term(), self.coordinator
        if term is None or coordinator is None:
            return None
        residency = coordinator.residency(self._clock())
        return FleetView(term.epoch, coordinator.nodes, coordinator.loads(), residency)

    def load_view(self) -> FleetView | None:
        """Return a view with loads only."""
        term, coordinator = self.term(), self.coordinator
        if term is None or coordinator is None:
            return None
        return FleetView(term.epoch, coordinator.nodes, coordinator.loads())

    # Steps

    async def _keep_lease(self) -> None:
        if self._stopping or (self.term() is None and self._has_leader()):
            return
        for action in self.machine.tick(self._clock()):
            await self._perform(action)

    async def _perform(self, action: ReadLease | WriteLease) -> None:
        match action:
            case ReadLease():
                read = await self._store.get(self.machine.key)
                self.machine.on_read(read, self._clock())
            case WriteLease(value, expected):
                wrote = await self._store.put(self.machine.key, value, expected)
                self.machine.on_write(wrote, self._clock())

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
        first = self._settings.first_start and term.epoch == 1
        self.coordinator = Coordinator(self._directory, self._settings.bounds, now, first)
        log.info("coordination begun", step="lease", epoch=term.epoch, first_start=first)
        self._metrics.count("coordination_begun")
        if self._config is not None:
            self.coordinator.set_config(self._config, now)
            self.coordinator.take_directory(now)

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
