"""One entry node on the users' platform: its parts, its timers and its stop."""

import asyncio
import random
import signal
from collections.abc import Callable

import structlog
from result import Err, Result

from ..coordination import (
    FleetView,
    IsolationDetector,
    Leadership,
    LeaseHolder,
    OrderRunner,
    PeerMesh,
)
from ..dispatch import Dispatcher, FleetResidency, UpstreamLoad
from ..fleet import DirectoryChange, EntrySettings, FleetConfig, UpstreamDirectory
from ..forwarding import CallerServer, UpstreamPool
from ..http import HttpClient, HttpRequest, HttpResponse, HttpServer, Responder, split_address
from ..metrics import CONTENT_TYPE, Metrics, format_metrics
from ..objects import ObjectFeed
from ..ordering import NodeStatus, Want
from .boot_clock import boot_clock
from .front_desk import FrontDesk
from .registry_view import RegistryView
from .wire import Wire

__all__ = ["EntryNode"]

log = structlog.get_logger()

# Waiting requests and lapsed registrations are looked at this often, in seconds.
TICK_S = 0.02
# Idle connections are looked at this often, in seconds.
SWEEP_S = 0.5
# After a stop was asked for, the balancer needs two of its checks, one a second, to send no more
# callers here. Until then requests are served, after that they are refused for another node.
LEAVE_ROTATION_S = 2.3
# Part of the stop's grace that is left for the process to end, in seconds.
EXIT_MARGIN_S = 0.6


class EntryNode:
    """Serves callers until it is told to stop."""

    def __init__(
        self,
        settings: EntrySettings,
        wire: Wire,
        client: HttpClient,
        metrics_listen: str,
        reread: Callable[[], Result[EntrySettings, object]],
    ) -> None:
        self._settings = settings
        self._wire = wire
        self._metrics_listen = metrics_listen
        self._reread = reread
        self._metrics = Metrics()
        self._stop = asyncio.Event()
        self._isolated_at = 0.0
        self._directory = UpstreamDirectory()
        self._residency = FleetResidency(self._directory)
        self._dispatcher = Dispatcher(
            settings.domain, self._directory, self._residency, settings.bounds, random.Random()
        )
        self._pool = UpstreamPool(wire.decode_answer, boot_clock)
        self._desk = FrontDesk(
            wire,
            self._dispatcher,
            self._directory,
            self._pool,
            self._metrics,
            boot_clock,
            self._freshness,
            self._note_waiting,
        )
        self._callers = CallerServer(self._desk.accept, self._note_rejected, boot_clock)
        self._view = RegistryView(
            wire, self._directory, self._metrics, boot_clock, self._use_config, self._use_changes
        )
        self._configs = ObjectFeed(
            wire.object_store, wire.config_prefix, self._view.take_config, boot_clock
        )
        self._upstreams = ObjectFeed(
            wire.object_store, wire.upstreams_prefix, self._view.take_upstreams, boot_clock
        )
        self._mesh = PeerMesh(
            settings,
            wire.object_store,
            [self._configs, self._upstreams],
            boot_clock,
            self._make_status,
            self._use_view,
        )
        lease = LeaseHolder(
            settings,
            wire.object_store,
            boot_clock,
            self._metrics,
            self._mesh.announce_end,
            lambda: self._mesh.may_take_lease and not self._isolation.isolated,
            lambda: self._mesh.promised_until,
            lambda: self._leadership.has_order_history,
        )
        runner = OrderRunner(
            wire.engines, client, settings.name, lease.term, boot_clock, self._metrics
        )
        self._leadership = Leadership(
            settings,
            lease,
            self._directory,
            runner,
            boot_clock,
            self._metrics,
            self._mesh.publish,
            self._dispatcher.choice.pace,
        )
        self._isolation = IsolationDetector(
            settings.domain,
            self._directory,
            self._mesh.registry.domains,
            lambda: self._mesh.has_lost_contact,
            boot_clock,
            self._use_isolation,
        )
        self._mesh.leadership = self._leadership

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then stop gracefully; return the exit code, 1 where an
        address of the settings cannot be used.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.set_exception_handler(self._note_callback_failed)
        try:
            await self._listen()
        except OSError as exc:
            log.error("address not available", step="listen", detail=str(exc))
            return 1
        log.info("node started", step="start", node=self._settings.name, **self._addresses())
        tasks = [
            loop.create_task(part)
            for part in (
                self._configs.run(),
                self._upstreams.run(),
                self._mesh.run(),
                self._leadership.run(),
                self._isolation.run(),
                self._tick(),
            )
        ]
        for task in tasks:
            task.add_done_callback(self._note_task_end)
        await self._stop.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        self._mesh.close()
        log.info("node stopped", step="stop", node=self._settings.name, left=self._desk.in_flight)
        return 0

    async def _listen(self) -> None:
        ready_host, ready_port = split_address(self._settings.ready_listen)
        await HttpServer(self._answer_ready, host=ready_host, port=ready_port).start()
        if self._metrics_listen:
            host, port = split_address(self._metrics_listen)
            await HttpServer(self._answer_metrics, host=host, port=port).start()
        await self._mesh.listen()
        await self._callers.start(*split_address(self._settings.caller_listen))

    async def _drain(self) -> None:
        """Leave the balancer's rotation, then wait for the requests in flight."""
        self._callers.closing = True
        grace_s = self._settings.bounds.stop_grace_s - EXIT_MARGIN_S
        began = boot_clock()
        log.info("node stopping", step="stop", in_flight=self._desk.in_flight, grace_s=grace_s)
        resigning = asyncio.ensure_future(self._leadership.resign())
        while boot_clock() - began < grace_s:
            if boot_clock() - began >= LEAVE_ROTATION_S:
                self._desk.perform(self._dispatcher.stop(boot_clock()))
                self._callers.close_idle()
                if resigning.done() and not self._desk.in_flight and not self._callers.conns:
                    break
            await asyncio.sleep(TICK_S)
        self._callers.stop_listening()

    async def _tick(self) -> None:
        swept_at = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            self._view.expire()
            self._desk.perform(self._dispatcher.pump(boot_clock()))
            if boot_clock() - swept_at >= SWEEP_S:
                swept_at = boot_clock()
                self._callers.sweep()
                if self._isolation.isolated:
                    self._leave_callers()
                self._pool.sweep()

    def _leave_callers(self) -> None:
        """Close idle connections once the balancer sends callers elsewhere."""
        if boot_clock() - self._isolated_at >= LEAVE_ROTATION_S:
            self._callers.close_idle()

    async def _answer_ready(self, req: HttpRequest, out: Responder) -> None:
        ready = self._is_ready and req.path == self._wire.ready_path
        await out.send(HttpResponse(200 if ready else 503))

    async def _answer_metrics(self, req: HttpRequest, out: Responder) -> None:
        """Answer with all counters and histograms of this process, whatever the path."""
        headers = (("content-type", CONTENT_TYPE),)
        await out.send(HttpResponse(200, headers, format_metrics(self._metrics)))

    @property
    def _is_ready(self) -> bool:
        known = self._view.config is not None
        return known and not self._isolation.isolated and not self._stop.is_set()

    def _use_config(self, config: FleetConfig) -> None:
        self._callers.limits = config.limits
        self._desk.set_config(config)
        self._leadership.set_config(config)

    def _use_view(self, view: FleetView, others: dict[str, UpstreamLoad]) -> None:
        now = boot_clock()
        self._residency.note_heard(now)
        self._residency.set_ordered(view.residency, view.complete)
        self._dispatcher.set_other_loads(others, now)
        self._dispatcher.set_nodes(view.nodes)
        self._dispatcher.choice.pace.take(view.slowness)
        self._desk.perform(self._dispatcher.pump(now))

    def _make_status(self) -> NodeStatus:
        dispatcher = self._dispatcher
        wanted = dispatcher.wanted(boot_clock())
        status = NodeStatus(
            node=self._settings.name,
            arrivals=dict(dispatcher.arrivals),
            wants=tuple(
                Want(service, model, adapter, count, left_s)
                for (service, model, adapter), (count, left_s) in wanted.items()
            ),
            loads={instance: load.rounded() for instance, load in dispatcher.load.own().items()},
            running=dict(dispatcher.load.own_running()),
            used=tuple(dispatcher.adapters_used),
            declined=tuple(dispatcher.declined),
            doubts=dict(dispatcher.doubts),
            paces=tuple(dispatcher.paces_seen),
        )
        dispatcher.arrivals.clear()
        dispatcher.adapters_used.clear()
        dispatcher.declined.clear()
        dispatcher.doubts.clear()
        dispatcher.paces_seen.clear()
        return status

    def _use_changes(self, changes: list[DirectoryChange]) -> None:
        for change in changes:
            if change.before is not None and (change.after is None or change.restarted):
                self._dispatcher.forget(change.before.instance)
                self._pool.forget(change.before.instance)
            elif change.before is not None and change.after is not None:
                for model in change.before.residents.keys() - change.after.residents.keys():
                    self._dispatcher.forget_model(change.after.instance, model)
        self._leadership.apply_directory()
        self._desk.perform(self._dispatcher.pump(boot_clock()))

    def _reload(self) -> None:
        read = self._reread()
        if isinstance(read, Err):
            log.error("settings not reloaded", step="reload", detail=str(read.err_value))
            return
        self._settings = read.ok_value
        log.info("settings reloaded", step="reload", node=self._settings.name)

    def _use_isolation(self, isolated: bool) -> None:
        """Send callers to other domains while this one is cut off."""
        self._callers.closing = isolated
        self._isolated_at = boot_clock()
        if isolated:
            self._leadership.lease.give_up_term()
        self._desk.perform(self._dispatcher.set_isolated(isolated, boot_clock()))

    def _note_waiting(self) -> None:
        self._mesh.send_status_soon()

    def _freshness(self) -> tuple[int, float]:
        return self._upstreams.version, self._upstreams.age_s

    def _note_rejected(self, peer: str, status: int, detail: str) -> None:
        self._metrics.count(f"rejected.{status}")
        log.info("bytes rejected", step="read_request", peer=peer, status=status, detail=detail)

    def _note_task_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            log.error("part failed, stopping", step="run", exc_info=task.exception())
            self._stop.set()

    def _note_callback_failed(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Log an error that no part has handled. The loop closes the connection that it is of."""
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
