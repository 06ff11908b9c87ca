"""The entry node process: its components, periodic tasks and graceful stop."""

import asyncio
import random
import signal
from collections.abc import Callable

import structlog
from result import Err, Result

from ..admission import DoorBudget, DoorLimits, split_connections, split_memory
from ..coordination import (
    FleetView,
    IsolationDetector,
    Leadership,
    LeaseHolder,
    LinkAdmission,
    OrderRunner,
    PeerMesh,
    VerdictStore,
)
from ..dispatch import Dispatcher, FleetResidency, TurnReply, UpstreamLoad
from ..eventloop import current_work_queue
from ..fleet import (
    DirectoryChange,
    EntrySettings,
    FleetConfig,
    UpstreamDirectory,
    UpstreamEntry,
)
from ..forwarding import CallerServer, UpstreamPool
from ..http import (
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    Responder,
    split_address,
)
from ..metrics import CONTENT_TYPE, Metrics, format_metrics
from ..objects import ObjectFeed
from ..ordering import NodeStatus, PendingDemand
from ..routing import UpstreamState
from .boot_clock import boot_clock
from .config_freshness import ConfigFreshness
from .door_report import DoorReport
from .loop_report import LoopReport
from .platform_protocol import PlatformProtocol
from .registry_view import RegistryView
from .request_handler import RequestHandler

__all__ = ["EntryNode"]

log = structlog.get_logger()

# Interval at which waiting requests are dispatched and expired registrations dropped, in seconds.
TICK_INTERVAL_S = 0.02
# Interval at which connections that have been idle too long are closed, in seconds.
IDLE_CHECK_INTERVAL_S = 0.5
# Time until the load balancer stops routing callers to a node that is not ready, in seconds: two of
# its health checks, one per second. During this time a stopping node still serves new requests;
# afterwards it refuses them so that callers retry at another node.
LEAVE_ROTATION_S = 2.3
# Largest body of a request for readiness or metrics, which needs none, in bytes.
SERVICE_BODY_BYTES = 16 * 1024
# Fingerprints of a verdict that are logged; the store has all of them.
MAX_LOGGED_FINGERPRINTS = 50
# Part of the grace period that is reserved for the process to exit, in seconds.
EXIT_RESERVE_S = 0.6


class EntryNode:
    """An entry node, which accepts callers' requests and forwards them to upstreams.

    Parameters: the node's settings, the formats of the platform, the client for orders to engines,
    the address of the metrics endpoint (empty for none), a function that reads the settings
    again on SIGHUP, and a time on ``boot_clock`` at which all earlier nodes of this name had ended,
    by default now.
    """

    def __init__(
        self,
        settings: EntrySettings,
        protocol: PlatformProtocol,
        client: HttpClient,
        metrics_listen: str,
        load_settings: Callable[[], Result[EntrySettings, object]],
        alone_since: float | None = None,
    ) -> None:
        self._settings = settings
        self._protocol = protocol
        self._metrics_listen = metrics_listen
        self._load_settings = load_settings
        self._metrics = Metrics()
        self._stop = asyncio.Event()
        self._has_failed = False
        self._isolated_at = 0.0
        self._directory = UpstreamDirectory()
        self._residency = FleetResidency(self._directory)
        self._dispatcher = Dispatcher(
            settings.domain, self._directory, self._residency, settings.bounds, random.Random()
        )
        self._leaving_changes: list[DirectoryChange] = []
        self._dispatcher.notices.on_leaving = self._mark_leaving
        self._pool = UpstreamPool(protocol.decode_answer, boot_clock)
        self._door = DoorReport(self._metrics, boot_clock)
        self._loop_report = LoopReport(self._metrics, current_work_queue(), boot_clock)
        caller_bytes, peer_bytes = split_memory(settings.memory_mb)
        caller_conns, peer_conns, service_conns = split_connections(settings.max_fds)
        budget = DoorBudget(DoorLimits(caller_bytes, caller_conns))
        self._handler = RequestHandler(
            protocol,
            self._dispatcher,
            self._directory,
            self._pool,
            self._metrics,
            boot_clock,
            self._directory_freshness,
            self._on_request_waiting,
            self._request_turns,
            budget,
        )
        self._service_limits = HttpLimits(
            max_body_bytes=SERVICE_BODY_BYTES, max_connections=service_conns
        )
        self._callers = CallerServer(
            self._handler.accept,
            self._on_rejected,
            boot_clock,
            budget,
            self._handler.needs_body,
            self._on_turned_away,
        )
        admission = LinkAdmission(
            DoorBudget(DoorLimits(peer_bytes, peer_conns)),
            boot_clock,
            lambda cause: self._on_turned_away("", cause),
        )
        self._registry = RegistryView(
            protocol,
            self._directory,
            self._metrics,
            boot_clock,
            self._apply_config,
            self._apply_directory_changes,
        )
        self._config_feed = ObjectFeed(
            protocol.object_store,
            protocol.config_prefix,
            self._registry.apply_config_update,
            boot_clock,
        )
        self._upstream_feed = ObjectFeed(
            protocol.object_store,
            protocol.upstreams_prefix,
            self._registry.apply_upstreams_update,
            boot_clock,
        )
        self._handler.config_may_be_behind = ConfigFreshness(
            self._config_feed, protocol.object_store, boot_clock
        ).may_be_behind
        self._config_feed.is_usable = self._registry.is_config
        self._upstream_feed.is_usable = self._registry.is_usable_entry
        self._mesh = PeerMesh(
            settings,
            protocol.object_store,
            [self._config_feed, self._upstream_feed],
            boot_clock,
            self._make_status,
            self._apply_view,
            self._dispatcher.crashes,
            self._dispatcher.notices,
            admission,
        )
        lease = LeaseHolder(
            settings,
            protocol.object_store,
            boot_clock,
            self._metrics,
            self._mesh.announce_end,
            lambda: self._mesh.may_take_lease and not self._isolation.isolated,
            lambda: self._mesh.promised_until,
            lambda: self._leadership.has_order_history,
            lambda: self._mesh.succession.delay_s,
            boot_clock() if alone_since is None else alone_since,
        )
        runner = OrderRunner(
            protocol.engines, client, settings.name, lease.term, boot_clock, self._metrics
        )
        self._leadership = Leadership(
            settings,
            lease,
            self._directory,
            runner,
            boot_clock,
            self._metrics,
            self._mesh.publish,
            self._dispatcher.selector.slowness,
            self._dispatcher.crashes,
            self._dispatcher.notices,
        )
        self._verdicts = VerdictStore(
            protocol.object_store,
            self._dispatcher.crashes,
            boot_clock,
            lambda: self._leadership.term() is not None,
            restarted=not settings.first_start,
        )
        self._isolation = IsolationDetector(
            settings.domain,
            self._directory,
            self._mesh.registry.domains,
            lambda: self._mesh.has_lost_contact,
            boot_clock,
            self._set_isolated,
        )
        self._mesh.leadership = self._leadership
        self._mesh.on_turns = self._on_turns
        quotas = self._mesh.quotas
        quotas.on_decisions = self._handler.use_quotas(quotas.gate, quotas.send_soon).apply

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then stop gracefully.

        Return the exit code, which is 1 if an address in the settings cannot be bound or a task of
        the node has failed.
        """
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.set_exception_handler(self._on_callback_failed)
        try:
            await self._listen()
        except OSError as exc:
            log.error("address not available", step="listen", detail=str(exc))
            return 1
        log.info("node started", step="start", node=self._settings.name, **self._addresses())
        tasks = [
            loop.create_task(coro)
            for coro in (
                self._config_feed.run(),
                self._upstream_feed.run(),
                self._mesh.run(),
                self._leadership.run(),
                self._isolation.run(),
                self._verdicts.run(),
                self._tick(),
            )
        ]
        for task in tasks:
            task.add_done_callback(self._on_task_done)
        await self._stop.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        self._mesh.close()
        log.info(
            "node stopped", step="stop", node=self._settings.name, left=self._handler.in_flight
        )
        return 1 if self._has_failed else 0

    async def _listen(self) -> None:
        ready_host, ready_port = split_address(self._settings.ready_listen)
        limits = self._service_limits
        await HttpServer(
            self._serve_readiness, host=ready_host, port=ready_port, limits=limits
        ).start()
        if self._metrics_listen:
            host, port = split_address(self._metrics_listen)
            await HttpServer(self._serve_metrics, host=host, port=port, limits=limits).start()
        await self._mesh.listen()
        await self._callers.start(*split_address(self._settings.caller_listen))

    async def _drain(self) -> None:
        """Leave the load balancer's rotation, then wait for the requests in flight.

        Return once they have ended, the node has resigned as coordinator and all callers'
        connections are closed, or when the grace period is over.
        """
        self._callers.closing = True
        grace_s = self._settings.bounds.stop_grace_s - EXIT_RESERVE_S
        started_at = boot_clock()
        log.info("node stopping", step="stop", in_flight=self._handler.in_flight, grace_s=grace_s)
        resigning = asyncio.ensure_future(self._leadership.resign())
        resigning.add_done_callback(self._on_task_done)
        while boot_clock() - started_at < grace_s:
            if boot_clock() - started_at >= LEAVE_ROTATION_S:
                self._run_step(self._refuse_waiting)
                self._run_step(self._callers.close_idle)
                if resigning.done() and not self._handler.in_flight and not self._callers.conns:
                    break
            await asyncio.sleep(TICK_INTERVAL_S)
        self._callers.stop_listening()

    def _refuse_waiting(self) -> None:
        self._handler.perform(self._dispatcher.stop(boot_clock()))

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        last_idle_check = 0.0
        while True:
            due_at = loop.time() + TICK_INTERVAL_S
            await asyncio.sleep(TICK_INTERVAL_S)
            self._loop_report.record(loop.time() - due_at)
            for step in (
                self._registry.expire,
                self._search_crash_causes,
                self._exchange_crash_evidence,
                self._apply_notices,
                self._dispatch_waiting,
                self._request_turns,
                self._mesh.quotas.step,
                self._handler.answer_gate.release,
            ):
                self._run_step(step)
            if boot_clock() - last_idle_check >= IDLE_CHECK_INTERVAL_S:
                last_idle_check = boot_clock()
                for step in (
                    self._callers.sweep,
                    self._close_idle_callers,
                    self._pool.sweep,
                    self._expire_notices,
                ):
                    self._run_step(step)

    def _run_step(self, step: Callable[[], None]) -> None:
        """Run one step of the periodic work; the next ones are run also if it raises an error."""
        try:
            step()
        except Exception as exc:
            self._metrics.count("steps_failed")
            log.error("step failed", step="tick", name=step.__qualname__, exc_info=exc)

    def _dispatch_waiting(self) -> None:
        self._handler.perform(self._dispatcher.dispatch_waiting(boot_clock()))

    def _expire_notices(self) -> None:
        registered = {entry.process_id for entry in self._directory.all()}
        self._dispatcher.notices.expire(registered, boot_clock())

    def _close_idle_callers(self) -> None:
        """Close idle connections of an isolated node once callers are routed to other nodes."""
        if self._isolation.isolated and boot_clock() - self._isolated_at >= LEAVE_ROTATION_S:
            self._callers.close_idle()

    async def _serve_readiness(self, req: HttpRequest, out: Responder) -> None:
        ready = self._is_ready and req.path == self._protocol.ready_path
        await out.send(HttpResponse(200 if ready else 503))

    async def _serve_metrics(self, req: HttpRequest, out: Responder) -> None:
        """Answer any path with all counters and histograms of this process."""
        headers = (("content-type", CONTENT_TYPE),)
        await out.send(HttpResponse(200, headers, format_metrics(self._metrics)))

    @property
    def _is_ready(self) -> bool:
        has_config = self._registry.config is not None
        return has_config and not self._isolation.isolated and not self._stop.is_set()

    def _apply_config(self, config: FleetConfig) -> None:
        self._callers.limits = config.limits
        self._mesh.quotas.set_tenants(config.tenants)
        self._handler.set_config(config)
        self._leadership.set_config(config)

    def _apply_view(self, view: FleetView, other_loads: dict[str, UpstreamLoad]) -> None:
        now = boot_clock()
        self._residency.record_coordinator_contact(now)
        self._residency.set_coordinator_residency(view.residency, view.complete)
        self._dispatcher.set_other_loads(other_loads, now)
        self._dispatcher.set_node_count(view.nodes)
        self._dispatcher.selector.slowness.update(view.slowness)
        if view.crashes:
            self._dispatcher.crashes.merge(view.crashes, now, share=False)
        self._dispatcher.notices.merge(view.notices, share=False)
        self._handler.perform(self._dispatcher.enforce_verdicts())
        self._handler.perform(self._dispatcher.dispatch_waiting(now))

    def _make_status(self) -> NodeStatus:
        dispatcher = self._dispatcher
        demand = dispatcher.pending_demand(boot_clock())
        status = NodeStatus(
            node=self._settings.name,
            arrivals=dict(dispatcher.arrivals),
            pending_demand=tuple(
                PendingDemand(service, model, adapter, count, remaining_s)
                for (service, model, adapter), (count, remaining_s) in demand.items()
            ),
            loads={
                instance: load.rounded() for instance, load in dispatcher.load.own_loads().items()
            },
            running=dict(dispatcher.load.own_attempt_counts()),
            used_adapters=tuple(dispatcher.adapters_used),
            declined_by=tuple(dispatcher.declined),
            suspicions=dict(dispatcher.suspicions),
            slowness_samples=tuple(dispatcher.slowness_samples),
        )
        dispatcher.arrivals.clear()
        dispatcher.adapters_used.clear()
        dispatcher.declined.clear()
        dispatcher.suspicions.clear()
        dispatcher.slowness_samples.clear()
        return status

    def _apply_directory_changes(self, changes: list[DirectoryChange]) -> None:
        for change in changes:
            if change.before is not None and (change.after is None or change.restarted):
                self._record_process_end(change.before)
                self._dispatcher.forget(change.before.instance)
                self._pool.close_idle(change.before.instance)
            elif change.before is not None and change.after is not None:
                for model in change.before.residents.keys() - change.after.residents.keys():
                    self._dispatcher.forget_model(change.after.instance, model)
        self._leadership.apply_directory()
        self._handler.perform(self._dispatcher.dispatch_waiting(boot_clock()))

    def _record_process_end(self, entry: UpstreamEntry) -> None:
        """Record that the process of an upstream has ended, unless it had announced to leave."""
        if entry.state is UpstreamState.LIVE:
            actions = self._dispatcher.record_process_end(entry.process_id, boot_clock())
            self._handler.perform(actions)

    def _search_crash_causes(self) -> None:
        """Go on with the search for the causes of crashes, and enforce what it has found."""
        crashes = self._dispatcher.crashes
        if crashes.is_searching:
            crashes.step(boot_clock())
            self._handler.perform(self._dispatcher.enforce_verdicts())
        dropped = crashes.dropped_runs - self._metrics.counters["broken_runs_dropped"]
        if dropped:
            self._metrics.count("broken_runs_dropped", dropped)

    def _exchange_crash_evidence(self) -> None:
        """Share new observations on crashes at once, and log the verdicts that have changed."""
        self._dispatcher.tries_blocked = self._leadership.term() is not None
        if self._dispatcher.crashes.has_updates:
            self._mesh.send_status_soon()
        for verdict in self._dispatcher.crashes.pop_new_verdicts():
            event = "content blocked" if verdict.in_force else "content unblocked"
            self._metrics.count(event.replace(" ", "_"))
            log.warning(
                event,
                step="analyze_crashes",
                fingerprints=sorted(verdict.fingerprints)[:MAX_LOGGED_FINGERPRINTS],
                count=len(verdict.fingerprints),
                crashed=verdict.crashed,
            )

    def _apply_notices(self) -> None:
        """Share and log new notices of upstreams, and apply that some of them leave."""
        notices = self._dispatcher.notices
        if notices.has_updates:
            self._mesh.send_status_soon()
        for notice in notices.pop_changed():
            log.info(
                "upstream notice",
                step="read_notice",
                upstream=notice.process_id,
                leaving=notice.leaving,
                limit_per_s=notice.limit_per_s,
            )
        changes, self._leaving_changes = self._leaving_changes, []
        if changes:
            self._apply_directory_changes(changes)

    def _mark_leaving(self, process_id: str) -> None:
        """Send no more requests to a process that leaves.

        Others learn of it with the next tick, because an answer is being processed now.
        """
        self._leaving_changes += self._directory.mark_leaving(process_id)

    def _request_turns(self) -> None:
        """Ask for the turns that waiting requests want at upstreams which limit their rate."""
        turns = self._dispatcher.turns
        turns.node_count = max(self._dispatcher.node_count, len(self._mesh.registry))
        requests = turns.pop_requests(boot_clock(), self._mesh.has_coordinator)
        if requests:
            self._mesh.request_turns(requests)

    def _on_turns(self, replies: list[TurnReply]) -> None:
        self._dispatcher.turns.apply(replies)
        self._handler.perform(self._dispatcher.dispatch_waiting(boot_clock()))

    def _reload(self) -> None:
        result = self._load_settings()
        if isinstance(result, Err):
            log.error("settings not reloaded", step="reload", detail=str(result.err_value))
            return
        self._settings = result.ok_value
        log.info("settings reloaded", step="reload", node=self._settings.name)

    def _set_isolated(self, isolated: bool) -> None:
        """Direct callers to other failure domains while this one is isolated.

        While isolated, the node gives up the coordinator's lease, and each answer closes its
        connection.
        """
        self._callers.closing = isolated
        self._isolated_at = boot_clock()
        if isolated:
            self._leadership.lease.give_up_term()
        self._handler.perform(self._dispatcher.set_isolated(isolated, boot_clock()))

    def _on_request_waiting(self) -> None:
        self._mesh.send_status_soon()

    def _directory_freshness(self) -> tuple[int, float]:
        return self._upstream_feed.version, self._upstream_feed.age_s

    def _on_rejected(self, peer: str, status: int, detail: str) -> None:
        self._door.record(f"rejected.{status}", "invalid request rejected", peer, detail)

    def _on_turned_away(self, peer: str, cause: str) -> None:
        detail = "a limit of the process's memory or connections is reached"
        self._door.record(f"turned_away.{cause}", "client turned away", peer, detail)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._metrics.count("tasks_failed")
            log.error("task failed, stopping", step="run", exc_info=task.exception())
            self._has_failed = True
            self._stop.set()

    def _on_callback_failed(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Log an unhandled error of a callback; the event loop closes the connection concerned."""
        self._metrics.count("callbacks_failed")
        exc = context.get("exception")
        log.error(
            "callback failed",
            step="run",
            detail=str(context.get("message", "")),
            exc_info=exc if isinstance(exc, BaseException) else None,
        )

    def _addresses(self) -> dict[str, str]:
        settings = self._settings
        return {"callers": settings.caller_listen, "store": settings.object_store}
