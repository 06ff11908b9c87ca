"""Planning and ordering of model and adapter loads for all engines, without I/O."""

from collections.abc import Container, Iterable
from dataclasses import dataclass

from ..dispatch import (
    CoordinatorResidency,
    PrefillSlownessEstimator,
    UpstreamLoad,
    UpstreamNotices,
)
from ..fleet import EngineSpec, FleetConfig, ServiceBounds, UpstreamDirectory, UpstreamEntry
from ..placement import OrderKind
from ..routing import UpstreamState
from .adapter_placement import place_adapter
from .cold_load_limiter import ColdLoadLimiter
from .demand_estimator import DemandEstimator
from .engine_report import EngineReport
from .engine_tracker import CopyState, EngineTracker
from .fleet_order import FleetOrder, OrderAnswer
from .node_status import NodeStatus
from .order_update import OrderUpdate
from .plan_state import PlanState
from .planner import LoadStep, Planner, RestoreStep, Step, UnloadStep, WithdrawStep
from .status_tracker import StatusTracker
from .takeover import Takeover

__all__ = ["Coordinator", "ReadReport", "SendOrder"]

# The prior rates are dropped this long after the first arrivals, in seconds: from then on the
# estimated demand is used alone.
PRIOR_DURATION_S = 5.0


@dataclass(frozen=True)
class SendOrder:
    """Instruction to send an order to an engine; ``reason`` is logged."""

    entry: UpstreamEntry
    order: FleetOrder
    reason: str


@dataclass(frozen=True)
class ReadReport:
    """Instruction to read the report of an engine."""

    entry: UpstreamEntry


class Coordinator:
    """Decides on the orders to all engines of all services during one lease term.

    ``takeover`` contains the recent orders of earlier lease holders, ``slowness`` the slowness
    factors of engines and ``notices`` what they say of themselves. ``trackers`` maps instances to
    the tracker of the current engine process. ``changes`` is incremented whenever the state
    published to the nodes may have changed.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        bounds: ServiceBounds,
        takeover: Takeover,
        slowness: PrefillSlownessEstimator,
        notices: UpstreamNotices,
    ) -> None:
        self.changes = 0
        self.trackers: dict[str, EngineTracker] = {}
        self._directory = directory
        self._bounds = bounds
        self._takeover = takeover
        self._slowness = slowness
        self._notices = notices
        self._config: FleetConfig | None = None
        self._demand = DemandEstimator()
        self._planners: dict[str, Planner] = {}
        self._statuses = StatusTracker()
        self._services_with_priors: set[str] = set()
        self._demand_since: float | None = None
        self._published_orders: dict[str, float] = {}
        self._published_begun_counts: dict[str, int] = {}
        self._published_pending_loads: dict[str, int] = {}

    # Inputs

    def set_config(self, config: FleetConfig, now: float) -> None:
        """Set the configuration and create planners for new services."""
        self._config = config
        for service in config.services.values():
            if service.engine is None:
                continue
            planner = self._planners.get(service.name)
            if planner is not None:
                planner.set_service(service)
                continue
            rate = service.engine.cold_loads_per_s
            known = self._takeover.cold_loads
            begin_times = None if known is None else known.get(service.name, ())
            load_s = max(model.load_s for model in service.engine.models.values())
            limiter = ColdLoadLimiter(self._bounds, rate, load_s, now, begin_times)
            self._planners[service.name] = Planner(service, self._demand, limiter)

    def update_status(self, status: NodeStatus, now: float) -> None:
        """Update the state with the status of a node."""
        self._statuses.update(status, now)
        if status.arrivals and self._demand_since is None:
            self._demand_since = now
        for (service, model), (count, work_s) in status.arrivals.items():
            self._demand.record_arrivals(service, model, count, work_s, now)
        in_use = (key for key in status.running if key[2])
        for instance, model, adapter in (*status.used_adapters, *in_use):
            tracker = self.trackers.get(instance)
            if tracker is not None:
                tracker.used_at[model, adapter] = now
        for instance, weight in status.suspicions.items():
            if instance in self.trackers:
                self.trackers[instance].record_suspicion(weight, now)
        for instance in status.declined_by:
            if instance in self.trackers:
                self.trackers[instance].on_declined(now)

    def remove_node(self, node: str) -> None:
        """Remove the status of a node that has left or failed."""
        self._statuses.remove(node)

    def apply_directory(self, now: float) -> None:
        """Synchronize the trackers with the registered upstreams."""
        if self._config is None:
            return
        registered = set()
        for service in self._config.services.values():
            if service.engine is None:
                continue
            for entry in self._directory.of_service(service.name):
                registered.add(entry.instance)
                tracker = self.trackers.get(entry.instance)
                if tracker is None or not tracker.entry.is_same_process(entry):
                    if tracker is not None:
                        self._limiter(tracker).confirm_load(entry.instance, now)
                    tracker = self._create_tracker(entry, service.engine, now)
                    self.trackers[entry.instance] = tracker
                    self.changes += 1
                elif tracker.entry is not entry:
                    tracker.apply_entry(entry, now)
                    self.changes += 1
                tracker.set_spec(service.engine)
        for instance in [instance for instance in self.trackers if instance not in registered]:
            self._limiter(self.trackers.pop(instance)).confirm_load(instance, now)
            self.changes += 1

    def apply_report(
        self, instance: str, report: EngineReport, requested_at: float, now: float
    ) -> bool:
        """Apply an engine's report that was requested at ``requested_at``.

        Returns whether the report was used.
        """
        tracker = self.trackers.get(instance)
        if tracker is None:
            return False
        used = tracker.apply_report(report, requested_at, now)
        self.changes += int(used)
        if used:
            self._limiter(tracker).update_accepted_orders(instance, report.accepted_orders, now)
        return used

    def on_answer(self, sent: SendOrder, answer: OrderAnswer, now: float) -> SendOrder | None:
        """Process the answer to an order; return the order if it is to be sent again."""
        tracker = self.trackers.get(sent.entry.instance)
        if tracker is None or tracker.pending is not sent.order:
            # The engine has ended, or a new process with the same id has its own orders.
            return None
        self._record_answer(tracker, sent.order, answer, now)
        repeat = tracker.on_answer(answer, now)
        self.changes += 1
        return SendOrder(tracker.entry, repeat, "no answer") if repeat is not None else None

    # Decisions

    def decide(self, now: float) -> list[SendOrder | ReadReport]:
        """Return the orders to send and the reports to read now."""
        if self._config is None:
            return []
        actions: list[SendOrder | ReadReport] = []
        for tracker in self.trackers.values():
            is_leaving = tracker.entry.state is not UpstreamState.LIVE
            if not is_leaving and not tracker.is_suspected(now) and tracker.needs_report(now):
                tracker.record_report_request(now)
                actions.append(ReadReport(tracker.entry))
        self._statuses.expire(now)
        waiting, adapters = self._statuses.pending_demand()
        for name, planner in self._planners.items():
            service = self._config.services.get(name)
            if service is None or service.engine is None:
                continue
            trackers = [
                tracker
                for tracker in self.trackers.values()
                if tracker.entry.service == name
                and tracker.entry.state is UpstreamState.LIVE
                and not tracker.is_suspected(now)
            ]
            self._learn_priors(name, planner, trackers)
            if self._demand_since is not None and now - self._demand_since > PRIOR_DURATION_S:
                planner.drop_priors()
            limits_per_s = self._limits_per_s(trackers)
            actions += self._order_adapters(adapters.get(name, {}), trackers, limits_per_s, now)
            state = PlanState(
                name,
                trackers,
                waiting.get(name, {}),
                self._statuses.running,
                self._statuses.loads,
                self._demand,
                self._slowness,
                now,
                limits_per_s,
            )
            for step in planner.plan(state):
                action = self._apply_step(step, now)
                if action is not None:
                    actions.append(action)
        return actions

    def _limits_per_s(self, trackers: Iterable[EngineTracker]) -> dict[str, float]:
        """Return the limits that engines name, by instance, in requests per second."""
        limits = {
            tracker.instance: self._notices.limit_per_s(tracker.entry.process_id)
            for tracker in trackers
        }
        return {instance: limit for instance, limit in limits.items() if limit is not None}

    def residency(self, now: float) -> dict[str, CoordinatorResidency]:
        """Return the published state of each engine, by instance."""
        return {
            instance: CoordinatorResidency(
                started_ms=tracker.entry.started_ms,
                adapters=self._ready_adapters(tracker, now),
                live=frozenset(
                    model for model, copy in tracker.copies.items() if copy.state is CopyState.LIVE
                ),
                loading={
                    model: copy.due
                    for model, copy in tracker.copies.items()
                    if copy.state is CopyState.LOADING
                },
            )
            for instance, tracker in self.trackers.items()
            if tracker.synced or tracker.copies
        }

    def next_ready_at(self, now: float) -> float | None:
        """Return when the next adapter in transit should be usable, None if there is none."""
        times = [
            ready_at
            for tracker in self.trackers.values()
            for ready_at in tracker.adapters.values()
            if now < ready_at < float("inf")
        ]
        return min(times, default=None)

    @property
    def loads(self) -> dict[str, UpstreamLoad]:
        """Load of each upstream from all nodes, by instance."""
        return self._statuses.loads

    def has_order_update(self) -> bool:
        """Return whether an order was sent that is not published to the nodes yet."""
        return any(
            tracker.last_order_at > self._published_orders.get(instance, float("-inf"))
            for instance, tracker in self.trackers.items()
        )

    def pop_order_update(self, now: float) -> OrderUpdate:
        """Return the unpublished changes of the orders and mark them as published."""
        orders = {instance: tracker.last_order_at for instance, tracker in self.trackers.items()}
        recent = self._recent_orders(orders, now)
        changed = {i: at for i, at in recent.items() if self._published_orders.get(i) != at}
        begin_times: dict[str, tuple[float, ...]] = {}
        for name, planner in self._planners.items():
            count = planner.limiter.begun_count
            times = planner.limiter.begin_times_between(
                self._published_begun_counts.get(name, 0), count
            )
            if times:
                begin_times[name] = times
            self._published_begun_counts[name] = count
        pending_loads = {
            name: planner.limiter.pending_loads for name, planner in self._planners.items()
        }
        changed_pending_loads = {
            n: count
            for n, count in pending_loads.items()
            if self._published_pending_loads.get(n) != count
        }
        self._published_pending_loads = pending_loads
        self._published_orders = orders
        return OrderUpdate(changed, begin_times, changed_pending_loads)

    def full_order_update(self, now: float) -> OrderUpdate:
        """Return the whole published state of the orders, without entries that are too old."""
        return OrderUpdate(
            self._recent_orders(self._published_orders, now),
            {
                name: planner.limiter.begin_times_between(
                    0, self._published_begun_counts.get(name, 0)
                )
                for name, planner in self._planners.items()
            },
            dict(self._published_pending_loads),
        )

    def _recent_orders(self, orders: dict[str, float], now: float) -> dict[str, float]:
        """Return the orders that are recent enough to matter to a successor."""
        oldest = now - 2.0 * self._bounds.order_handover_s
        return {instance: at for instance, at in orders.items() if at >= oldest}

    @property
    def not_before(self) -> float:
        """Time before which this coordinator sends no order, in seconds."""
        return self._takeover.not_before

    def own_orders(self) -> dict[str, float]:
        """Return the last orders of the engines to which no other node has sent a later one."""
        before, own_before = self._takeover.last_orders, self._takeover.own_orders
        return {
            instance: tracker.last_order_at
            for instance, tracker in self.trackers.items()
            if tracker.has_ordered or own_before.get(instance) == before.get(instance)
        }

    @property
    def nodes(self) -> int:
        """Number of nodes that send their status, at least 1."""
        return max(1, len(self._statuses))

    # Steps

    def _order_adapters(
        self,
        wanted: dict[tuple[str, str], float],
        trackers: list[EngineTracker],
        limited: Container[str],
        now: float,
    ) -> Iterable[SendOrder]:
        """Begin and yield the orders for missing adapters, most urgent adapter first.

        ``wanted`` maps (model, adapter) pairs to the least remaining time of their requests, and
        ``limited`` contains the engines that limit their rate.
        """
        requests = {instance: load.requests for instance, load in self.loads.items()}
        for model, adapter in sorted(wanted, key=lambda pair: wanted[pair]):
            placed = place_adapter(model, adapter, trackers, wanted, requests, now, limited)
            if placed is not None:
                tracker, order = placed
                tracker.begin_order(order, now)
                self.changes += 1
                yield SendOrder(tracker.entry, order, f"requests wait for {model}/{adapter}")

    def _apply_step(self, step: Step, now: float) -> SendOrder | None:
        """Apply a step of the planner; return the order that it requires, if any."""
        tracker = self.trackers[step.instance]
        self.changes += 1
        match step:
            case WithdrawStep(_, model, replaced_by):
                tracker.withdraw(model, replaced_by, now)
                return None
            case LoadStep(_, model, reason):
                order = FleetOrder(OrderKind.LOAD_MODEL, model, tracker.order_count)
                if tracker.is_cold(model):
                    reason = f"{reason}, from the weight store"
            case RestoreStep(_, model):
                tracker.restore(model, now)
                return None
            case UnloadStep(_, model):
                order = FleetOrder(OrderKind.UNLOAD_MODEL, model, tracker.order_count)
                reason = "frees memory"
        tracker.begin_order(order, now)
        return SendOrder(tracker.entry, order, reason)

    def _record_answer(
        self, tracker: EngineTracker, order: FleetOrder, answer: OrderAnswer, now: float
    ) -> None:
        """Pass the answer to an order on to the limiter of loads from the weight store."""
        limiter = self._limiter(tracker)
        match answer:
            case OrderAnswer.ACCEPTED:
                limiter.update_accepted_orders(tracker.instance, order.expected_count + 1, now)
            case OrderAnswer.UNKNOWN:
                limiter.on_no_answer(tracker.instance)
            case _:
                limiter.on_refused(tracker.instance)

    def _limiter(self, tracker: EngineTracker) -> ColdLoadLimiter:
        """Return the limiter of an engine's service, which always has a planner."""
        return self._planners[tracker.entry.service].limiter

    def _create_tracker(
        self, entry: UpstreamEntry, engine: EngineSpec, now: float
    ) -> EngineTracker:
        takeover = self._takeover
        last_order_at = takeover.last_orders.get(entry.instance, float("-inf"))
        orders_allowed_at = takeover.not_before
        if takeover.own_orders.get(entry.instance) != last_order_at:
            handover_at = last_order_at + self._bounds.order_handover_s
            orders_allowed_at = max(orders_allowed_at, handover_at)
        # Earlier coordinators may have sent unknown orders until ``not_before``.
        tracker = EngineTracker(
            entry, engine, max(last_order_at, min(takeover.not_before, now)), orders_allowed_at
        )
        known = takeover.residency.get(entry.instance)
        if known is not None and known.started_ms == entry.started_ms:
            tracker.assume_residency(known, now)
        return tracker

    def _learn_priors(self, name: str, planner: Planner, trackers: list[EngineTracker]) -> None:
        """Set the prior rates of a service once the reports of all its live engines were read."""
        if (
            name not in self._services_with_priors
            and trackers
            and all(tracker.synced for tracker in trackers)
        ):
            self._services_with_priors.add(name)
            planner.learn_priors(trackers)

    def _ready_adapters(self, tracker: EngineTracker, now: float) -> dict[str, frozenset[str]]:
        """Return the adapters of an engine that are usable at ``now``, by model."""
        found: dict[str, set[str]] = {}
        for (model, adapter), ready_at in tracker.adapters.items():
            if ready_at <= now:
                found.setdefault(model, set()).add(adapter)
        return {model: frozenset(names) for model, names in found.items()}
