"""Several candidates for one lease, one engine, and a network that loses, delays and doubles."""

from dataclasses import dataclass, field

from result import Err, Ok

from ...leases import LeaseMachine, LeaseRecord, ReadLease
from ...objects import Conflict, StoredObject, Unavailable
from .. import EngineOrder, MemoryLedger, OrderKind, UpstreamRecord
from ..memory_engine import MemoryEngine

__all__ = ["ITEMS", "TRANSIT_S", "ControlWorld", "Process"]

TRANSIT_S = 5.0
SEND_LIMIT_S = 1.0
MEMORY_MIB = 100
ITEMS = {"a": 60, "b": 60, "c": 45, "d": 30}


@dataclass
class Flight:
    """An order in the network. It arrives by its deadline or never."""

    order: EngineOrder
    deadline_s: float


@dataclass
class Process:
    """One candidate. ``armed`` is an order that was checked but not written when it paused."""

    name: str
    machine: LeaseMachine
    ledger: MemoryLedger
    paused: bool = False
    alive: bool = True
    epoch: int = 0
    armed: EngineOrder | None = None
    queue: list[tuple[EngineOrder, float]] = field(default_factory=list)


class ControlWorld:
    """All state outside the machines under test, in virtual time.

    ``ledger_class`` and ``machine_class`` take deliberately broken machines.
    """

    def __init__(self, checks_fence, ledger_class=MemoryLedger, machine_class=LeaseMachine):
        self.now = 0.0
        self.checks_fence = checks_fence
        self.ledger_class = ledger_class
        self.machine_class = machine_class
        self.engine = MemoryEngine(MEMORY_MIB, checks_fence)
        self.objects: dict[str, StoredObject] = {}
        self.version = 0
        self.flights: list[Flight] = []
        self.late_writes: list[tuple[str, bytes, int]] = []
        self.held_statuses: list[tuple[Process, object, float]] = []
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
        """Write an object; ``mode`` says what happens to the request and to its answer."""
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
        """Carry out a conditional write."""
        held = self.objects.get(key)
        if (held.version if held else 0) != expected:
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
        """Tell the ledger about the term, as the controller does."""
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

    def learn(self, process):
        """Read record and status."""
        self.sync_term(process)
        if process.ledger.draft is None:
            obj = self.objects.get("upstreams/u1")
            record = UpstreamRecord.decode(obj.value).unwrap() if obj else None
            process.ledger.on_record(obj.version if obj else 0, record, self.now)
        process.ledger.on_status(self.engine.status(self.now), self.now, self.now)
        if process.ledger.needs_fence:
            order = EngineOrder(f"f{self.now}", OrderKind.FENCE, "", "", 0, process.epoch)
            self.flights.append(Flight(order, self.now + TRANSIT_S))

    def record(self, process, mode):
        """Write the record and queue the orders that it covers."""
        write = process.ledger.take_write()
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
        """Send the queued orders that lease and age allow; ``arm`` pauses after the check."""
        self.sync_term(process)
        queue, process.queue = process.queue, []
        for order, reserved_s in queue:
            valid = process.machine.term(self.now) is not None
            if not valid or self.now - reserved_s >= SEND_LIMIT_S:
                process.ledger.on_unsent(order.order_id, self.now)
            elif arm and process.armed is None:
                process.armed = order
                process.paused = True
            else:
                self.flights.append(Flight(order, self.now + TRANSIT_S))
                process.ledger.on_sent(order.order_id, self.now)

    def wake(self, process):
        """Let a paused process go on; what it had checked before, it now sends."""
        process.paused = False
        if process.armed is not None:
            self.flights.append(Flight(process.armed, self.now + TRANSIT_S))
            process.ledger.on_sent(process.armed.order_id, self.now)
            process.armed = None
        self.sync_term(process)

    def kill(self, process):
        """End a process and start another on a new host."""
        self.processes.remove(process)
        process.alive = False
        self.dead.append(process.name)
        self.held_statuses = [held for held in self.held_statuses if held[0] is not process]
        self.processes.append(self.start())

    # Time

    def advance(self, duration_s, renew=True):
        """Let time pass. An order that is neither lost nor delivered arrives at its deadline."""
        end_s = self.now + duration_s
        while self.now < end_s:
            self.now = min(end_s, self.now + 0.5)
            due = [f for f in self.flights if f.deadline_s <= self.now]
            self.flights = [f for f in self.flights if f.deadline_s > self.now]
            for flight in due:
                self.engine.receive(flight.order, flight.deadline_s)
            self.engine.advance(self.now)
            for process in self.processes:
                if renew and not process.paused:
                    self.step_lease(process)
            self.check()

    def check(self):
        """Raise where an invariant does not hold."""
        assert self.engine.overcommits == 0, "memory of the engine was overcommitted"
        valid = [p for p in self.processes if p.machine.term(self.now) is not None]
        assert len(valid) <= 1, "two processes hold the lease in their own view"
        for process in valid:
            epoch = process.machine.term(self.now).epoch
            holder = self.holders.setdefault(epoch, process.name)
            assert holder == process.name, "two holders have the same epoch"
        for epochs in (self.lease_epochs, self.record_epochs):
            assert epochs == sorted(epochs), "an epoch became smaller"
