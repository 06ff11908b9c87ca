"""Simulation of several lease candidates and one engine on an unreliable network.

The network loses, delays and duplicates orders.
"""

from dataclasses import dataclass, field

from result import Err, Ok

from ...leases import LeaseMachine, LeaseRecord, ReadLease
from ...objects import Conflict, StoredObject, Unavailable
from .. import EngineOrder, MemoryLedger, OrderKind, UpstreamRecord
from ..simulated_engine import SimulatedEngine

__all__ = ["ITEMS", "TRANSIT_S", "FaultSimulation", "Process"]

TRANSIT_S = 5.0
SEND_LIMIT_S = 1.0
MEMORY_MIB = 100
ITEMS = {"a": 60, "b": 60, "c": 45, "d": 30}


@dataclass
class InFlightOrder:
    """Order in the network. It arrives by its deadline or never."""

    order: EngineOrder
    deadline_s: float


@dataclass
class Process:
    """Process that is a candidate for the lease.

    ``checked_order`` is an order whose lease check had passed, but which was not sent yet, when
    the process was paused.
    """

    name: str
    machine: LeaseMachine
    ledger: MemoryLedger
    paused: bool = False
    alive: bool = True
    epoch: int = 0
    checked_order: EngineOrder | None = None
    queue: list[tuple[EngineOrder, float]] = field(default_factory=list)


class FaultSimulation:
    """Simulation of the environment of the ledger and lease state machines, in virtual time.

    ``ledger_class`` and ``machine_class`` accept deliberately faulty implementations.
    """

    def __init__(self, checks_fence, ledger_class=MemoryLedger, machine_class=LeaseMachine):
        self.now = 0.0
        self.checks_fence = checks_fence
        self.ledger_class = ledger_class
        self.machine_class = machine_class
        self.engine = SimulatedEngine(MEMORY_MIB, checks_fence)
        self.objects: dict[str, StoredObject] = {}
        self.version = 0
        self.in_flight_orders: list[InFlightOrder] = []
        self.late_writes: list[tuple[str, bytes, int]] = []
        self.delayed_statuses: list[tuple[Process, object, float]] = []
        self.started = 0
        self.processes = [self.start() for _ in range(3)]
        self.dead: list[str] = []
        self.holders: dict[int, str] = {}
        self.lease_epochs: list[int] = [0]
        self.record_epochs: list[int] = [0]

    def start(self) -> Process:
        """Start a process on a host of its own."""
        self.started += 1
        name = f"n{self.started}:x"
        ledger = self.ledger_class("u1", name, MEMORY_MIB, self.checks_fence, TRANSIT_S)
        return Process(name, self.machine_class("s1", name), ledger)

    # The object API

    def read(self, key):
        """Read an object."""
        return Ok(self.objects.get(key))

    def write(self, key, value, expected, mode):
        """Write an object; ``mode`` determines the fault of the request or of its answer."""
        if mode == "down":
            return Err(Unavailable("put", "world", "down", uncertain=False))
        if mode == "late":
            self.late_writes.append((key, value, expected))
        if mode in ("late", "dropped"):
            return Err(Unavailable("put", "world", "lost", uncertain=True))
        res = self.apply(key, value, expected)
        lost = Err(Unavailable("put", "world", "lost", uncertain=True))
        return lost if mode == "lost" else res

    def apply(self, key, value, expected):
        """Apply a conditional write."""
        stored = self.objects.get(key)
        if (stored.version if stored else 0) != expected:
            return Err(Conflict("put", "world", key))
        self.version += 1
        self.objects[key] = StoredObject(key, self.version, value)
        if key.startswith("leases/"):
            self.lease_epochs.append(LeaseRecord.decode(value).unwrap().epoch)
        else:
            self.record_epochs.append(UpstreamRecord.decode(value).unwrap().epoch)
        return Ok(self.version)

    # Processes

    def step_lease(self, process, mode="ok"):
        """Perform the lease actions that are due."""
        for _ in range(3):
            actions = process.machine.tick(self.now)
            for action in actions:
                if isinstance(action, ReadLease):
                    process.machine.on_read(self.read(process.machine.key), self.now)
                else:
                    res = self.write(process.machine.key, action.value, action.expected, mode)
                    process.machine.on_write(res, self.now)
            if not actions:
                break
        self.sync_term(process)

    def sync_term(self, process):
        """Pass a change of the lease term to the ledger, as the controller does."""
        term = process.machine.term(self.now)
        if (term.epoch if term else 0) == process.epoch:
            return
        process.epoch = term.epoch if term else 0
        for order, _ in process.queue:
            process.ledger.on_unsent(order.order_id, self.now)
        process.queue.clear()
        if term is None:
            process.ledger.end_term()
        else:
            process.ledger.begin_term(term.epoch, self.now)

    def read_state(self, process):
        """Read the record and the engine's status."""
        self.sync_term(process)
        if process.ledger.draft is None:
            obj = self.objects.get("upstreams/u1")
            record = UpstreamRecord.decode(obj.value).unwrap() if obj else None
            process.ledger.on_record(obj.version if obj else 0, record, self.now)
        process.ledger.on_status(self.engine.status(self.now), self.now, self.now)
        if process.ledger.needs_fence:
            order = EngineOrder(f"f{self.now}", OrderKind.FENCE, "", "", 0, process.epoch)
            self.in_flight_orders.append(InFlightOrder(order, self.now + TRANSIT_S))

    def write_record(self, process, mode):
        """Write the record and queue the orders of the reservations that it contains."""
        write = process.ledger.pop_write()
        if write is None:
            return
        res = self.write("upstreams/u1", write.record.encode(), write.expected, mode)
        sent_s = self.now
        for r in process.ledger.on_written(res, self.now):
            order = EngineOrder(
                r.order_id, r.kind, r.name, r.version, r.memory_mib, process.ledger.epoch
            )
            process.queue.append((order, sent_s))

    def send(self, process, arm=False):
        """Send the queued orders whose lease and reservation are valid.

        If ``arm`` is True, the process is paused between the check and the send.
        """
        self.sync_term(process)
        queue, process.queue = process.queue, []
        for order, reserved_s in queue:
            valid = process.machine.term(self.now) is not None
            if not valid or self.now - reserved_s >= SEND_LIMIT_S:
                process.ledger.on_unsent(order.order_id, self.now)
            elif arm and process.checked_order is None:
                process.checked_order = order
                process.paused = True
            else:
                self.in_flight_orders.append(InFlightOrder(order, self.now + TRANSIT_S))
                process.ledger.on_sent(order.order_id, self.now)

    def wake(self, process):
        """Resume a paused process, which then sends the order that it had checked before."""
        process.paused = False
        if process.checked_order is not None:
            self.in_flight_orders.append(InFlightOrder(process.checked_order, self.now + TRANSIT_S))
            process.ledger.on_sent(process.checked_order.order_id, self.now)
            process.checked_order = None
        self.sync_term(process)

    def kill(self, process):
        """End a process and start another on a new host."""
        self.processes.remove(process)
        process.alive = False
        self.dead.append(process.name)
        self.delayed_statuses = [
            entry for entry in self.delayed_statuses if entry[0] is not process
        ]
        self.processes.append(self.start())

    # Time

    def advance(self, duration_s, renew=True):
        """Advance the time. Orders that were not lost or delivered arrive at their deadline."""
        end_s = self.now + duration_s
        while self.now < end_s:
            self.now = min(end_s, self.now + 0.5)
            due = [f for f in self.in_flight_orders if f.deadline_s <= self.now]
            self.in_flight_orders = [f for f in self.in_flight_orders if f.deadline_s > self.now]
            for in_flight in due:
                self.engine.receive(in_flight.order, in_flight.deadline_s)
            self.engine.advance(self.now)
            for process in self.processes:
                if renew and not process.paused:
                    self.step_lease(process)
            self.check()

    def check(self):
        """Check the invariants with assertions."""
        assert self.engine.overcommits == 0, "memory of the engine was overcommitted"
        valid = [p for p in self.processes if p.machine.term(self.now) is not None]
        assert len(valid) <= 1, "two processes hold the lease in their own view"
        for process in valid:
            epoch = process.machine.term(self.now).epoch
            holder = self.holders.setdefault(epoch, process.name)
            assert holder == process.name, "two holders have the same epoch"
        for epochs in (self.lease_epochs, self.record_epochs):
            assert epochs == sorted(epochs), "an epoch became smaller"
