"""State machine that controls placement in one planning area."""

from collections.abc import Iterable

from result import Err, Result

from ..leases import LeaseTerm
from ..objects import Host, HostState, ObjectError
from ..settings import Deployment
from .actions import ControlAction, ProbeVersion, SendOrder, WriteRecord
from .area_state import STALL_MARGIN_S, AreaState, Copy, PendingDemand, UpstreamState
from .engine import EngineOrder, EngineStatus, ItemKind, OrderKind
from .explain import Explanation, Progress, explain_name, report_progress
from .ledger import MemoryLedger
from .move_runner import MoveRunner
from .pacer import LoadPacer
from .planner import Planner
from .read_schedule import ReadSchedule
from .record import Reservation, UpstreamRecord
from .version_runner import VersionRunner
from .writer_tracker import WriterTracker

__all__ = ["AreaController"]

PLAN_INTERVAL_S = 1.0
# Bounds periodic planning to about 0.4 % of a core in large areas, where a plan takes longer.
MAX_PLANNED_UPSTREAMS_PER_S = 100.0
# Minimum interval between plans that are triggered by a change.
MIN_PLAN_INTERVAL_S = 0.1
# Delay before the next plan when a load was deferred, either by the load rate limit of the weight
# store or because its engine was not fenced.
DEFERRED_LOAD_DELAY_S = 0.25
RETRY_DELAY_S = 0.5
MIN_STATUS_INTERVAL_S = 0.02
MAX_ACTIVE_STATUS_INTERVAL_S = 0.5
IDLE_STATUS_INTERVAL_S = 2.0
# Bounds the total rate of status reads from engines without outstanding orders.
MAX_IDLE_READS_PER_S = 10.0


class AreaController:
    """Controller that places models and adapters on the upstreams of one planning area.

    The controller is a state machine without I/O. Input methods take the current time in seconds,
    and ``tick`` returns the actions that the driver has to perform. Without a valid lease term,
    the controller reads, writes and sends nothing. A new term starts from the stored records and
    the engine statuses alone, so a successor can finish or undo the moves of its predecessor.

    Parameters
    ----------
    instance : str
        Identifier of this process, ``<host id>:<nonce>``.
    domains : frozenset of str, optional
        Failure domains that belong to the area. By default, all of them do.
    store_share : float
        Fraction of the weight store's capacity that the area may use.
    request_tokens : float
        Mean number of tokens in an answer. It converts the decoding speed of an upstream to a
        request rate.

    >>> controller = AreaController("n1:a")
    >>> controller.tick(0.0)
    ()
    """

    def __init__(
        self,
        instance: str,
        *,
        domains: frozenset[str] | None = None,
        store_share: float = 1.0,
        request_tokens: float = 128.0,
    ) -> None:
        self.instance = instance
        self.area = AreaState(instance)
        self._domains = domains
        self._store_share = store_share
        self._pacer: LoadPacer | None = None
        self._planner = Planner()
        self._moves = MoveRunner(self.area)
        self._versions = VersionRunner(self.area, self._moves, request_tokens)
        self._writers = WriterTracker(instance)
        self._term: LeaseTerm | None = None
        self._removed_upstreams: dict[str, UpstreamState] = {}
        self._outbox: list[SendOrder] = []
        self._plan_due_s = 0.0
        self._reads = ReadSchedule()
        self._last_plan_s = float("-inf")
        self._next_wake_s = 0.0

    # Inputs

    def update_deployment(self, deployment: Deployment, now: float) -> None:
        """Apply a new deployment. Upstreams that it still contains keep their ledgers."""
        area = self.area
        area.deployment = deployment
        if self._pacer is None:
            self._pacer = LoadPacer(deployment.store, self._store_share)
        self._pacer.update(deployment.store)
        configured = {
            u.name: u
            for u in deployment.engines
            if self._domains is None or u.domain in self._domains
        }
        for name in [n for n in area.upstreams if n not in configured]:
            # Retained because its ledger records which orders of this process were sent.
            self._removed_upstreams[name] = area.upstreams.pop(name)
        for name, upstream in configured.items():
            state = area.upstreams.get(name) or self._removed_upstreams.pop(name, None)
            if state is not None:
                if name not in area.upstreams:
                    self._add_upstream(state, now)
                state.upstream = upstream
                state.ledger.memory_mib = upstream.memory_mib
                state.ledger.checks_fence = upstream.checks_fence
                continue
            transit_s = deployment.site.order_transit_s
            ledger = MemoryLedger(
                name, self.instance, upstream.memory_mib, upstream.checks_fence, transit_s
            )
            self._add_upstream(UpstreamState(upstream, ledger, upstream.address), now)
        area.estimator.keep_only({*deployment.models, *deployment.adapters})
        self._request_plan(now)

    def update_term(self, term: LeaseTerm | None, now: float) -> None:
        """Set the lease term, or None if this process does not hold the lease."""
        before, self._term = self._term, term
        if term is None:
            if before is not None:
                self._end_term(now)
            return
        self._writers.on_instances_retired(term.acknowledged, now)
        if before is not None and before.epoch == term.epoch:
            return
        self._end_term(now)
        for state in self.area.upstreams.values():
            state.ledger.begin_term(term.epoch, now)
            self._reads.schedule_record(state, now)
            self._reads.schedule_status(state, now)
        self._request_plan(now)

    def on_record(
        self, upstream: str, version: int, record: UpstreamRecord | None, now: float
    ) -> None:
        """Handle the record read for an upstream; version 0 and None if no record exists."""
        state = self.area.upstreams.get(upstream)
        if state is None:
            return
        state.record_read_pending = False
        state.ledger.on_record(version, record, now)
        self._update_stopped_writers(state, now)
        self._close_moves(state, now)

    def on_record_failed(self, upstream: str, now: float) -> None:
        """Schedule another read after the read of a record failed."""
        if state := self.area.upstreams.get(upstream):
            state.record_read_pending = False
            self._reads.schedule_record(state, now + RETRY_DELAY_S)

    def on_record_written(self, upstream: str, res: Result[int, ObjectError], now: float) -> None:
        """Handle the result of a record write.

        If the write succeeded, the next tick sends the orders of the reservations it contains.
        """
        state = self.area.upstreams.get(upstream)
        if state is None:
            return
        recorded = state.ledger.on_written(res, now)
        self.area.dirty_upstreams.add(upstream)
        if isinstance(res, Err):
            self._reads.schedule_record(state, now + RETRY_DELAY_S / 10)
            self._moves.drop_unrecorded(state)
        self._moves.mark_recorded(state, recorded)
        for reservation in recorded:
            order = EngineOrder(
                reservation.order_id,
                reservation.kind,
                reservation.name,
                reservation.version,
                reservation.memory_mib,
                state.ledger.epoch,
                self._base_of(reservation),
            )
            self._outbox.append(SendOrder(upstream, order, state.write_sent_s))

    def on_status(self, upstream: str, status: EngineStatus, read_at: float, now: float) -> None:
        """Handle the status of an engine; ``read_at`` is the time its request was sent."""
        state = self.area.upstreams.get(upstream)
        if state is None:
            return
        state.status_read_pending = False
        state.failing_since_s = None
        was_leaving = state.ledger.status is not None and state.ledger.status.leaving
        before = state.residents()
        state.ledger.on_status(status, read_at, now)
        self.area.update_holders(state, before)
        if was_leaving != status.leaving:
            self._request_plan(now)
        if state.ledger.has_reservations or any(c.upstream == upstream for c in self.area.unloads):
            state.status_interval_s = min(
                MAX_ACTIVE_STATUS_INTERVAL_S, 2 * state.status_interval_s + MIN_STATUS_INTERVAL_S
            )
            self._reads.schedule_status(state, now + state.status_interval_s)
        else:
            idle_s = max(IDLE_STATUS_INTERVAL_S, len(self.area.upstreams) / MAX_IDLE_READS_PER_S)
            self._reads.schedule_status(state, now + idle_s)
        self._close_moves(state, now)

    def on_stall(self, upstream: str, pause_s: float, now: float) -> None:
        """Exclude an upstream from placement while a node backs off from it.

        A node reports a stall when requests make no progress although the engine still answers
        status reads. ``pause_s`` is the duration of the node's backoff.
        """
        if state := self.area.upstreams.get(upstream):
            until_s = now + pause_s + STALL_MARGIN_S
            state.stalled_until_s = max(state.stalled_until_s, until_s)
            self._request_plan(now)

    def on_status_failed(self, upstream: str, now: float) -> None:
        """Schedule another read after the read of an engine's status failed."""
        if state := self.area.upstreams.get(upstream):
            state.status_read_pending = False
            self._reads.schedule_status(state, now + RETRY_DELAY_S)
            if state.failing_since_s is None:
                state.failing_since_s = now

    def on_order_answer(self, upstream: str, order_id: str, status: int, now: float) -> None:
        """Handle the answer to an order.

        The HTTP status is ignored: only a later engine status determines the order's outcome.
        """
        self.on_order_lost(upstream, order_id, True, now)

    def on_order_lost(self, upstream: str, order_id: str, sent: bool, now: float) -> None:
        """Handle an order without an answer; ``sent`` is False if no byte of it was sent."""
        state = self.area.upstreams.get(upstream) or self._removed_upstreams.get(upstream)
        if state is None:
            return
        if sent:
            state.ledger.on_sent(order_id, now)
        else:
            state.ledger.on_unsent(order_id, now)
        state.status_interval_s = 0.0
        self._reads.schedule_status(state, now + MIN_STATUS_INTERVAL_S)

    def on_probe(
        self, upstream: str, name: str, version: str, ok: bool, detail: str, now: float
    ) -> None:
        """Handle the result of a ``ProbeVersion`` action."""
        self._versions.on_probe(upstream, name, version, ok, detail)
        self._request_plan(now)

    def on_hosts(self, hosts: Iterable[Host], now: float) -> None:
        """Update addresses, leaving upstreams and stopped writers from the host list."""
        listed = tuple(hosts)
        self._writers.on_hosts(listed, now)
        by_id = {host.id: host for host in listed}
        for name, state in self.area.upstreams.items():
            host = by_id.get(name)
            if host is None:
                continue
            if host.address:
                state.address = host.address
            if state.leaving != (host.state is HostState.LEAVING):
                state.leaving = not state.leaving
                self._request_plan(now)
        for state in self.area.upstreams.values():
            self._update_stopped_writers(state, now)

    def on_instances_retired(self, instances: Iterable[str], now: float) -> None:
        """Record processes that have acknowledged that they send no more orders."""
        self._writers.on_instances_retired(instances, now)
        for state in self.area.upstreams.values():
            self._update_stopped_writers(state, now)

    def record_pending_demand(self, name: str, urgent: bool, now: float) -> None:
        """Record that a request waits for a model or adapter that is not resident."""
        desired = self.area.desired_item(name)
        if desired is None:
            return
        for copy in self.area.copies_of(name, now):
            # The caller did not find this copy, so the engine may have restarted since its last
            # status.
            self._reads.schedule_status(self.area.upstreams[copy.upstream], now)
        pending = self.area.pending_demand.get(name)
        if pending is None:
            self.area.pending_demand[name] = PendingDemand(urgent, now, now)
            self._next_wake_s = now
            if desired[0].kind is ItemKind.MODEL:
                self._request_plan(now)
        else:
            pending.urgent |= urgent
            pending.last_s = now

    def record_demand(self, name: str, urgent: bool, now: float, count: float = 1.0) -> None:
        """Count requests for a model or adapter."""
        if self.area.desired_item(name) is not None:
            self.area.estimator.record(name, urgent, now, count)

    # Outputs

    def term(self, now: float) -> LeaseTerm | None:
        """Return the term if it is valid at ``now``."""
        term = self._term
        return term if term is not None and now < term.valid_until else None

    def may_send(self, action: SendOrder, now: float) -> bool:
        """Return whether an order may be written to its connection in this event loop step."""
        term, deployment = self.term(now), self.area.deployment
        if term is None or deployment is None or action.order.fence != term.epoch:
            return False
        return now - action.reserved_s < deployment.site.order_send_limit_s

    def address_of(self, upstream: str) -> str:
        """Return the current address of an upstream, or an empty string if it is unknown."""
        state = self.area.upstreams.get(upstream)
        return state.address if state else ""

    def unroutable_copies(self) -> frozenset[Copy]:
        """Return the resident copies that must not receive new requests.

        These are copies selected for unloading, and copies of a new version that has not passed
        its probe while another copy can serve.
        """
        return frozenset(self.area.unloads) | frozenset(self.area.probing)

    def tick(self, now: float) -> tuple[ControlAction, ...]:
        """Return the actions that the driver has to perform now."""
        outbox, self._outbox = self._outbox, []
        if self.term(now) is None:
            for action in outbox:
                self.on_order_lost(action.upstream, action.order.order_id, False, now)
            self._next_wake_s = now + RETRY_DELAY_S
            return ()
        self._next_wake_s = float("inf")
        actions: list[ControlAction] = list(outbox)
        actions += self._reads.pop_due(self.area.upstreams, now)
        self._moves.advance(now)
        if now >= self._plan_due_s:
            self._plan(actions, now)
        assert self._pacer is not None
        if self.area.pending_demand:
            self._moves.serve_pending_demand(self._pacer, now)
        dirty_upstreams, self.area.dirty_upstreams = self.area.dirty_upstreams, set()
        for name in sorted(dirty_upstreams):
            if state := self.area.upstreams.get(name):
                self._add_writes(state, actions, now)
        return tuple(actions)

    def wake_at(self) -> float:
        """Return when the next tick is due, unless an input comes earlier."""
        if self._term is None:
            return self._next_wake_s  # plans and reads scheduled during the last term are void
        return min(self._next_wake_s, self._plan_due_s, self._reads.next_due_s)

    def explain(self, name: str, now: float) -> Explanation:
        """Return the copies of a model or adapter and the reason for its current placement."""
        return explain_name(
            self.area, self._planner.waiting, self._versions.change_states(), name, now
        )

    def progress(self, now: float) -> Progress:
        """Return the operations in progress, for the status page."""
        term = self.term(now)
        return report_progress(
            self.area, term.epoch if term else None, self._versions.change_states(), now
        )

    # Steps of a tick

    def _plan(self, actions: list[ControlAction], now: float) -> None:
        if now < self._last_plan_s + MIN_PLAN_INTERVAL_S:
            self._plan_due_s = self._last_plan_s + MIN_PLAN_INTERVAL_S
            return
        self._last_plan_s = now
        scaled_interval_s = len(self.area.upstreams) / MAX_PLANNED_UPSTREAMS_PER_S
        self._plan_due_s = now + max(PLAN_INTERVAL_S, scaled_interval_s)
        assert self._pacer is not None
        for copy in self._versions.advance(self._pacer, now):
            item = copy.item
            actions.append(ProbeVersion(copy.upstream, item.name, item.version))
        view = self._versions.plan_view(now)
        if not self._moves.start_moves(self._planner.plan(view), self._pacer, now):
            self._plan_due_s = min(self._plan_due_s, now + DEFERRED_LOAD_DELAY_S)
        else:
            self._moves.preload_adapters(self._pacer, now)

    def _add_writes(self, state: UpstreamState, actions: list[ControlAction], now: float) -> None:
        """Append the fence order and the record write that are due for an upstream."""
        ledger = state.ledger
        if ledger.needs_fence and now >= state.fence_due_s:
            state.fence_due_s = now + 2 * RETRY_DELAY_S
            order = EngineOrder(
                self._moves.next_order_id(), OrderKind.FENCE, "", "", 0, ledger.epoch
            )
            actions.append(SendOrder(state.upstream.name, order, now))
        write = ledger.pop_write()
        if write is not None:
            state.write_sent_s = now
            actions.append(WriteRecord(state.upstream.name, write.record, write.expected))

    def _base_of(self, reservation: Reservation) -> str:
        deployment = self.area.deployment
        adapter = deployment.adapters.get(reservation.name) if deployment else None
        return adapter.base if adapter else ""

    def _close_moves(self, state: UpstreamState, now: float) -> None:
        """Close the completed moves of an upstream after its record or status has changed."""
        self.area.dirty_upstreams.add(state.upstream.name)
        if self._moves.close_resolved(state, now):
            self._request_plan(now)

    def _request_plan(self, now: float) -> None:
        self._plan_due_s = min(self._plan_due_s, now)

    def _add_upstream(self, state: UpstreamState, now: float) -> None:
        self.area.upstreams[state.upstream.name] = state
        if self._term is not None:
            state.ledger.begin_term(self._term.epoch, now)
            self._reads.schedule_record(state, now)
            self._reads.schedule_status(state, now)

    def _end_term(self, now: float) -> None:
        for action in self._outbox:
            self.on_order_lost(action.upstream, action.order.order_id, False, now)
        self._outbox.clear()
        self._moves.clear()
        self._versions.clear()
        for state in self.area.upstreams.values():
            state.ledger.end_term()
            state.record_read_pending = state.status_read_pending = False

    def _update_stopped_writers(self, state: UpstreamState, now: float) -> None:
        foreign = {r.writer for r in state.ledger.reservations if r.writer != self.instance}
        for writer in foreign:
            stopped_s = self._writers.stopped_since(writer)
            if stopped_s is not None:
                state.ledger.on_writers_stopped((writer,), stopped_s)
