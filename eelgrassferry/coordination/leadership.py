"""Runs the coordinator on the node that holds the lease."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import replace

import structlog
from result import Err

from ..dispatch import NO_LOAD, OrderedResidency, PaceBook, PaceFactors, UpstreamLoad
from ..fleet import EntrySettings, FleetConfig, UpstreamDirectory, UpstreamEntry
from ..leases import LeaseTerm
from ..metrics import Metrics
from ..ordering import (
    AskReport,
    Coordinator,
    GiveOrder,
    Inheritance,
    NodeStatus,
    OrderHistory,
    OrderNews,
)
from .lease_holder import STEP_S, LeaseHolder
from .messages import FleetView
from .order_runner import OrderRunner

__all__ = ["Leadership"]

log = structlog.get_logger()

# Least time between two plans for six engines, and for any number, in seconds. A plan for six
# engines takes about a third of a millisecond.
PLAN_EVERY_S = 0.005
MAX_PLAN_EVERY_S = 0.05
# Nodes are told at most this often how fast upstreams read, in seconds, and only of changes by more
# than this share. Each is sent to every node.
PACES_EVERY_S = 0.5
PACE_CHANGE = 0.1


class Leadership:
    """Plans and gives orders while this node holds the lease.

    ``publish`` is called with each new view for the nodes. ``pace`` is the node's own, which learns
    from all nodes' observations while this node coordinates.
    """

    def __init__(
        self,
        settings: EntrySettings,
        lease: LeaseHolder,
        directory: UpstreamDirectory,
        runner: OrderRunner,
        clock: Callable[[], float],
        metrics: Metrics,
        publish: Callable[[FleetView], None],
        pace: PaceBook,
    ) -> None:
        self.lease = lease
        self.coordinator: Coordinator | None = None
        self._settings = settings
        self._directory = directory
        self._runner = runner
        self._clock = clock
        self._metrics = metrics
        self._publish = publish
        self._history = OrderHistory(settings.bounds)
        self._certain: set[str] = set()
        self._not_before = float("-inf")
        self._config: FleetConfig | None = None
        self._epoch = 0
        self._published = -1
        self._told_residency: Mapping[str, OrderedResidency] = {}
        self._told_loads: dict[str, UpstreamLoad] = {}
        self._pace = pace
        self._told_paces = PaceFactors()
        self._paces_told_at = float("-inf")
        self._planned_at = float("-inf")
        self._planned_soon: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def term(self) -> LeaseTerm | None:
        """Return the term if this node may give orders at this moment."""
        return self.lease.term()

    @property
    def is_informed(self) -> bool:
        """Whether the orders of a coordinator before are known."""
        return self._history.is_known

    def inherit(self, view: FleetView) -> None:
        """Take what the present coordinator says of its lease and its orders."""
        self.lease.note_version(view.lease_version)
        if view.orders is not None:
            self._history.take(view.orders, view.complete, self._clock())

    def note_gone(self, instance: str, up_to_date: bool) -> None:
        """Take that a coordinator has ended or gives no more orders. ``up_to_date`` says that this
        node has heard of all its orders.
        """
        if up_to_date and self.is_informed:
            self._certain.add(instance)
        else:
            not_before = self._clock() + self.lease.handover_s
            self._not_before = max(self._not_before, not_before)
        self.lease.note_gone(instance)

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
            if status.node != self._settings.name:
                for seen in status.paces:
                    self._pace.note(seen)
            if status.wants:
                self.step()

    async def run(self) -> None:
        """Hold the lease and plan, until cancelled.

        The two run apart, because a call of the store may take long while the term goes on.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self.lease.run())
            group.create_task(self._run_plan())

    async def _run_plan(self) -> None:
        while True:
            self.lease.check()
            self._follow_term()
            self.step()
            await asyncio.sleep(STEP_S)

    async def resign(self) -> None:
        """Give no more orders, and hand over to another node."""
        await self.lease.resign()
        self._follow_term()

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
        """Tell the nodes what has changed at engines, and which orders were given."""
        if coordinator.changes == self._published:
            return
        self._published = coordinator.changes
        residency = coordinator.residency(now)
        changed = {
            instance: known
            for instance, known in residency.items()
            if self._told_residency.get(instance) != known
        }
        self._told_residency = residency
        if changed or coordinator.has_order_news():
            orders = coordinator.take_order_news(now)
            self._publish(self._make_view(coordinator, term, {}, changed, orders))

    def publish_loads(self) -> None:
        """Tell the nodes which loads have changed, and that this node still coordinates."""
        term, coordinator = self.term(), self.coordinator
        if term is None or coordinator is None:
            return
        loads = {instance: load.rounded() for instance, load in coordinator.loads.items()}
        changed = {
            instance: loads.get(instance, NO_LOAD)
            for instance in loads.keys() | self._told_loads.keys()
            if loads.get(instance, NO_LOAD) != self._told_loads.get(instance, NO_LOAD)
        }
        self._told_loads = loads
        view = self._make_view(coordinator, term, changed, {})
        self._publish(replace(view, paces=self._take_pace_news()))

    def _take_pace_news(self) -> PaceFactors:
        """Return the paces that the nodes are to be told now, and count them as told."""
        now = self._clock()
        if now - self._paces_told_at < PACES_EVERY_S:
            return PaceFactors()
        self._paces_told_at = now
        known = self._pace.factors
        news = known.changed_since(self._told_paces, PACE_CHANGE)
        self._told_paces = self._told_paces.updated(news, known)
        return news

    def complete_view(self) -> FleetView | None:
        """Return a view of everything for a node that has just connected.

        It says what the other nodes were told, because the next view names the changes since then.
        """
        term, coordinator = self.term(), self.coordinator
        if term is None or coordinator is None:
            return None
        orders = coordinator.told_order_news(self._clock())
        told = (self._told_loads, self._told_residency)
        view = self._make_view(coordinator, term, *told, orders)
        return replace(view, complete=True, paces=self._told_paces)

    def _make_view(
        self,
        coordinator: Coordinator,
        term: LeaseTerm,
        loads: Mapping[str, UpstreamLoad],
        residency: Mapping[str, OrderedResidency],
        orders: OrderNews | None = None,
    ) -> FleetView:
        return FleetView(
            term.epoch,
            self.lease.version,
            coordinator.nodes,
            loads,
            residency,
            orders,
            self.lease.store_lost,
        )

    # Steps

    def _follow_term(self) -> None:
        """Start or end the coordinator's work as the lease is taken or lost."""
        term = self.term()
        if term is None:
            if self.coordinator is not None:
                log.warning("coordination ended", step="lease", epoch=self._epoch)
                self._remember(self.coordinator)
                self.coordinator = None
            return
        if self.coordinator is not None and term.epoch == self._epoch:
            return
        now = self._clock()
        self._epoch = term.epoch
        inherited = self._inheritance(term, now)
        self.coordinator = Coordinator(
            self._directory, self._settings.bounds, inherited, self._pace
        )
        self._published, self._told_residency, self._told_loads = -1, {}, {}
        self._told_paces = PaceFactors()
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
        # Nodes that connect from now on are told what was inherited.
        self.coordinator.take_order_news(now)

    def _remember(self, coordinator: Coordinator) -> None:
        """Keep what this node has ordered itself, for the next time that it coordinates."""
        now = self._clock()
        coordinator.take_order_news(now)
        self._history.take(coordinator.told_order_news(now), complete=True, now=now)

    def _inheritance(self, term: LeaseTerm, now: float) -> Inheritance:
        """Return what is known of the orders before this term."""
        if self._settings.first_start and term.epoch == 1:
            return Inheritance(cold_loads={})
        known = self._history.inheritance(now)
        released = term.acknowledged - self._certain
        # A holder that released the lease without a word to this node may just have ordered.
        not_before = max(now + self.lease.handover_s if released else now, self._not_before)
        if not self.is_informed:
            # The process before this one on the host may have followed another host just now.
            sole_host_since = now if term.sole_host_since is None else term.sole_host_since
            not_before = max(not_before, sole_host_since + self.lease.handover_s)
        return replace(known, not_before=not_before)

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
            again = coordinator.take_answer(again, answer, self._clock())
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
