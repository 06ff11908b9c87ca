"""Simulation of a fleet of gossiping nodes in virtual time, without sockets.

Each node runs the production ``Gossiper`` on a simulated mesh that delivers encoded frames after a
fixed latency. Byte counts and processor time are therefore realistic, except for the cost of
socket calls.
"""

import heapq
import itertools
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from result import Ok

from ..metrics import Metrics
from .frame import Frame, FrameDecoder, encode_frame
from .frame_dispatcher import Handler
from .gossip_settings import GossipSettings, load_interval_s, summary_interval_s
from .gossiper import Gossiper
from .identity import Identity
from .message import Message, decode_message, encode_message, kind_of
from .topics import (
    EngineLoad,
    EngineLoads,
    InFlightCount,
    InFlightCounts,
    LoadSummary,
    ModelSummary,
)

__all__ = ["FleetSize", "SimulatedMesh", "Simulation"]

LATENCY_S = 0.001


@dataclass(frozen=True)
class FleetSize:
    """Size of a simulated fleet.

    ``engines_per_node``, ``models_per_node`` and ``dispatches`` are the numbers of engines, models
    and upstreams that each node reports on.
    """

    nodes: int
    domains: int
    engines_per_node: int
    models_per_node: int
    dispatches: int


class SimulatedMesh:
    """Replacement for ``PeerMesh`` in a simulation, with a link between every pair of nodes."""

    def __init__(self, sim: "Simulation", identity: Identity) -> None:
        self.identity = identity
        self.metrics = Metrics()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.blocked: set[str] = set()
        self._sim = sim
        self._handlers: dict[str, Handler] = {}

    @property
    def peers(self) -> tuple[Identity, ...]:
        """Identities of all other running nodes that are not blocked."""
        up = self._sim.meshes.values()
        return tuple(m.identity for m in up if m is not self and self.can_reach(m))

    def can_reach(self, other: "SimulatedMesh") -> bool:
        """Return whether neither node blocks the other."""
        mine, theirs = self.identity, other.identity
        return not ({theirs.name, theirs.domain} & self.blocked) and not (
            {mine.name, mine.domain} & other.blocked
        )

    def set_targets(self, targets: object) -> None:
        """Do nothing, because all nodes are always linked."""

    def handle(self, kind: str | type, handler: Handler) -> None:
        """Register a handler for a message kind or message class."""
        self._handlers[kind_of(kind)] = handler

    def send(self, name: str, msg: Message) -> bool:
        """Schedule the delivery of a message; return False if the node cannot be reached."""
        other = self._sim.meshes.get(name)
        if other is None or not self.can_reach(other):
            return False
        data = encode_frame(Frame(*encode_message(msg)))
        self.bytes_sent += len(data)
        self.messages_sent += 1
        self._sim.schedule(LATENCY_S, lambda: other.receive(self, data))
        return True

    def receive(self, sender: "SimulatedMesh", data: bytes) -> None:
        """Decode a frame and call its handler, like ``Link`` and ``FrameDispatcher``."""
        if not self.can_reach(sender) or self._sim.meshes.get(self.identity.name) is not self:
            return
        self.bytes_received += len(data)
        decoder = FrameDecoder()
        decoder.feed(data)
        match decoder.next():
            case Ok(Frame(kind, body)):
                msg = decode_message(kind, body).unwrap()
                self._handlers[kind](sender.identity, msg)


class Simulation:
    """Discrete-event simulation of the gossip rounds and message deliveries of a fleet."""

    def __init__(
        self, size: FleetSize, seed: int = 1, settings: GossipSettings | None = None
    ) -> None:
        self.now = 0.0
        self.size = size
        self.meshes: dict[str, SimulatedMesh] = {}
        self.gossipers: dict[str, Gossiper] = {}
        self.processor_s = 0.0
        self._settings = settings or GossipSettings()
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for number in range(size.nodes):
            self.add_node(f"n{number:03d}", f"d{number % size.domains}")

    def add_node(self, name: str, domain: str, instance: str = "") -> Gossiper:
        """Start a node or a new instance of an existing node."""
        identity = Identity(name, domain, instance or f"{name}-1", f"10.0.0.1:{len(self.meshes)}")
        mesh = self.meshes[name] = SimulatedMesh(self, identity)
        rng = Random(self._rng.random())
        gossiper = Gossiper(mesh, settings=self._settings, rng=rng, clock=lambda: self.now)
        self.gossipers[name] = gossiper
        gossiper.announce()
        self._repeat(mesh, lambda: gossiper.round_s, gossiper.run_round)
        if self.size.engines_per_node:
            local_nodes = max(1, self.size.nodes // self.size.domains)
            load_s, summary_s = load_interval_s(local_nodes), summary_interval_s(self.size.nodes)
            self._repeat(mesh, lambda: load_s, lambda: self._publish_load(gossiper))
            self._repeat(mesh, lambda: summary_s, lambda: self._publish_summary(gossiper))
        return gossiper

    def remove_node(self, name: str) -> None:
        """Stop a node without notifying its peers."""
        del self.meshes[name], self.gossipers[name]

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in virtual time."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def run(self, duration_s: float) -> None:
        """Advance virtual time and run the events that become due."""
        end = self.now + duration_s
        started = time.process_time()
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end
        self.processor_s += time.process_time() - started

    def run_until(
        self, condition: Callable[[], bool], limit_s: float, step_s: float = 0.05
    ) -> float:
        """Advance virtual time until a condition holds or the limit has passed.

        Return the elapsed virtual time in seconds.
        """
        started = self.now
        while not condition() and self.now - started < limit_s:
            self.run(step_s)
        return self.now - started

    def _repeat(
        self, mesh: SimulatedMesh, interval: Callable[[], float], action: Callable[[], None]
    ) -> None:
        def run_step() -> None:
            if self.meshes.get(mesh.identity.name) is mesh:
                action()
                self.schedule(interval(), run_step)

        self.schedule(self._rng.uniform(0.0, interval()), run_step)

    def _publish_load(self, gossiper: Gossiper) -> None:
        rng, size = self._rng, self.size
        name = gossiper.membership.own.name
        loads = (
            EngineLoad(f"{name}e{n}", rng.randrange(64), rng.randrange(300), 70_000, 20)
            for n in range(size.engines_per_node)
        )
        gossiper.publish(EngineLoads(tuple(loads)))
        rows = (InFlightCount(f"n{rng.randrange(999):03d}e{n}", 3) for n in range(size.dispatches))
        gossiper.publish(InFlightCounts(tuple(rows)))

    def _publish_summary(self, gossiper: Gossiper) -> None:
        names: Iterable[int] = range(self.size.models_per_node)
        models = (ModelSummary(f"m{self._rng.randrange(1700):04d}", 2, n) for n in names)
        gossiper.publish(LoadSummary(tuple(models)))
