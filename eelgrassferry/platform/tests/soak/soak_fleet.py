"""Fleet of nodes, servers and a store into which faults are injected."""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

from ..documents import FOREIGN_ENTRIES, make_config, make_settings
from ..standin_store import StandinStore
from .caller import PATHS, Caller
from .fault_plan import ANSWER_FAULTS, Fault, FaultKind
from .fault_proxy import FaultProxy
from .free_ports import free_ports, own_loopback_ip
from .invariants import CONFIG_APPLY_S
from .key_ring import KeyRing
from .records import Disturbance, LimitRecord, SoakRecord
from .soak_node import SoakNode
from .soak_server import SoakServer

__all__ = ["NODES", "SoakFleet"]

NODES = 3
CALLERS_PER_NODE = 2
SERVERS = {
    "engine-0": ("chat", ("m0",)),
    "engine-1": ("chat", ("m1", "m2")),
    "engine-2": ("chat", ("m3",)),
    "desk-0": ("desk", ()),
    "desk-1": ("desk", ()),
}
# Run time of each request at a server, in seconds.
RUN_S = 0.05
# Time until the registration of a crashed server lapses, and the time from then until a new
# instance of the server starts, in seconds.
REGISTRATION_LAPSE_S = 0.8
# Time for which a draining server still serves, in seconds: longer than ``DRAIN_S`` in
# ``invariants``, within which nodes have to stop sending requests to it.
SERVE_WHILE_DRAINING_S = 2.6
# Limits that servers name, in requests per second; pause that they ask for, in seconds, and number
# of requests that they then decline.
LIMITS_PER_S = (0.5, 2.0, 5.0)
PAUSE_S = 1.5
DECLINED_REQUESTS = 3
# Delays of a slow store and a slow server, in seconds.
STORE_DELAY_S = 0.3
SERVER_DELAY_S = 0.1
# Time limit until all nodes are ready, in seconds: each starts in about 1 s, and may have to stop
# first, which takes up to its grace period of 8 s.
ALL_READY_S = 60.0
# Time from a planned stop until the outage of the store that follows it, in seconds: another node
# coordinates by then, and the stopped one has started again.
HANDOVER_TIME_S = 3.0
# A drill: the largest age of the copy, the longest time for which the store is away, and the time
# until operators and servers write again what was lost, in seconds.
LARGEST_COPY_AGE_S = 4.0
LONGEST_DRILL_S = 1.0
REWRITE_S = 0.5
# Requests with very many prompt parts that come together, and the part that crashes servers.
REQUESTS_TOGETHER = 5
PROMPT_PARTS = 2000
DEADLY_PART = "dead"
# Number of writes whose answers are lost in one fault.
LOST_WRITES = 3


class SoakFleet:
    """Nodes, servers, store and proxies of one run, with the record of what happens.

    Times are in seconds of the event loop's clock. With ``tenants``, requests need keys, which
    change with the configuration.
    """

    def __init__(
        self, seed: int, folder: Path, node_count: int = NODES, tenants: bool = False
    ) -> None:
        self.record = SoakRecord()
        self.clock = asyncio.get_running_loop().time
        self._rng = Random(seed)
        self._key_ring = KeyRing(self.record, Random(seed)) if tenants else None
        self._node_count = node_count
        self._folder = folder
        # Nodes keep their ports across restarts.
        self._node_ip = own_loopback_ip()
        self._store = StandinStore()
        self._store_proxies: dict[str, FaultProxy] = {}
        self._servers: dict[str, SoakServer] = {}
        self._server_proxies: dict[str, FaultProxy] = {}
        self._server_addresses: dict[str, str] = {}
        self._start_count = 0
        self._version = 1
        self.nodes: dict[str, SoakNode] = {}
        self.caller_addresses: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start the store, the servers and the nodes, and wait until all nodes are ready."""
        store_address = await self._store.start()
        await self._write_config(make_config())
        for name, (_service, models) in SERVERS.items():
            proxy = self._server_proxies[name] = FaultProxy(self._address_of(name))
            self._server_addresses[name] = await proxy.start()
            await self._start_server(name, models)
        # All ports are drawn in one call, so that no two nodes get the same.
        ports = iter(free_ports(3 * self._node_count, self._node_ip))
        for number in range(1, self._node_count + 1):
            name = f"front-{number}"
            proxy = self._store_proxies[name] = FaultProxy(lambda: store_address)
            front, ready, control = (next(ports) for _ in range(3))
            self.caller_addresses[name] = f"{self._node_ip}:{front}"
            write = self._settings_writer(name, await proxy.start(), front, ready, control)
            node = SoakNode(
                name, self._folder, f"{self._node_ip}:{ready}", write, self.record, self.clock
            )
            self.nodes[name] = node
            self._start_task(node.run())
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until all nodes accept callers; raise ``TimeoutError`` after ``ALL_READY_S``."""
        async with asyncio.timeout(ALL_READY_S):
            for node in self.nodes.values():
                while not await node.is_ready():
                    await asyncio.sleep(0.05)

    def start_callers(self) -> list[asyncio.Task[None]]:
        """Start the callers of all nodes and return their tasks."""
        return [
            asyncio.ensure_future(self.make_caller(name).run())
            for name in self.nodes
            for _ in range(CALLERS_PER_NODE)
        ]

    def make_caller(self, node: str) -> Caller:
        """Return a new caller of a node."""
        rng = Random(self._rng.random())
        # All callers together send about as many requests to many nodes as to few.
        slowdown = max(1.0, self._node_count / NODES)
        address = self.caller_addresses[node]
        return Caller(node, address, self.record, rng, self.clock, slowdown)

    async def stop(self) -> None:
        """Stop all processes, servers and connections that this fleet has started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for proxy in (*self._store_proxies.values(), *self._server_proxies.values()):
            await proxy.stop()
        for server in self._servers.values():
            await server.stop()
        await self._store.stop()

    async def inject(self, fault: Fault) -> None:
        """Inject a fault and wait until it is over."""
        node = self._pick(self.nodes, fault.pick)
        server = self._pick(self._servers, fault.pick)
        match fault.kind:
            case FaultKind.KILL_NODE:
                self.nodes[node].kill()
            case FaultKind.STOP_NODE:
                self.nodes[node].stop()
            case FaultKind.RELOAD_NODE:
                self.nodes[node].reload()
            case FaultKind.PAUSE_NODE:
                await self.nodes[node].pause(fault.for_s)
            case FaultKind.CHANGE_CONFIG:
                await self._change_config()
            case FaultKind.CRASH_SERVER:
                await self._crash_server(server)
            case FaultKind.DRAIN_SERVER:
                await self._drain_server(server)
            case FaultKind.LIMIT_NOTICE:
                await self._limit_server(server, fault)
            case FaultKind.PAUSE_NOTICE:
                self._servers[server].decline_pause_s = PAUSE_S
                self._servers[server].decline_count += DECLINED_REQUESTS
            case FaultKind.LEAVING_NOTICE:
                await self._leave_unregistered(server)
            case FaultKind.OUTAGE_AFTER_STOP:
                self.nodes[node].stop()
                await asyncio.sleep(HANDOVER_TIME_S)
                await self._disturb_store(fault)
            case FaultKind.LAPSE_REGISTRATION:
                await self._lapse_registration(server, fault.for_s)
            case FaultKind.FOREIGN_ENTRY:
                await self._write_foreign_entry()
            case FaultKind.DRILL:
                await self._drill(fault)
            case FaultKind.MANY_PARTS:
                await self._send_many_parts(node)
            case kind if kind in ANSWER_FAULTS:
                faults = self._servers[server].faults
                faults[kind] += 1
                await asyncio.sleep(fault.for_s)
                faults[kind] -= 1
            case FaultKind.LOSE_WRITES | FaultKind.DROP_HISTORY | FaultKind.STORE_DOWN:
                await self._disturb_store(fault)
            case (
                FaultKind.RESET_STORE
                | FaultKind.STORE_SILENT
                | FaultKind.SLOW_STORE
                | FaultKind.CUT_NODE_FROM_STORE
                | FaultKind.MUTE_STORE_TO_NODE
            ):
                one = fault.kind in (FaultKind.CUT_NODE_FROM_STORE, FaultKind.MUTE_STORE_TO_NODE)
                proxies = [self._store_proxies[node]] if one else [*self._store_proxies.values()]
                await self._disturb_links(fault, proxies, node if one else "", STORE_DELAY_S)
            case _:
                proxies = [self._server_proxies[server]]
                target = self._servers[server].instance
                await self._disturb_links(fault, proxies, target, SERVER_DELAY_S)

    # Faults

    async def _disturb_links(
        self, fault: Fault, proxies: list[FaultProxy], target: str, delay_s: float
    ) -> None:
        began = self.clock()
        slow = fault.kind in (FaultKind.SLOW_STORE, FaultKind.SLOW_SERVER)
        for proxy in proxies:
            if fault.kind in (FaultKind.RESET_STORE, FaultKind.RESET_SERVER):
                proxy.reset()
            elif slow:
                proxy.delay_s = delay_s
            else:
                proxy.to_client_open.clear()
                if fault.kind not in (FaultKind.MUTE_STORE_TO_NODE, FaultKind.MUTE_SERVER):
                    proxy.to_target_open.clear()
        if fault.kind not in (FaultKind.RESET_STORE, FaultKind.RESET_SERVER):
            await asyncio.sleep(fault.for_s)
        for proxy in proxies:
            proxy.delay_s = 0.0
            proxy.to_target_open.set()
            proxy.to_client_open.set()
        self._record_disturbance(began, target)

    async def _disturb_store(self, fault: Fault) -> None:
        began = self.clock()
        match fault.kind:
            case FaultKind.LOSE_WRITES:
                self._store.answers_to_lose += LOST_WRITES
            case FaultKind.DROP_HISTORY:
                self._store.oldest_revision = self._store.revision
            case _:
                self._store.down = True
                await asyncio.sleep(fault.for_s)
                self._store.down = False
        self._record_disturbance(began, "")

    async def _drill(self, fault: Fault) -> None:
        """Let the store go away and come back from a copy."""
        copy = self._store.make_copy()
        await asyncio.sleep(LARGEST_COPY_AGE_S * fault.pick)
        began = self.clock()
        await self._store.drill(copy, min(fault.for_s, LONGEST_DRILL_S), REWRITE_S)
        self._record_disturbance(began, "")

    async def _send_many_parts(self, node: str) -> None:
        """Send requests with very many prompt parts that crash servers, and replace these."""
        caller = self.make_caller(node)
        shared = [f"{part:x}:1" for part in range(PROMPT_PARTS)]
        sent = [
            asyncio.ensure_future(
                caller.send(
                    "stream",
                    PATHS["stream"],
                    f"m{number % 4}",
                    with_good_key=True,
                    prompt=",".join([*shared, f"{DEADLY_PART}:5", f"ab{number:x}:5"]),
                )
            )
            for number in range(REQUESTS_TOGETHER)
        ]
        crashed: set[SoakServer] = set()
        while not all(task.done() for task in sent):
            await asyncio.sleep(0.05)
            for name, server in self._servers.items():
                if server.is_stopped and server not in crashed:
                    crashed.add(server)
                    self._start_task(self._crash_server(name))

    async def _change_config(self) -> None:
        self._version += self._rng.randrange(1, 5)
        path = f"/new{self._version}/"
        config = make_config(self._version)
        look = next(route for route in config["routes"] if route["path_prefix"] == "/look/")
        known = [*self.record.routes, f"{path}x"]
        for prefix in (known_path.removesuffix("x") for known_path in known):
            config["routes"].append({**look, "name": f"r{prefix}", "path_prefix": prefix})
        if self._key_ring is not None:
            self._key_ring.rotate(self.clock())
        await self._write_config(config)
        self.record.routes[f"{path}x"] = self.clock() + CONFIG_APPLY_S

    async def _write_config(self, config: dict[str, Any]) -> None:
        if self._key_ring is not None:
            config = self._key_ring.apply_to(config)
        await self._store.write("config", "main", config)

    async def _write_foreign_entry(self) -> None:
        """Let another writer register something that no node can use."""
        name, entry = self._rng.choice(sorted(FOREIGN_ENTRIES.items()))
        await self._store.write("servers", f"{name}-{self._rng.randrange(3)}", entry)

    async def _crash_server(self, name: str) -> None:
        server = self._servers[name]
        began = self.clock()
        self._server_proxies[name].reset()
        await server.stop()
        await asyncio.sleep(REGISTRATION_LAPSE_S)
        await self._replace_server(name, server)
        self._record_disturbance(began, server.instance)

    async def _drain_server(self, name: str) -> None:
        server = self._servers[name]
        await server.register(state="draining")
        self.record.draining_since.setdefault(server.instance, self.clock())
        await asyncio.sleep(SERVE_WHILE_DRAINING_S)
        await server.stop()
        await self._replace_server(name, server)

    async def _lapse_registration(self, name: str, for_s: float) -> None:
        """Remove the registration of a server that runs on, and let the server renew it."""
        server = self._servers[name]
        if self._store.spec("servers", server.instance) is not None:
            await self._store.remove("servers", server.instance)
        await asyncio.sleep(for_s)
        if self._servers[name] is server and not server.is_stopped:
            await server.register()

    async def _limit_server(self, name: str, fault: Fault) -> None:
        """Let a server name a limit, unless it names one already."""
        server = self._servers[name]
        if server.limit:
            return
        began, per_s = self.clock(), LIMITS_PER_S[int(fault.pick * 97) % len(LIMITS_PER_S)]
        server.limit = str(per_s)
        await asyncio.sleep(fault.for_s)
        server.limit = ""
        self.record.limits.append(LimitRecord(began, self.clock(), server.instance, per_s))

    async def _leave_unregistered(self, name: str) -> None:
        """Let a server leave that says so in its answers only."""
        server = self._servers[name]
        server.is_leaving = True
        await asyncio.sleep(2.0 * SERVE_WHILE_DRAINING_S)
        await server.stop()
        await self._replace_server(name, server)

    async def _replace_server(self, name: str, server: SoakServer) -> None:
        if self._servers[name] is not server:
            return
        if self._store.spec("servers", server.instance) is not None:
            await self._store.remove("servers", server.instance)
        await asyncio.sleep(REGISTRATION_LAPSE_S)
        if self._servers[name] is server:
            await self._start_server(name, ())

    async def _start_server(self, name: str, models: tuple[str, ...]) -> None:
        self._start_count += 1
        server = SoakServer(
            self._store,
            SERVERS[name][0],
            f"i-{name}-{self._start_count}",
            models,
            self._server_addresses[name],
            self.record,
            self.clock,
        )
        server.pause_s = RUN_S
        server.deadly_part = DEADLY_PART
        self._servers[name] = server
        await server.start()

    # Helpers

    def _address_of(self, name: str) -> Callable[[], str]:
        return lambda: self._servers[name].address

    def _settings_writer(
        self, name: str, store: str, front: int, ready: int, control: int
    ) -> Callable[[Path, bool], None]:
        def write(path: Path, first_start: bool) -> None:
            path.write_text(
                make_settings(store, front, ready, control, name, first_start, self._node_ip)
            )

        return write

    def _pick(self, names: dict[str, Any], pick: float) -> str:
        return sorted(names)[int(pick * len(names))]

    def _record_disturbance(self, since: float, target: str) -> None:
        self.record.disturbances.append(Disturbance(since, self.clock(), target))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
