"""An entry node: creates, starts and stops all components of one process."""

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
from .serving import NodeComponents, Serving
from .shared_hosts import SharedHosts

__all__ = ["Node"]

CONFIG_RETRY_S = 0.3
DUPLICATE_CHECK_PERIOD_S = 0.5
# Time from reporting unready to closing the listener, so that the load balancer stops sending.
UNREADY_BEFORE_CLOSE_S = 0.5

log = structlog.get_logger()


class Node:
    """An entry node.

    The listeners open before the node has a configuration, so that the first revision of a new
    site can be applied at any node. Until a configuration is in force, callers are refused and
    ``serving`` is None.

    >>> # node = Node(settings)
    >>> # await node.start()
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.instance = f"{settings.name}:{uuid.uuid4().hex[:12]}"
        self.metrics = Metrics(settings.statsd)
        self.config_holder = ConfigHolder()
        self.serving: Serving | None = None
        self.draining = False
        self.stop_requested = asyncio.Event()
        self._client = HttpClient()
        self._tasks: list[asyncio.Task[Any]] = []
        self._configured = asyncio.Event()
        self._store = HttpObjectStore(self._client, settings.platform, settings.domain)
        host, port = split_address(settings.listen)
        self.caller_server = HttpServer(self._handle_caller, host=host, port=port)
        host, port = split_address(settings.operator_listen)
        self.operator_server = HttpServer(self._handle_operator, host=host, port=port)
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
        """Return the deployment in force, or None before the first configuration."""
        return self.config_holder.loaded.deployment if self.config_holder.loaded else None

    def request_stop(self) -> None:
        """Request a graceful stop of the process."""
        self.stop_requested.set()

    async def start(self) -> None:
        """Start the node and return once it serves requests.

        The node connects to its peers, opens its listeners and waits for a configuration.
        """
        await self.mesh.start()
        self._build()
        await self.gossiper.start()
        await self.operator_server.start()
        await self.caller_server.start()
        for work in (self.members.run(), self.config_sync.run(), self._watch_for_duplicate()):
            self._spawn(work)
        await self._wait_for_config()
        assert self.serving is not None
        for work in self.serving.start():
            self._spawn(work)
        log.info("listening", step="start", peer=self.caller_server.address, instance=self.instance)

    async def close(self, grace_s: float | None = None) -> None:
        """Stop accepting requests, finish those in flight and release the lease.

        ``grace_s`` limits the wait for requests in flight; it defaults to ``drain_grace_s`` of the
        settings.
        """
        grace_s = self.settings.drain_grace_s if grace_s is None else grace_s
        self.draining = True
        if hasattr(self, "gossiper"):
            self.gossiper.set_draining(True)
        if self.serving is not None:
            await asyncio.sleep(min(UNREADY_BEFORE_CLOSE_S, grace_s))
            await self.caller_server.close(grace_s)
            await self.serving.close(grace_s)
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)
        await self.caller_server.close(0)
        await self.operator_server.close(1.0)
        if hasattr(self, "gossiper"):
            await self.config_sync.close()
            await self.gossiper.close()
        await self.mesh.close()
        self._client.close()
        log.info("stopped", step="close", instance=self.instance)

    def _build(self) -> None:
        """Create the components that need the mesh's address, which is known once it listens."""
        settings, metrics = self.settings, self.metrics
        hosts = SharedHosts(HostList(self._client, settings.platform, settings.domain))
        self.gossiper = Gossiper(self.mesh)
        self.members = NodeMembers(settings.name, settings.domain, self.gossiper, hosts, metrics)
        self.config_sync = ConfigSync(
            settings.site,
            self.config_holder,
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
            self.config_holder,
            OperatorView(self),
            metrics=metrics,
            on_accept=self.config_sync.put,
        )
        self._components = NodeComponents(
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
        """Wait for a configuration from the object API or from peers.

        A node with a base file writes its own files as the first revision where the site has none.
        """
        while not self._configured.is_set():
            await self.config_sync.pull()
            if not self._configured.is_set() and self.settings.base_file:
                await self._bootstrap_config()
            if not self._configured.is_set():
                await asyncio.sleep(CONFIG_RETRY_S)

    async def _bootstrap_config(self) -> None:
        """Write the node's configuration files as the first revision if the site has none yet."""
        settings = self.settings
        base, overlay = (_read_text(p) for p in (settings.base_file, settings.overlay_file))
        change = ConfigChange(base, overlay, 0, f"bootstrap-{settings.site}", settings.name)
        match await apply_change(self._store, settings.site, change):
            case Err(error):
                log.info("bootstrap refused", step="bootstrap_config", detail=str(error)[:500])
            case Ok(record):
                self.config_sync.put(record)

    def _apply_deployment(self) -> None:
        """Apply the deployment in force to every component."""
        deployment = self.deployment()
        assert deployment is not None
        if self.serving is None:
            self.serving = Serving(self._components, deployment, lambda: self.draining)
        self.serving.update(deployment)
        self._configured.set()

    async def _watch_for_duplicate(self) -> None:
        """Stop the node if a newer process runs under its name.

        Two processes with one name would own the same keys.
        """
        while not self.members.membership.superseded:
            await asyncio.sleep(DUPLICATE_CHECK_PERIOD_S)
        log.error("another process has this node's name", step="members", instance=self.instance)
        self.request_stop()

    async def _handle_caller(self, req: HttpRequest, out: Responder) -> None:
        if self.serving is not None and self._configured.is_set():
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
