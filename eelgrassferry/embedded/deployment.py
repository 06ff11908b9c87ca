"""A deployment whose stand-ins and nodes all run in this process."""

import asyncio
import json

from result import Err

from ..http import HttpClient
from ..node import Node
from ..objects import HttpObjectStore
from ..settings import (
    ConfigChange,
    Deployment,
    NodeSettings,
    SettingsText,
    Upstream,
    UpstreamKind,
    apply_change,
    load_deployment,
)
from ..standins import (
    EngineOptions,
    EngineStandin,
    PlatformStandin,
    ServiceOptions,
    ServiceStandin,
    StoreOptions,
    StoreStandin,
)

__all__ = ["EmbeddedDeployment"]

ENGINE_TOKEN = "embedded-engine-token"
OPERATOR_TOKEN = "embedded-operator-token"
PEER_KEY = "embedded-peer-key"


class EmbeddedDeployment:
    """The platform, the upstreams and the nodes of a site, on ephemeral loopback ports.

    The upstreams are registered in the host list. The addresses there take precedence over those
    in the settings files.

    Raises ``ValueError`` if the settings are invalid.

    >>> # deployment = EmbeddedDeployment(base, overlay, nodes=2)
    >>> # await deployment.start()
    """

    def __init__(self, base: SettingsText, overlay: SettingsText, nodes: int) -> None:
        loaded = load_deployment(base, overlay)
        if isinstance(loaded, Err):
            raise ValueError("; ".join(error.message for error in loaded.err_value))
        self.deployment: Deployment = loaded.ok_value.deployment
        self.client = HttpClient()
        self.platform = PlatformStandin()
        self.engines: dict[str, EngineStandin] = {}
        self.services: dict[str, ServiceStandin] = {}
        self.nodes: list[Node] = []
        self._settings_texts = (base, overlay)
        self._node_count = nodes
        site = self.deployment.store
        self.store = StoreStandin(
            StoreOptions(
                loads_per_s=site.loads_per_s,
                slots=site.slots,
                adapter_load_s=site.adapter_load_s,
                adapter_slots=site.adapter_slots,
            )
        )

    @property
    def accelerators(self) -> int:
        """The number of accelerators of all engines."""
        return sum(upstream.accelerators for upstream in self.deployment.engines)

    async def start(self) -> None:
        """Start all components and return once the nodes accept connections."""
        await self.platform.start()
        await self.store.start()
        for upstream in self.deployment.upstreams.values():
            await self._start_upstream(upstream)
        await self._write_config()
        domains = self.deployment.site.domains
        for number in range(self._node_count):
            node = Node(self._node_settings(number, domains[number % len(domains)]))
            await node.start()
            self.nodes.append(node)
            await self._register(
                node.settings.name, node.mesh.address, "node", node.settings.domain
            )

    async def wait_resident(self, timeout_s: float) -> int:
        """Wait until every model has a resident copy, for at most ``timeout_s`` seconds.

        Return the number of models that have one.
        """
        model_names = set(self.deployment.models)
        try:
            async with asyncio.timeout(timeout_s):
                while len(self._resident_models()) < len(model_names):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            pass
        return len(self._resident_models() & model_names)

    async def close(self) -> None:
        """Stop all components, the nodes first."""
        await asyncio.gather(*(node.close(5.0) for node in self.nodes))
        for standin in (*self.engines.values(), *self.services.values()):
            await standin.close(0)
        await self.store.close(0)
        await self.platform.close(0)
        self.client.close()

    def _resident_models(self) -> set[str]:
        return {
            resident["name"]
            for engine in self.engines.values()
            for resident in engine.read_status()["residents"]
            if resident["kind"] == "model"
        }

    async def _start_upstream(self, upstream: Upstream) -> None:
        match upstream.kind:
            case UpstreamKind.ENGINE:
                standin = EngineStandin(self._engine_options(upstream))
                self.engines[upstream.name] = standin
            case UpstreamKind.SERVICE:
                standin = ServiceStandin(ServiceOptions(name=upstream.name))
                self.services[upstream.name] = standin
        await standin.start()
        await self._register(upstream.name, standin.address, upstream.kind.value, upstream.domain)

    def _engine_options(self, upstream: Upstream) -> EngineOptions:
        return EngineOptions(
            name=upstream.name,
            memory_mib=upstream.memory_mib,
            prefill_tokens_per_s=upstream.prefill_tokens_per_s,
            decode_tokens_per_s=upstream.decode_tokens_per_s,
            max_batch=upstream.max_batch,
            checks_fence=upstream.checks_fence,
            token=ENGINE_TOKEN if upstream.checks_caller else "",
            store=self.store.address,
        )

    def _node_settings(self, number: int, domain: str) -> NodeSettings:
        return NodeSettings(
            name=f"node-{number + 1}",
            site=self.deployment.site.name,
            domain=domain,
            listen="127.0.0.1:0",
            operator_listen="127.0.0.1:0",
            peer_listen="127.0.0.1:0",
            platform=self.platform.address,
            operator_token=OPERATOR_TOKEN,
            peer_keys=(PEER_KEY,),
            seeds=tuple(node.mesh.address for node in self.nodes[:1]),
            engine_token=ENGINE_TOKEN,
        )

    async def _write_config(self) -> None:
        site = self.deployment.site.name
        store = HttpObjectStore(self.client, self.platform.address, "operator")
        change = ConfigChange(*self._settings_texts, 0, "embedded", "embedded deployment")
        (await apply_change(store, site, change)).expect("the configuration was not accepted")

    async def _register(self, name: str, address: str, kind: str, domain: str) -> None:
        host = {"address": address, "kind": kind, "domain": domain, "state": "live"}
        sent = await self.client.request(
            self.platform.address, "PUT", f"/hosts/{name}", body=json.dumps(host).encode()
        )
        sent.expect(f"host {name} was not registered")
