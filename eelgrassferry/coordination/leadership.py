"""The driver of the coordinator on the node that holds the lease."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import replace

import structlog
from result import Err

from ..dispatch import (
    NO_LOAD,
    CoordinatorResidency,
    CrashAnalyzer,
    PrefillSlownessEstimator,
    SlownessFactors,
    TurnBook,
    TurnReply,
    TurnRequest,
    UpstreamLoad,
    UpstreamNotices,
)
from ..fleet import EntrySettings, FleetConfig, UpstreamDirectory, UpstreamEntry
from ..leases import LeaseTerm
from ..metrics import Metrics
from ..ordering import (
    Coordinator,
    NodeStatus,
    OrderHistory,
    OrderUpdate,
    ReadReport,
    SendOrder,
    Takeover,
)
from .lease_holder import STEP_S, LeaseHolder
from .messages import FleetView
from .order_runner import OrderRunner
from .plan_pacer import PlanPacer

__all__ = ["Leadership"]

log = structlog.get_logger()

# Minimum time between two updates of slowness factors, in seconds, and the relative change from
# which on a factor is sent. Each update is sent to every node.
SLOWNESS_INTERVAL_S = 0.5
MIN_SLOWNESS_CHANGE = 0.1


class Leadership:
    """Driver that runs the coordinator while this node holds the lease.

    It plans, sends orders to engines and reads their reports. ``publish`` is called with each new
    view, which is to be sent to all nodes. ``slowness`` is this node's own estimator; while this
    node coordinates, it also receives the samples of all other nodes. ``crashes`` contains the
    observations on crashed upstreams to publish, and ``notices`` what upstreams say of themselves.
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
        slowness: PrefillSlownessEstimator,
        crashes: CrashAnalyzer,
        notices: UpstreamNotices,
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
        self._last_residency: dict[str, CoordinatorResidency] = {}
        self._fully_known_holders: set[str] = set()
        self._own_orders: Mapping[str, float] = {}
        self._orders_not_before = float("-inf")
        self._config: FleetConfig | None = None
        self._epoch = 0
        self._view_epoch = 0
        self._published_changes = -1
        self._sent_residency: Mapping[str, CoordinatorResidency] = {}
        self._sent_loads: dict[str, UpstreamLoad] = {}
        self._slowness = slowness
        self._crashes = crashes
        self._notices = notices
        self._sent_slowness = SlownessFactors()
        self._slowness_sent_at = float("-inf")
        self._turns = TurnBook()
        self._pacer = PlanPacer()
        self._plan_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def term(self) -> LeaseTerm | None:
        """Return the current term, or None while this node may not send orders."""
        return self.lease.term()

    @property
    def has_order_history(self) -> bool:
        """Whether the orders of the previous coordinator are known."""
        return self._history.is_known

    def record_view(self, view: FleetView) -> None:
        """Record the lease version, the orders and their effect from the coordinator's view.

        The end of an own term is recorded first, so that it does not replace what the view says. A
        view of an earlier term than the last known one is ignored.
        """
        self._end_lost_term()
        self.lease.record_epoch(view.epoch)
        if view.epoch < max(self._epoch, self._view_epoch):
            return
        self._view_epoch = view.epoch
        self.lease.record_version(view.lease_version)
        if view.complete:
            self._last_residency.clear()
        self._last_residency.update(view.residency)
        if view.orders is not None:
            self._history.apply(view.orders, view.complete, self._clock())

    def on_coordinator_ended(self, instance: str, up_to_date: bool) -> None:
        """Handle that a coordinator has ended or sends no more orders.

        ``up_to_date`` is whether this node has been notified of all its orders. If it has not, this
        node sends no orders for the handover time, because earlier ones may still be in transit.
        """
        if up_to_date and self.has_order_history:
            self._fully_known_holders.add(instance)
        else:
            not_before = self._clock() + self.lease.handover_s
            self._orders_not_before = max(self._orders_not_before, not_before)
        self.lease.on_holder_ended(instance)

    def set_config(self, config: FleetConfig) -> None:
        """Apply a new version of the configuration."""
        self._config = config
        if self.coordinator is not None:
            self.coordinator.set_config(config, self._clock())
            self.coordinator.apply_directory(self._clock())
            self.request_plan()

    def apply_directory(self) -> None:
        """Apply the current state of the upstream directory."""
        if self.coordinator is not None:
            self.coordinator.apply_directory(self._clock())
            self.request_plan()

    def update_status(self, status: NodeStatus) -> None:
        """Apply a node's status; plan at once if requests are waiting at the node."""
        if self.coordinator is not None:
            self.coordinator.update_status(status, self._clock())
            if status.node != self._settings.name:
                for sample in status.slowness_samples:
                    self._slowness.record(sample)
            if status.pending_demand:
                self.request_plan()

    def book_turns(self, requests: Iterable[TurnRequest], share: float) -> list[TurnReply]:
        """Book turns at upstreams that limit their rate.

        ``share`` is the share of the limits that the coordinator books; nodes without contact to
        it use the rest by themselves. An upstream whose limit is not known here has none, or its
        first notice is on the way: it gets the requests at once.
        """
        now = self._clock()
        replies = []
        for request in requests:
            limit_per_s = self._notices.limit_per_s(request.process_id)
            if limit_per_s is None:
                turns = (now,) * request.count
                replies.append(TurnReply(request.process_id, request.count, turns, now))
            else:
                replies.append(self._turns.book(request, share * limit_per_s, now))
        return replies

    async def run(self) -> None:
        """Compete for the lease and plan while it is held, until cancelled.

        Both run as separate tasks, because a call to the store may take long and planning has to
        continue during the term.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self.lease.run())
            group.create_task(self._run_plan())

    async def _run_plan(self) -> None:
        while True:
            self.lease.give_up_overdue_term()
            self._apply_term()
            self.request_plan()
            await asyncio.sleep(STEP_S)

    async def resign(self) -> None:
        """Stop sending orders and release the lease to another node."""
        await self.lease.resign()
        self._apply_term()

    def request_plan(self) -> None:
        """Plan as soon as the pause after the previous plan is over.

        The plan never runs within the caller, so the statuses that have arrived together lead to
        one plan.
        """
        if self.coordinator is None or self._plan_timer is not None:
            return
        delay_s = max(0.0, self._pacer.next_at - self._clock())
        self._plan_timer = asyncio.get_running_loop().call_later(delay_s, self._plan)

    def _plan(self) -> None:
        """Plan, start the actions that are due and publish what has changed."""
        self._plan_timer = None
        coordinator = self.coordinator
        term = self.term()
        if coordinator is None or term is None:
            return
        now = self._clock()
        for action in coordinator.decide(now):
            match action:
                case SendOrder():
                    self._start(self._send_order(coordinator, action))
                case ReadReport(entry):
                    self._start(self._read_report(coordinator, entry))
        ready_at = coordinator.next_ready_at(now)
        if ready_at is not None:
            asyncio.get_running_loop().call_later(ready_at - now + 0.0005, self._on_engine_ready)
        self._publish_view(coordinator, term, now)
        self._pacer.record_plan(now, self._clock(), len(coordinator.trackers))

    def _on_engine_ready(self) -> None:
        if self.coordinator is not None:
            self.coordinator.changes += 1
            term = self.term()
            if term is not None:
                self._publish_view(self.coordinator, term, self._clock())

    def _publish_view(self, coordinator: Coordinator, term: LeaseTerm, now: float) -> None:
        """Publish the changes of the engines' residency and the orders since the last view."""
        if coordinator.changes == self._published_changes:
            return
        self._published_changes = coordinator.changes
        residency = coordinator.residency(now)
        changed = {
            instance: engine
            for instance, engine in residency.items()
            if self._sent_residency.get(instance) != engine
        }
        self._sent_residency = residency
        if changed or coordinator.has_order_update():
            orders = coordinator.pop_order_update(now)
            self._publish(self._make_view(coordinator, term, {}, changed, orders))

    def publish_loads(self) -> None:
        """Publish the loads that have changed.

        A view is published even without changes, as a sign that this node still coordinates.
        """
        term, coordinator = self.term(), self.coordinator
        if term is None or coordinator is None:
            return
        loads = {instance: load.rounded() for instance, load in coordinator.loads.items()}
        changed = {
            instance: loads.get(instance, NO_LOAD)
            for instance in loads.keys() | self._sent_loads.keys()
            if loads.get(instance, NO_LOAD) != self._sent_loads.get(instance, NO_LOAD)
        }
        self._sent_loads = loads
        view = self._make_view(coordinator, term, changed, {})
        slowness, crashes = self._pop_slowness_updates(), self._crashes.pop_updates()
        notices = self._notices.pop_updates()
        self._publish(replace(view, slowness=slowness, crashes=crashes, notices=notices))

    def _pop_slowness_updates(self) -> SlownessFactors:
        """Return the slowness factors that are due to be sent, and mark them as sent."""
        now = self._clock()
        if now - self._slowness_sent_at < SLOWNESS_INTERVAL_S:
            return SlownessFactors()
        self._slowness_sent_at = now
        factors = self._slowness.factors
        updates = factors.changed_since(self._sent_slowness, MIN_SLOWNESS_CHANGE)
        self._sent_slowness = self._sent_slowness.merged(updates, factors)
        return updates

    def complete_view(self) -> FleetView | None:
        """Return a complete view for a node that has just connected, or None without a term.

        It contains the state that was last sent to the other nodes, because the next view contains
        only the changes since then.
        """
        term, coordinator = self.term(), self.coordinator
        if term is None or coordinator is None:
            return None
        orders = coordinator.full_order_update(self._clock())
        sent = (self._sent_loads, self._sent_residency)
        view = self._make_view(coordinator, term, *sent, orders)
        return replace(
            view,
            complete=True,
            slowness=self._sent_slowness,
            crashes=self._crashes.all_evidence(),
            notices=self._notices.all(),
        )

    def _make_view(
        self,
        coordinator: Coordinator,
        term: LeaseTerm,
        loads: Mapping[str, UpstreamLoad],
        residency: Mapping[str, CoordinatorResidency],
        orders: OrderUpdate | None = None,
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

    # Terms, orders and reports

    def _apply_term(self) -> None:
        """Start or stop the coordinator after the lease was acquired or lost."""
        self._end_lost_term()
        term = self.term()
        if term is None or self.coordinator is not None:
            return
        now = self._clock()
        self._epoch = term.epoch
        takeover = self._make_takeover(term, now)
        self.coordinator = Coordinator(
            self._directory, self._settings.bounds, takeover, self._slowness, self._notices
        )
        self._published_changes, self._sent_residency, self._sent_loads = -1, {}, {}
        self._sent_slowness = SlownessFactors()
        self._turns = TurnBook()
        log.info(
            "coordination begun",
            step="lease",
            epoch=term.epoch,
            orders_known=len(takeover.last_orders),
            cold_loads_known=takeover.cold_loads is not None,
            wait_s=round(max(0.0, takeover.not_before - now), 3),
        )
        self._metrics.count("coordination_begun")
        if self._config is not None:
            self.coordinator.set_config(self._config, now)
            self.coordinator.apply_directory(now)
        # Complete views sent from now on contain the orders of the previous coordinator.
        self.coordinator.pop_order_update(now)

    def _end_lost_term(self) -> None:
        """End the coordinator if its term is over, also if this node has a new one already.

        Its orders are recorded for the next time that this node coordinates. A new term may follow
        at once: the lease is renewed with another epoch after an outage of the store.
        """
        term, coordinator = self.term(), self.coordinator
        if coordinator is None or (term is not None and term.epoch == self._epoch):
            return
        now = self._clock()
        coordinator.pop_order_update(now)
        self._last_residency = dict(coordinator.residency(now))
        self._own_orders = coordinator.own_orders()
        # Orders of a holder before that one may still be in transit.
        self._orders_not_before = max(self._orders_not_before, coordinator.not_before)
        self._history.apply(coordinator.full_order_update(now), complete=True, now=now)
        self.coordinator = None
        log.warning(
            "coordination ended",
            step="lease",
            epoch=self._epoch,
            next_epoch=None if term is None else term.epoch,
            own_orders=len(self._own_orders),
        )

    def _make_takeover(self, term: LeaseTerm, now: float) -> Takeover:
        """Return the state that a new coordinator takes over about orders before this term."""
        if self._settings.first_start and term.is_first:
            return Takeover(cold_loads={})
        known = self._history.takeover(now)
        released = term.acknowledged - self._fully_known_holders
        # A holder that released the lease without notifying this node may just have sent an order.
        not_before = max(now + self.lease.handover_s if released else now, self._orders_not_before)
        if not self.has_order_history:
            # The previous process on this host may have taken over from another host just now.
            sole_host_since = now if term.sole_host_since is None else term.sole_host_since
            not_before = max(not_before, sole_host_since + self.lease.handover_s)
        return replace(
            known,
            not_before=not_before,
            residency=self._last_residency,
            own_orders=self._own_orders,
        )

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("order failed", step="give_order", exc_info=task.exception())

    async def _send_order(self, coordinator: Coordinator, action: SendOrder) -> None:
        next_order: SendOrder | None = action
        # An order of a coordinator that was replaced must not be sent in the term of the next one.
        while next_order is not None and self.coordinator is coordinator:
            answer = await self._runner.send(next_order)
            if answer is None or self.coordinator is not coordinator:
                return
            next_order = coordinator.on_answer(next_order, answer, self._clock())
            self.request_plan()

    async def _read_report(self, coordinator: Coordinator, entry: UpstreamEntry) -> None:
        requested_at = self._clock()
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
        used = coordinator.apply_report(entry.instance, read.ok_value, requested_at, self._clock())
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
        self.request_plan()
