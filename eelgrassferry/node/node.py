"""The entry node: all parts of one process, connected."""

import asyncio
import random
import time
import uuid
from collections.abc import Coroutine
from typing import Any

import structlog
from result import Err

from ..http import HttpClient, HttpRequest, HttpServer, Responder
from ..metrics import Metrics
from ..objects import HostList, HttpObjectStore
from ..orders import JournalLimits, OrderJournal
from ..peers import Gossiper, PeerMesh
from ..routing import NodeIdentity, Router
from ..settings import (
    ConfigChange,
    ConfigHolder,
    Deployment,
    NodeSettings,
    OperatorApi,
    SettingsText,
    apply_change,
)
from .callers import CallerApi
from .config_sync import ConfigSync
from .control import Control
from .demand_counter import DemandCounter
from .model_proxy import ModelProxy
from .node_members import NodeMembers
from .operator_view import OperatorView
from .peer_bridge import PeerBridge
from .router_driver import RouterDriver
from .service_gate import ServiceGate
from .service_proxy import ServiceProxy
from .shared_hosts import SharedHosts
from .suspect_log import SuspectLog
from .upstream_watch import UpstreamWatch

__all__ = ["Node"]

DEMAND_PERIOD_S = 1.0
FOLLOW_PERIOD_S = 0.1
CONFIG_RETRY_S = 0.3
# Time between the end of readiness and the end of accepting, so that the balancer has noticed.
READINESS_LEAD_S = 0.5

log = structlog.get_logger()


class Node:
    """One entry node. ``start`` returns once it listens, ``close`` after a graceful stop.

    >>> # node = Node(settings)
    >>> # await node.start()
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.instance = f"{settings.name}:{uuid.uuid4().hex[:12]}"
        self.metrics = Metrics(settings.statsd)
        self.holder = ConfigHolder()
        self.draining = False
        self.stop_requested = asyncio.Event()
        self.demand = DemandCounter()
        self._client = HttpClient()
        self._hosts = SharedHosts(HostList(self._client, settings.platform, settings.domain))
        self._tasks: list[asyncio.Task[Any]] = []
        self._in_force = asyncio.Event()
        self.store = HttpObjectStore(self._client, settings.platform, settings.domain)
        self.mesh = PeerMesh(
            settings.name,
            settings.domain,
            self.instance,
            settings.peer_listen,
            settings.peer_keys,
            settings.seeds,
            metrics=self.metrics,
        )
        self.operators = HttpServer(
            self._handle_operator, **_split_address(settings.operator_listen)
        )

    def deployment(self) -> Deployment | None:
        """Return the deployment in force."""
        return self.holder.loaded.deployment if self.holder.loaded else None

    def request_stop(self) -> None:
        """Ask the process to stop gracefully."""
        self.stop_requested.set()

    async def start(self) -> None:
        """Join the peers, obtain a configuration, and listen to callers."""
        await self.mesh.start()
        self._build_config()
        await self.gossiper.start()
        self._spawn(self.members.run())
        self._spawn(self.config.run())
        await self._wait_for_config()
        await self.operators.start()
        for work in (
            self.driver.run(),
            self.watch.run(),
            self.bridge.run(),
            self.gate.run(),
            self._tell_demand(),
            self._read_suspects(),
            self._follow_members(),
        ):
            self._spawn(work)
        self.control.start()
        self.callers = HttpServer(self._callers.handle, **_split_address(self.settings.listen))
        await self.callers.start()
        log.info("listening", step="start", peer=self.callers.address, instance=self.instance)

    async def close(self, grace_s: float | None = None) -> None:
        """Stop gracefully: no new work, finish what is in flight, give duties back."""
        grace_s = self.settings.drain_grace_s if grace_s is None else grace_s
        self.draining = True
        if hasattr(self, "gossiper"):
            self.gossiper.set_draining(True)
        if hasattr(self, "callers"):
            await asyncio.sleep(min(READINESS_LEAD_S, grace_s))
            await self.callers.close(grace_s)
            await self.services.finish_orders(grace_s)
            await self.control.close()
            await self.journal.close()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)
        await self.operators.close(1.0)
        if hasattr(self, "gossiper"):
            await self.config.close()
            await self.gossiper.close()
        await self.mesh.close()
        self._client.close()
        log.info("stopped", step="close", instance=self.instance)

    def _build_config(self) -> None:
        """Make the parts that find peers and the configuration."""
        settings = self.settings
        self.gossiper = Gossiper(self.mesh)
        self.members = NodeMembers(
            settings.name, settings.domain, self.gossiper, self._hosts, self.metrics
        )
        self.config = ConfigSync(
            settings.site,
            self.holder,
            self.store,
            self.mesh,
            self.gossiper,
            self.metrics,
            self.members.is_watcher,
            self._apply_deployment,
        )
        self._operator_api = OperatorApi(
            settings.site,
            settings.operator_token,
            self.store,
            self.holder,
            OperatorView(self),
            metrics=self.metrics,
            on_accept=self._take_applied,
        )

    def _build_serving(self, deployment: Deployment) -> None:
        """Make the parts that serve requests, once the first deployment is known."""
        settings, metrics, client = self.settings, self.metrics, self._client
        identity = NodeIdentity(settings.name, settings.domain)
        router = Router(deployment, identity, random.Random())
        # The parts refer to each other, so the calls go through this object.
        self.driver = RouterDriver(
            router, metrics, time.monotonic, lambda action: self.bridge.perform(action)
        )
        self.gate = ServiceGate(settings.domain)
        self.watch = UpstreamWatch(
            self.driver,
            self._hosts,
            client,
            metrics,
            self.gate.set_leaving,
            lambda upstreams: self.bridge.tell_leaving(upstreams),
        )
        self.suspects = SuspectLog(self.store, metrics)
        self.control = Control(
            settings.site,
            self.instance,
            deployment.site.lease_s,
            self.store,
            self._hosts,
            client,
            settings.engine_token,
            lambda upstream, copies: self.bridge.tell_residency(upstream, copies),
            lambda area, epoch: self.bridge.tell_holder(area, epoch),
        )
        self.bridge = PeerBridge(
            settings.name,
            self.mesh,
            self.gossiper,
            self.driver,
            self.watch,
            self.suspects,
            metrics,
            self.control.want,
            self.control.note_demand,
            self.control.note_stall,
        )
        self.journal = self._make_journal(deployment)
        models = ModelProxy(self.driver, self.watch, client, metrics, self.demand, self.bridge.want)
        self.services = ServiceProxy(self.gate, self.journal, self.watch, client, metrics)
        self._callers = CallerApi(
            models, self.services, metrics, self.deployment, lambda: not self.draining
        )

    def _make_journal(self, deployment: Deployment) -> OrderJournal:
        site = deployment.site
        limits = JournalLimits(site.journal_shards, site.journal_retention_s)
        members = self.members
        return OrderJournal(
            self.mesh,
            self.store,
            members.owner_of,
            members.view.is_alive,
            limits,
            metrics=self.metrics,
        )

    async def _wait_for_config(self) -> None:
        """Take the configuration from the object API or peers, or found it from the own files."""
        while not self._in_force.is_set():
            await self.config.pull()
            if not self._in_force.is_set() and self.settings.base_file:
                await self._found_config()
            if not self._in_force.is_set():
                await asyncio.sleep(CONFIG_RETRY_S)

    async def _found_config(self) -> None:
        """Write the own files as the first revision, where the site has none yet."""
        settings = self.settings
        base, overlay = (_read_text(p) for p in (settings.base_file, settings.overlay_file))
        change = ConfigChange(base, overlay, 0, f"found-{settings.site}", settings.name)
        applied = await apply_change(self.store, settings.site, change)
        match applied:
            case Err(error):
                log.info("not founded", step="found_config", detail=str(error)[:500])
            case _:
                self.config.take(applied.ok_value)

    def _take_applied(self, record: Any) -> None:
        """Pass on what the own operators' listener has accepted."""
        self.config.take(record)

    def _apply_deployment(self) -> None:
        """Bring the deployment in force to every part."""
        deployment = self.deployment()
        assert deployment is not None
        if not self._in_force.is_set():
            self._build_serving(deployment)
            self._in_force.set()
        now = time.monotonic()
        self.driver.apply(self.driver.router.update_deployment(deployment, now))
        self.watch.update_deployment(deployment)
        self.gate.update_deployment(deployment)
        self.control.update_deployment(deployment)

    async def _tell_demand(self) -> None:
        while True:
            await asyncio.sleep(DEMAND_PERIOD_S)
            self.bridge.tell_demand(self.demand.take())

    async def _read_suspects(self) -> None:
        """Take the stored suspects at the start, however long the object API is down."""

        def learn(digest: str, incidents: tuple[str, ...]) -> None:
            now = time.monotonic()
            actions = self.driver.router.on_suspect_learned(digest, incidents, False, now)
            self.driver.apply(actions)

        while not await self.suspects.read_all(learn):
            await asyncio.sleep(CONFIG_RETRY_S)

    async def _follow_members(self) -> None:
        known: tuple[str, ...] = ()
        while True:
            live = self.members.live_names()
            if live != known:
                known = live
                self.driver.apply(self.driver.router.update_nodes(live, time.monotonic()))
            await asyncio.sleep(FOLLOW_PERIOD_S)

    async def _handle_operator(self, req: HttpRequest, out: Responder) -> None:
        await out.send(await self._operator_api.handle(req))

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.ensure_future(work)
        task.add_done_callback(_log_failure)
        self._tasks.append(task)


def _log_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("task failed", step="run", exc_info=task.exception())


def _read_text(path: str) -> SettingsText:
    with open(path, encoding="utf-8") as file:
        return SettingsText(path, file.read())


def _split_address(address: str) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    return {"host": host, "port": int(port)}
