"""The components of a node that serve requests, created with the first deployment."""

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
from .control_plane import ControlPlane
from .demand_counter import DemandCounter
from .model_proxy import ModelProxy
from .node_members import NodeMembers
from .peer_bridge import PeerBridge
from .router_driver import RouterDriver
from .service_gate import ServiceGate
from .service_proxy import ServiceProxy
from .shared_hosts import SharedHosts
from .suspect_store import SuspectStore
from .upstream_watch import UpstreamWatch

__all__ = ["NodeComponents", "Serving"]

DEMAND_PERIOD_S = 1.0
MEMBERS_POLL_PERIOD_S = 0.1
SUSPECTS_RETRY_S = 0.3


@dataclass(frozen=True)
class NodeComponents:
    """The components of a node that do not depend on the configuration."""

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

    While ``is_draining`` returns True, the node reports that it is not ready.
    """

    def __init__(
        self, components: NodeComponents, deployment: Deployment, is_draining: Callable[[], bool]
    ) -> None:
        settings, metrics, client = components.settings, components.metrics, components.client
        self._members = components.members
        self._deployment = deployment
        self._demand = DemandCounter()
        identity = NodeIdentity(settings.name, settings.domain)
        router = Router(deployment, identity, random.Random())
        # The bridge is created last, because it refers to the other components. They look it up
        # when they call it.
        self.driver = RouterDriver(
            router, metrics, time.monotonic, lambda action: self.bridge.perform(action)
        )
        self._gate = ServiceGate(settings.domain)
        self.watch = UpstreamWatch(
            self.driver,
            components.hosts,
            client,
            metrics,
            self._gate.set_leaving,
            lambda upstreams: self.bridge.broadcast_leaving(upstreams),
        )
        self._suspects = SuspectStore(components.store, metrics)
        self.control = ControlPlane(
            settings.site,
            components.instance,
            deployment.site.lease_s,
            components.store,
            components.hosts,
            client,
            settings.engine_token,
            lambda upstream, copies: self.bridge.broadcast_residency(upstream, copies),
            lambda area, epoch: self.bridge.broadcast_holder(area, epoch),
        )
        self.bridge = PeerBridge(
            settings.name,
            components.mesh,
            components.gossiper,
            self.driver,
            self.watch,
            self._suspects,
            metrics,
            self.control.request_copy,
            self.control.record_demand,
            self.control.on_stall,
            self.control.on_instances_retired,
            lambda: self.control.retired_instances,
        )
        self._journal = make_journal(components, deployment)
        models = ModelProxy(
            self.driver, self.watch, client, metrics, self._demand, self.bridge.request_copy
        )
        self._services = ServiceProxy(self._gate, self._journal, self.watch, client, metrics)
        self._callers = CallerApi(
            models, self._services, metrics, lambda: self._deployment, lambda: not is_draining()
        )

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Serve one request from a caller."""
        await self._callers.handle(req, out)

    def update(self, deployment: Deployment) -> None:
        """Apply a deployment to every component."""
        self._deployment = deployment
        now = time.monotonic()
        self.driver.apply(self.driver.router.update_deployment(deployment, now))
        self.watch.update_deployment(deployment)
        self._gate.update_deployment(deployment)
        self.control.update_deployment(deployment)

    def start(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Start competing for the lease and return the loops that the node has to run."""
        self.control.start()
        return (
            self.driver.run(),
            self.watch.run(),
            self.bridge.run(),
            self._gate.run(),
            self._report_demand(),
            self._load_suspects(),
            self._watch_members(),
        )

    async def close(self, grace_s: float) -> None:
        """Finish orders in flight, release the lease and record the orders that have ended.

        ``grace_s`` limits the wait for orders in flight.
        """
        await self._services.finish_orders(grace_s)
        await self.control.close()
        await self._journal.close()

    async def _report_demand(self) -> None:
        while True:
            await asyncio.sleep(DEMAND_PERIOD_S)
            self.bridge.report_demand(self._demand.pop_counts())

    async def _load_suspects(self) -> None:
        """Load the stored suspects, retrying until the object API answers."""

        def on_suspect(digest: str, incidents: tuple[str, ...]) -> None:
            now = time.monotonic()
            actions = self.driver.router.on_suspect_learned(digest, incidents, False, now)
            self.driver.apply(actions)

        while not await self._suspects.read_all(on_suspect):
            await asyncio.sleep(SUSPECTS_RETRY_S)

    async def _watch_members(self) -> None:
        last_live: tuple[str, ...] = ()
        while True:
            live = self._members.live_names()
            if live != last_live:
                last_live = live
                self.driver.apply(self.driver.router.update_nodes(live, time.monotonic()))
            await asyncio.sleep(MEMBERS_POLL_PERIOD_S)


def make_journal(components: NodeComponents, deployment: Deployment) -> OrderJournal:
    """Return an order journal with the site's number of shards and retention."""
    site = deployment.site
    settings = JournalSettings(site.journal_shards, site.journal_retention_s)
    members = components.members
    return OrderJournal(
        components.mesh,
        components.store,
        members.owner_of,
        members.membership.is_alive,
        settings,
        metrics=components.metrics,
    )
