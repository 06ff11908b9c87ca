"""The entry node: all parts of one process, connected."""

import asyncio
import uuid
from collections.abc import Coroutine
from typing import Any

import structlog
from result import Err, Ok

from ..http import (
    ExecutionStatus,
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpServer,
    Problem,
    Responder,
    split_address,
)
from ..metrics import Metrics
from ..objects import HostList, HttpObjectStore
from ..peers import Gossiper, PeerMesh
from ..settings import (
    ConfigChange,
    ConfigHolder,
    Deployment,
    NodeSettings,
    OperatorApi,
    SettingsText,
    apply_change,
)
from .config_sync import ConfigSync
from .node_members import NodeMembers
from .operator_view import OperatorView
from .serving import NodeParts, Serving
from .shared_hosts import SharedHosts

__all__ = ["Node"]

CONFIG_RETRY_S = 0.3
RIVAL_PERIOD_S = 0.5
# Time between the end of readiness and the end of accepting, so that the balancer has noticed.
READINESS_LEAD_S = 0.5

log = structlog.get_logger()


class Node:
    """One entry node. ``start`` returns once it serves, ``close`` after a graceful stop.

    Its listeners are open before it has a configuration, so that a new site's first revision can
    be applied at any node; callers are refused until then. ``serving`` is None until then.

    >>> # node = Node(settings)
    >>> # await node.start()
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.instance = f"{settings.name}:{uuid.uuid4().hex[:12]}"
        self.metrics = Metrics(settings.statsd)
        self.holder = ConfigHolder()
        self.serving: Serving | None = None
        self.draining = False
        self.stop_requested = asyncio.Event()
        self._client = HttpClient()
        self._tasks: list[asyncio.Task[Any]] = []
        self._in_force = asyncio.Event()
        self._store = HttpObjectStore(self._client, settings.platform, settings.domain)
        host, port = split_address(settings.listen)
        self.callers = HttpServer(self._handle_caller, host=host, port=port)
        host, port = split_address(settings.operator_listen)
        self.operators = HttpServer(self._handle_operator, host=host, port=port)
        self.mesh = PeerMesh(
            settings.name,
            settings.domain,
            self.instance,
            settings.peer_listen,
            settings.peer_keys,
            settings.seeds,
            metrics=self.metrics,
        )

    def deployment(self) -> Deployment | None:
        """Return the deployment in force."""
        return self.holder.loaded.deployment if self.holder.loaded else None

    def request_stop(self) -> None:
        """Ask the process to stop gracefully."""
        self.stop_requested.set()

    async def start(self) -> None:
        """Join the peers, listen, obtain a configuration, and serve."""
        await self.mesh.start()
        self._build()
        await self.gossiper.start()
        await self.operators.start()
        await self.callers.start()
        for work in (self.members.run(), self.config.run(), self._watch_rival()):
            self._spawn(work)
        await self._wait_for_config()
        assert self.serving is not None
        for work in self.serving.start():
            self._spawn(work)
        log.info("listening", step="start", peer=self.callers.address, instance=self.instance)

    async def close(self, grace_s: float | None = None) -> None:
        """Stop gracefully: no new work, finish what is in flight, give duties back."""
        grace_s = self.settings.drain_grace_s if grace_s is None else grace_s
        self.draining = True
        if hasattr(self, "gossiper"):
            self.gossiper.set_draining(True)
        if self.serving is not None:
            await asyncio.sleep(min(READINESS_LEAD_S, grace_s))
            await self.callers.close(grace_s)
            await self.serving.close(grace_s)
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)
        await self.callers.close(0)
        await self.operators.close(1.0)
        if hasattr(self, "gossiper"):
            await self.config.close()
            await self.gossiper.close()
        await self.mesh.close()
        self._client.close()
        log.info("stopped", step="close", instance=self.instance)

    def _build(self) -> None:
        """Make the parts that find peers and the configuration. The mesh has its address."""
        settings, metrics = self.settings, self.metrics
        hosts = SharedHosts(HostList(self._client, settings.platform, settings.domain))
        self.gossiper = Gossiper(self.mesh)
        self.members = NodeMembers(settings.name, settings.domain, self.gossiper, hosts, metrics)
        self.config = ConfigSync(
            settings.site,
            self.holder,
            self._store,
            self.mesh,
            self.gossiper,
            metrics,
            self.members.is_watcher,
            self._apply_deployment,
        )
        self._operator_api = OperatorApi(
            settings.site,
            settings.operator_token,
            self._store,
            self.holder,
            OperatorView(self),
            metrics=metrics,
            on_accept=self.config.take,
        )
        self._parts = NodeParts(
            settings,
            self.instance,
            metrics,
            self._client,
            self._store,
            hosts,
            self.mesh,
            self.gossiper,
            self.members,
        )

    async def _wait_for_config(self) -> None:
        """Take the configuration from the object API or peers, or write the own files as first."""
        while not self._in_force.is_set():
            await self.config.pull()
            if not self._in_force.is_set() and self.settings.base_file:
                await self._bootstrap_config()
            if not self._in_force.is_set():
                await asyncio.sleep(CONFIG_RETRY_S)

    async def _bootstrap_config(self) -> None:
        """Write the own files as the first revision, where the site has none yet."""
        settings = self.settings
        base, overlay = (_read_text(p) for p in (settings.base_file, settings.overlay_file))
        change = ConfigChange(base, overlay, 0, f"bootstrap-{settings.site}", settings.name)
        match await apply_change(self._store, settings.site, change):
            case Err(error):
                log.info("bootstrap refused", step="bootstrap_config", detail=str(error)[:500])
            case Ok(record):
                self.config.take(record)

    def _apply_deployment(self) -> None:
        """Bring the deployment in force to every part."""
        deployment = self.deployment()
        assert deployment is not None
        if self.serving is None:
            self.serving = Serving(self._parts, deployment, lambda: self.draining)
        self.serving.update(deployment)
        self._in_force.set()

    async def _watch_rival(self) -> None:
        """Stop where a younger process has this node's name: two would share its duties."""
        while not self.members.view.superseded:
            await asyncio.sleep(RIVAL_PERIOD_S)
        log.error("another process has this node's name", step="members", instance=self.instance)
        self.request_stop()

    async def _handle_caller(self, req: HttpRequest, out: Responder) -> None:
        if self.serving is not None and self._in_force.is_set():
            await self.serving.handle(req, out)
        elif req.path == "/healthz":
            await out.send(HttpResponse(200, (), b"ok\n"))
        else:
            self.metrics.count("refused.no_configuration")
            detail = "the node has no configuration yet"
            problem = Problem(503, "no_configuration", ExecutionStatus.NO, detail, "", 1)
            await out.send(problem.to_response())

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
