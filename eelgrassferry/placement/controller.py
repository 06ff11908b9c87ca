"""The controller of one planning area."""

from collections.abc import Iterable

from result import Err, Result

from ..leases import LeaseTerm
from ..objects import Host, HostState, ObjectError
from ..settings import Deployment
from .actions import ControlAction, ProbeVersion, SendOrder, WriteRecord
from .area_state import STALL_MARGIN_S, AreaState, Copy, UpstreamState, Want
from .engine import EngineOrder, EngineStatus, ItemKind, OrderKind
from .explain import Explanation, Progress, explain_name, report_progress
from .ledger import MemoryLedger
from .move_runner import MoveRunner
from .pacer import LoadPacer
from .planner import Planner
from .read_schedule import ReadSchedule
from .record import Reservation, UpstreamRecord
from .version_runner import VersionRunner
from .writers import Writers

__all__ = ["AreaController"]

PLAN_S = 1.0
# Keeps periodic planning at about 0.4 % of a core on large areas, whose plans take longer.
PLANNED_UPSTREAMS_PER_S = 100.0
# Shortest time between plans when something has changed.
REPLAN_S = 0.1
# Time until the next plan where the weight store's pace or a missing fence left a load over.
LEFT_OVER_S = 0.25
RETRY_S = 0.5
FIRST_STATUS_S = 0.02
OPEN_STATUS_S = 0.5
IDLE_STATUS_S = 2.0
# Bounds the rate of status reads where nothing is under way.
IDLE_READS_PER_S = 10.0


class AreaController:
    """Decides what is loaded where in one planning area. Does no I/O.

    Inputs are methods that take the time in seconds; ``tick`` returns what the shell has to do.
    Without a valid term nothing is read, written or sent. At the beginning of a term nothing is
    known but what records and statuses show, so that a successor finishes or undoes what its
    predecessor left.

    ``instance`` is ``<host id>:<nonce>``. ``domains`` limits the area to some failure domains,
    ``store_share`` is its part of the weight store, and ``request_tokens`` the mean number of
    tokens of an answer, by which an upstream's speed is turned into a request rate.

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
        self._writers = Writers(instance)
        self._term: LeaseTerm | None = None
        self._removed: dict[str, UpstreamState] = {}
        self._outbox: list[SendOrder] = []
        self._plan_due_s = 0.0
        self._reads = ReadSchedule()
        self._planned_s = float("-inf")
        self._wake_s = 0.0

    # Inputs

    def update_deployment(self, deployment: Deployment, now: float) -> None:
        """Take a new deployment; ledgers of upstreams that stay are kept."""
        area = self.area
        area.deployment = deployment
        if self._pacer is None:
            self._pacer = LoadPacer(deployment.store, self._store_share)
        self._pacer.update(deployment.store)
        wanted = {
            u.name: u
            for u in deployment.engines
            if self._domains is None or u.domain in self._domains
        }
        for name in [n for n in area.upstreams if n not in wanted]:
            # Kept aside, because its ledger knows which of this process's orders were sent.
            self._removed[name] = area.upstreams.pop(name)
        for name, upstream in wanted.items():
            state = area.upstreams.get(name) or self._removed.pop(name, None)
            if state is not None:
                if name not in area.upstreams:
                    self._restore(state, now)
                state.upstream = upstream
                state.ledger.memory_mib = upstream.memory_mib
                state.ledger.checks_fence = upstream.checks_fence
                continue
            transit_s = deployment.site.order_transit_s
            ledger = MemoryLedger(
                name, self.instance, upstream.memory_mib, upstream.checks_fence, transit_s
            )
            self._restore(UpstreamState(upstream, ledger, upstream.address), now)
        area.estimator.keep_only({*deployment.models, *deployment.adapters})
        self._replan(now)

    def update_term(self, term: LeaseTerm | None, now: float) -> None:
        """Take the lease's term, or None where this process does not hold it."""
        before, self._term = self._term, term
        if term is None:
            if before is not None:
                self._end_term(now)
            return
        self._writers.on_acknowledged(term.acknowledged, now)
        if before is not None and before.epoch == term.epoch:
            return
        self._end_term(now)
        for state in self.area.upstreams.values():
            state.ledger.begin_term(term.epoch, now)
            self._reads.record_at(state, now)
            self._reads.status_at(state, now)
        self._replan(now)

    def on_record(
        self, upstream: str, version: int, record: UpstreamRecord | None, now: float
    ) -> None:
        """Take an upstream's record as read; version 0 and None where there is none."""
        state = self.area.upstreams.get(upstream)
        if state is None:
            return
        state.record_busy = False
        state.ledger.on_record(version, record, now)
        self._note_gone(state, now)
        self._settled(state, now)

    def on_record_failed(self, upstream: str, now: float) -> None:
        """Note that a record could not be read."""
        if state := self.area.upstreams.get(upstream):
            state.record_busy = False
            self._reads.record_at(state, now + RETRY_S)

    def on_record_written(self, upstream: str, res: Result[int, ObjectError], now: float) -> None:
        """Take the result of a write; the orders that it covers are sent by the next tick."""
        state = self.area.upstreams.get(upstream)
        if state is None:
            return
        made = state.ledger.on_written(res, now)
        self.area.touched.add(upstream)
        if isinstance(res, Err):
            self._reads.record_at(state, now + RETRY_S / 10)
            self._moves.drop_unrecorded(state)
        self._moves.note_recorded(state, made)
        for reservation in made:
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
        """Take an engine's status; ``read_at`` is when its request was sent."""
        state = self.area.upstreams.get(upstream)
        if state is None:
            return
        state.status_busy = False
        state.failing_since_s = None
        was_leaving = state.ledger.status is not None and state.ledger.status.leaving
        before = state.residents()
        state.ledger.on_status(status, read_at, now)
        self.area.reindex(state, before)
        if was_leaving != status.leaving:
            self._replan(now)
        if state.ledger.has_open or any(c.upstream == upstream for c in self.area.unloads):
            state.status_pause_s = min(OPEN_STATUS_S, 2 * state.status_pause_s + FIRST_STATUS_S)
            self._reads.status_at(state, now + state.status_pause_s)
        else:
            idle_s = max(IDLE_STATUS_S, len(self.area.upstreams) / IDLE_READS_PER_S)
            self._reads.status_at(state, now + idle_s)
        self._settled(state, now)

    def note_stall(self, upstream: str, pause_s: float, now: float) -> None:
        """Note that a node saw no progress, though the status is answered, and pauses."""
        if state := self.area.upstreams.get(upstream):
            until_s = now + pause_s + STALL_MARGIN_S
            state.stalled_until_s = max(state.stalled_until_s, until_s)
            self._replan(now)

    def on_status_failed(self, upstream: str, now: float) -> None:
        """Note that an engine's status could not be read."""
        if state := self.area.upstreams.get(upstream):
            state.status_busy = False
            self._reads.status_at(state, now + RETRY_S)
            if state.failing_since_s is None:
                state.failing_since_s = now

    def on_order_answer(self, upstream: str, order_id: str, status: int, now: float) -> None:
        """Take the HTTP status of an order's answer. The engine's own status settles it."""
        self.on_order_lost(upstream, order_id, True, now)

    def on_order_lost(self, upstream: str, order_id: str, sent: bool, now: float) -> None:
        """Note an order without an answer; ``sent`` is False where no byte of it was sent."""
        state = self.area.upstreams.get(upstream) or self._removed.get(upstream)
        if state is None:
            return
        if sent:
            state.ledger.on_sent(order_id, now)
        else:
            state.ledger.on_unsent(order_id, now)
        state.status_pause_s = 0.0
        self._reads.status_at(state, now + FIRST_STATUS_S)

    def on_probe(
        self, upstream: str, name: str, version: str, ok: bool, detail: str, now: float
    ) -> None:
        """Take the result of ``ProbeVersion``."""
        self._versions.on_probe(upstream, name, version, ok, detail)
        self._replan(now)

    def on_hosts(self, hosts: Iterable[Host], now: float) -> None:
        """Take the platform's host list."""
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
                self._replan(now)
        for state in self.area.upstreams.values():
            self._note_gone(state, now)

    def on_acknowledged(self, instances: Iterable[str], now: float) -> None:
        """Note processes that have promised to send no order any more."""
        self._writers.on_acknowledged(instances, now)
        for state in self.area.upstreams.values():
            self._note_gone(state, now)

    def want(self, name: str, urgent: bool, now: float) -> None:
        """Note a request for a model or adapter that is not resident."""
        known = self.area.item_of(name)
        if known is None:
            return
        for copy in self.area.copies_of(name, now):
            # The caller found it missing: the engine may have restarted since its last status.
            self._reads.status_at(self.area.upstreams[copy.upstream], now)
        want = self.area.wants.get(name)
        if want is None:
            self.area.wants[name] = Want(urgent, now, now)
            self._wake_s = now
            if known[0].kind is ItemKind.MODEL:
                self._replan(now)
        else:
            want.urgent |= urgent
            want.last_s = now

    def note_demand(self, name: str, urgent: bool, now: float, count: float = 1.0) -> None:
        """Count requests for a model or adapter."""
        if self.area.item_of(name) is not None:
            self.area.estimator.note(name, urgent, now, count)

    # Outputs

    def term(self, now: float) -> LeaseTerm | None:
        """Return the term if it is valid at ``now``."""
        term = self._term
        return term if term is not None and now < term.valid_until else None

    def may_send(self, action: SendOrder, now: float) -> bool:
        """Return whether an order may be written to its connection in this loop step."""
        term, deployment = self.term(now), self.area.deployment
        if term is None or deployment is None or action.order.fence != term.epoch:
            return False
        return now - action.reserved_s < deployment.site.order_send_limit_s

    def address_of(self, upstream: str) -> str:
        """Return an upstream's present address."""
        state = self.area.upstreams.get(upstream)
        return state.address if state else ""

    def held_back(self) -> frozenset[Copy]:
        """Return the resident copies that must get no new work.

        These are copies that are being unloaded and new versions that are not probed yet.
        """
        return frozenset(self.area.unloads) | frozenset(self.area.probing)

    def tick(self, now: float) -> tuple[ControlAction, ...]:
        """Return what the shell has to do now."""
        outbox, self._outbox = self._outbox, []
        if self.term(now) is None:
            for action in outbox:
                self.on_order_lost(action.upstream, action.order.order_id, False, now)
            self._wake_s = now + RETRY_S
            return ()
        self._wake_s = float("inf")
        actions: list[ControlAction] = list(outbox)
        actions += self._reads.take_due(self.area.upstreams, now)
        self._moves.advance(now)
        if now >= self._plan_due_s:
            self._plan(actions, now)
        assert self._pacer is not None
        if self.area.wants:
            self._moves.serve_wants(self._pacer, now)
        touched, self.area.touched = self.area.touched, set()
        for name in sorted(touched):
            if state := self.area.upstreams.get(name):
                self._write_due(state, actions, now)
        return tuple(actions)

    def wake_at(self) -> float:
        """Return when the next tick is due, unless an input comes earlier."""
        if self._term is None:
            return self._wake_s  # what was due before the term ended is not
        return min(self._wake_s, self._plan_due_s, self._reads.first_s)

    def explain(self, name: str, now: float) -> Explanation:
        """Return why a model or adapter is loaded where it is, or is not loaded."""
        return explain_name(self.area, self._planner.waiting, self._versions.reasons(), name, now)

    def progress(self, now: float) -> Progress:
        """Return what is under way, for the status page."""
        term = self.term(now)
        return report_progress(
            self.area, term.epoch if term else None, self._versions.reasons(), now
        )

    # Parts of a tick

    def _plan(self, actions: list[ControlAction], now: float) -> None:
        if now < self._planned_s + REPLAN_S:
            self._plan_due_s = self._planned_s + REPLAN_S
            return
        self._planned_s = now
        size_s = len(self.area.upstreams) / PLANNED_UPSTREAMS_PER_S
        self._plan_due_s = now + max(PLAN_S, size_s)
        assert self._pacer is not None
        for copy in self._versions.advance(self._pacer, now):
            item = copy.item
            actions.append(ProbeVersion(copy.upstream, item.name, item.version))
        view = self._versions.plan_view(now)
        if not self._moves.start_all(self._planner.plan(view), self._pacer, now):
            self._plan_due_s = min(self._plan_due_s, now + LEFT_OVER_S)
        else:
            self._moves.preload_adapters(self._pacer, now)

    def _write_due(self, state: UpstreamState, actions: list[ControlAction], now: float) -> None:
        ledger = state.ledger
        if ledger.needs_fence and now >= state.fence_due_s:
            state.fence_due_s = now + 2 * RETRY_S
            order = EngineOrder(
                self._moves.next_order_id(), OrderKind.FENCE, "", "", 0, ledger.epoch
            )
            actions.append(SendOrder(state.upstream.name, order, now))
        write = ledger.take_write()
        if write is not None:
            state.write_sent_s = now
            actions.append(WriteRecord(state.upstream.name, write.record, write.expected))

    def _base_of(self, reservation: Reservation) -> str:
        deployment = self.area.deployment
        adapter = deployment.adapters.get(reservation.name) if deployment else None
        return adapter.base if adapter else ""

    def _settled(self, state: UpstreamState, now: float) -> None:
        """Look at the moves of an upstream after its record or status has changed."""
        self.area.touched.add(state.upstream.name)
        if self._moves.settle(state, now):
            self._replan(now)

    def _replan(self, now: float) -> None:
        self._plan_due_s = min(self._plan_due_s, now)

    def _restore(self, state: UpstreamState, now: float) -> None:
        self.area.upstreams[state.upstream.name] = state
        if self._term is not None:
            state.ledger.begin_term(self._term.epoch, now)
            self._reads.record_at(state, now)
            self._reads.status_at(state, now)

    def _end_term(self, now: float) -> None:
        for action in self._outbox:
            self.on_order_lost(action.upstream, action.order.order_id, False, now)
        self._outbox.clear()
        self._moves.clear()
        self._versions.clear()
        for state in self.area.upstreams.values():
            state.ledger.end_term()
            state.record_busy = state.status_busy = False

    def _note_gone(self, state: UpstreamState, now: float) -> None:
        foreign = {r.writer for r in state.ledger.reservations if r.writer != self.instance}
        for writer in foreign:
            gone_s = self._writers.gone_since(writer)
            if gone_s is not None:
                state.ledger.on_gone((writer,), gone_s)
