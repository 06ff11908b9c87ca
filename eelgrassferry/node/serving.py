"""The parts of a node that serve requests, made once the first deployment is known."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from ..http import HttpClient, HttpRequest, Responder
from ..metrics import Metrics
from ..objects import ObjectStore
from ..orders import JournalSettings, OrderJournal
from ..peers import Gossiper, PeerMesh
from ..routing import NodeIdentity, Router
from ..settings import Deployment, NodeSettings
from .callers import CallerApi
from .control import Control
from .demand_counter import DemandCounter
from .model_proxy import ModelProxy
from .node_members import NodeMembers
from .peer_bridge import PeerBridge
from .router_driver import RouterDriver
from .service_gate import ServiceGate
from .service_proxy import ServiceProxy
from .shared_hosts import SharedHosts
from .suspect_log import SuspectLog
from .upstream_watch import UpstreamWatch

__all__ = ["NodeParts", "Serving"]

DEMAND_PERIOD_S = 1.0
FOLLOW_PERIOD_S = 0.1
RETRY_S = 0.3


@dataclass(frozen=True)
class NodeParts:
    """What a node has before it has a configuration."""

    settings: NodeSettings
    instance: str
    metrics: Metrics
    client: HttpClient
    store: ObjectStore
    hosts: SharedHosts
    mesh: PeerMesh
    gossiper: Gossiper
    members: NodeMembers


class Serving:
    """Routes and serves requests, and competes for the area's lease.

    ``is_draining`` tells whether the node is to look unready.
    """

    def __init__(
        self, parts: NodeParts, deployment: Deployment, is_draining: Callable[[], bool]
    ) -> None:
        settings, metrics, client = parts.settings, parts.metrics, parts.client
        self._members = parts.members
        self._deployment = deployment
        self._demand = DemandCounter()
        identity = NodeIdentity(settings.name, settings.domain)
        router = Router(deployment, identity, random.Random())
        # The bridge is made last and refers to the others, so their calls to it are deferred.
        self.driver = RouterDriver(
            router, metrics, time.monotonic, lambda action: self.bridge.perform(action)
        )
        self._gate = ServiceGate(settings.domain)
        self.watch = UpstreamWatch(
            self.driver,
            parts.hosts,
            client,
            metrics,
            self._gate.set_leaving,
            lambda upstreams: self.bridge.tell_leaving(upstreams),
        )
        self._suspects = SuspectLog(parts.store, metrics)
        self.control = Control(
            settings.site,
            parts.instance,
            deployment.site.lease_s,
            parts.store,
            parts.hosts,
            client,
            settings.engine_token,
            lambda upstream, copies: self.bridge.tell_residency(upstream, copies),
            lambda area, epoch: self.bridge.tell_holder(area, epoch),
        )
        self.bridge = PeerBridge(
            settings.name,
            parts.mesh,
            parts.gossiper,
            self.driver,
            self.watch,
            self._suspects,
            metrics,
            self.control.want,
            self.control.note_demand,
            self.control.note_stall,
            self.control.note_retired,
            lambda: self.control.retired,
        )
        self._journal = make_journal(parts, deployment)
        models = ModelProxy(
            self.driver, self.watch, client, metrics, self._demand, self.bridge.want
        )
        self._services = ServiceProxy(self._gate, self._journal, self.watch, client, metrics)
        self._callers = CallerApi(
            models, self._services, metrics, lambda: self._deployment, lambda: not is_draining()
        )

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Serve one request of a caller."""
        await self._callers.handle(req, out)

    def update(self, deployment: Deployment) -> None:
        """Bring a deployment to every part."""
        self._deployment = deployment
        now = time.monotonic()
        self.driver.apply(self.driver.router.update_deployment(deployment, now))
        self.watch.update_deployment(deployment)
        self._gate.update_deployment(deployment)
        self.control.update_deployment(deployment)

    def start(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Start to compete for the lease; return the loops that the node is to run."""
        self.control.start()
        return (
            self.driver.run(),
            self.watch.run(),
            self.bridge.run(),
            self._gate.run(),
            self._tell_demand(),
            self._read_suspects(),
            self._follow_members(),
        )

    async def close(self, grace_s: float) -> None:
        """Finish orders in flight, give the lease back, and record what has ended."""
        await self._services.finish_orders(grace_s)
        await self.control.close()
        await self._journal.close()

    async def _tell_demand(self) -> None:
        while True:
            await asyncio.sleep(DEMAND_PERIOD_S)
            self.bridge.tell_demand(self._demand.take())

    async def _read_suspects(self) -> None:
        """Take the stored suspects at the start, however long the object API is down."""

        def learn(digest: str, incidents: tuple[str, ...]) -> None:
            now = time.monotonic()
            actions = self.driver.router.on_suspect_learned(digest, incidents, False, now)
            self.driver.apply(actions)

        while not await self._suspects.read_all(learn):
            await asyncio.sleep(RETRY_S)

    async def _follow_members(self) -> None:
        known: tuple[str, ...] = ()
        while True:
            live = self._members.live_names()
            if live != known:
                known = live
                self.driver.apply(self.driver.router.update_nodes(live, time.monotonic()))
            await asyncio.sleep(FOLLOW_PERIOD_S)


def make_journal(parts: NodeParts, deployment: Deployment) -> OrderJournal:
    """Return the order journal with the site's limits."""
    site = deployment.site
    limits = JournalSettings(site.journal_shards, site.journal_retention_s)
    members = parts.members
    return OrderJournal(
        parts.mesh,
        parts.store,
        members.owner_of,
        members.view.is_alive,
        limits,
        metrics=parts.metrics,
    )
