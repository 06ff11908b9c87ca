"""Simulated nodes with journals on one store and network, of which the test controls each step."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

from result import Err, Ok

from ...objects import Conflict, StoredObject, Unavailable
from ...peers import PeerError, PeerFailure
from .. import JournalSettings, NewAttempt, OrderJournal, Outcome, Replay
from ..operations import JournalAnswer


class FakeTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock the test advances."""

    now = 0.0

    def time(self) -> float:
        return self.now


@dataclass
class StoreCall:
    """Pending call to the store.

    The test decides when the call takes effect and whether it is answered, lost or refused.
    """

    node: "Node"
    key: str
    value: bytes | None
    expected: int
    fut: asyncio.Future
    result: object = None


@dataclass
class Message:
    """Request between nodes, which may be delivered after its sender has timed out."""

    sender: "Node"
    target: str
    body: object
    fut: asyncio.Future
    answer: object = None


@dataclass
class Node:
    """Node instance with its journal, for which it also acts as the mesh and the store client."""

    cluster: "SimulatedCluster"
    identity: SimpleNamespace
    alive: bool = True
    handler: object = None
    owner: str | None = None
    journal: OrderJournal = field(init=False)

    def handle(self, kind, handler):
        self.handler = handler

    async def request(self, target, body, timeout_s):
        msg = Message(self, target, body, asyncio.get_running_loop().create_future())
        self.cluster.messages.append(msg)
        self.cluster.history.append(msg)
        return await msg.fut

    async def get(self, key):
        return await self._call(key, None, 0)

    async def put(self, key, value, expected):
        return await self._call(key, value, expected)

    async def _call(self, key, value, expected):
        fut = asyncio.get_running_loop().create_future()
        call = StoreCall(self, key, value, expected, fut)
        self.cluster.calls.append(call)
        self.cluster.history.append(call)
        return await fut


class SimulatedCluster:
    """Nodes ``n0`` to ``n2`` and the results that the callers of their journals have received.

    ``delivered`` are messages that reached their target. ``may_run`` lists the attempts that may
    run each key, of which there must never be two. ``callers`` are pairs of a node and a key that
    was begun there, and ``orphaned`` are the keys begun on a node that was later killed.
    """

    conditional = True
    revive_dead = False

    def __init__(self, journal_type=OrderJournal):
        self.loop = FakeTimeLoop()
        self.journal_type = journal_type
        self.objects: dict[str, StoredObject] = {}
        self.version = 0
        self.calls: list[StoreCall] = []
        self.messages: list[Message] = []
        self.delivered: list[Message] = []
        # References that keep the tasks of dead nodes from being garbage-collected, which would run
        # their clean-up code.
        self.history: list[object] = []
        self.nodes: dict[str, Node] = {}
        self.begins: list[tuple[Node, str, asyncio.Task]] = []
        self.granted: list[tuple[Node, str, str]] = []
        self.may_run: dict[str, list[str]] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.suspected: set[str] = set()
        self.instances = 0
        self.orphaned: set[str] = set()
        self.callers: set[tuple[str, str]] = set()
        for name in ("n0", "n1", "n2"):
            self.start(name)

    def start(self, name):
        """Start a new instance of a node."""
        self.instances += 1
        identity = SimpleNamespace(name=name, instance=f"{name}-{self.instances}")
        node = self.nodes[name] = Node(self, identity)
        settings = JournalSettings(shards=1, store_timeout_s=1e9, retention_s=1e9)
        node.journal = self.journal_type(
            node,
            node,
            lambda key: node.owner,
            self.is_alive,
            settings,
            rng=Random(1),
            wall=self.wall,
        )

    def wall(self):
        return self.loop.now

    def is_alive(self, instance):
        up = {node.identity.instance for node in self.nodes.values() if node.alive}
        return instance in up - self.suspected

    def run_until_idle(self):
        """Run the tasks as far as they get, and process the results of completed begins."""

        async def yield_to_tasks():
            for _ in range(30):
                await asyncio.sleep(0)

        self.loop.run_until_complete(yield_to_tasks())
        for item in list(self.begins):
            if item[2].done():
                self.begins.remove(item)
                self.record_begin_result(*item)

    def begin(self, name, key, digest):
        """Begin an order at a node."""
        node = self.nodes[name]
        self.callers.add((name, key))
        task = self.loop.create_task(node.journal.begin(key, digest))
        self.begins.append((node, key, task))
        self.run_until_idle()

    def kill(self, name):
        """Stop a node between two steps; the messages and calls it has sent stay in flight."""
        node = self.nodes[name]
        node.alive = False
        self.begins = [item for item in self.begins if item[0] is not node]
        self.orphaned |= {key for other, key in self.callers if other == name}
        self.callers = {item for item in self.callers if item[0] != name}
        for msg in [msg for msg in self.delivered if msg.target == name]:
            self.delivered.remove(msg)
            self.fail(msg, sent=True)

    def record_begin_result(self, node, key, task):
        """Check the result of a begin against the earlier results for its key."""
        if task.cancelled() or not node.alive:
            return
        match task.result():
            case Ok(NewAttempt(attempt)):
                running = self.may_run.setdefault(key, [])
                assert not running, f"{attempt} and {running} may both run {key}"
                running.append(attempt)
                self.granted.append((node, key, attempt))
            case Ok(Replay(outcome)):
                assert outcome == self.outcomes.get(key), f"{key} replays another outcome"

    def finish(self, item, ran):
        """End a granted order: complete it if ``ran``, otherwise abandon it."""
        self.granted.remove(item)
        node, key, attempt = item
        if not node.alive:
            return
        if ran:
            outcome = self.outcomes[key] = Outcome(200, attempt.encode())
            self.loop.create_task(node.journal.complete(key, attempt, outcome))
        else:
            self.may_run[key].remove(attempt)
            self.loop.create_task(node.journal.abandon(key, attempt))
        self.run_until_idle()

    def apply_call(self, call):
        """Let a call take effect in the store without an answer."""
        if call.result is not None:
            return
        existing = self.objects.get(call.key)
        if call.value is None:
            call.result = Ok(existing)
        elif self.conditional and (existing.version if existing else 0) != call.expected:
            call.result = Err(Conflict("put", "store", call.key))
        else:
            self.version += 1
            self.objects[call.key] = StoredObject(call.key, self.version, call.value)
            call.result = Ok(self.version)

    def answer(self, call, lost=False):
        """Answer a call.

        A write whose answer is lost before it takes effect stays in flight.
        """
        if lost:
            self.resolve(call, Err(Unavailable("put", "store", "", call.value is not None)))
            if call.result is None and call.value is not None:
                return
        else:
            self.apply_call(call)
            self.resolve(call, call.result)
        self.calls.remove(call)

    def refuse(self, call):
        """Answer a call that has not taken effect with an error, and drop it."""
        if call.result is None:
            self.resolve(call, Err(Unavailable("call", "store", "down", uncertain=False)))
            self.calls.remove(call)

    def resolve(self, item, result):
        """Pass a result to the node that waits for a call or message, unless it has stopped."""
        node = item.node if isinstance(item, StoreCall) else item.sender
        if node.alive and not item.fut.done():
            item.fut.set_result(result)
        self.run_until_idle()

    def deliver(self, msg):
        """Deliver a message, or report its target as unreachable if that has stopped."""
        self.messages.remove(msg)
        self.delivered.append(msg)
        target = self.nodes[msg.target]
        if target.alive:
            task = self.loop.create_task(target.handler(msg.sender.identity, msg.body))

            def forward_answer(done):
                if target.alive and not done.cancelled() and not msg.fut.done():
                    answer = done.result()
                    assert isinstance(answer, JournalAnswer)
                    msg.fut.set_result(Ok(answer))

            task.add_done_callback(forward_answer)
        else:
            self.fail(msg, sent=False)
        self.run_until_idle()

    def fail(self, msg, sent):
        """Let the request of a message fail; with ``sent`` it may still be delivered."""
        failure = PeerFailure.TIMEOUT if sent else PeerFailure.UNREACHABLE
        self.resolve(msg, Err(PeerError("request", msg.target, failure, sent)))
        if not sent and msg in self.messages:
            self.messages.remove(msg)

    def advance(self, duration_s):
        """Advance the clock and run the tasks that are due."""
        self.loop.now += duration_s
        self.run_until_idle()

    def recover(self):
        """Restart dead nodes, remove suspicions, and run until nothing is in flight."""
        for name, node in list(self.nodes.items()):
            if not node.alive:
                self.start(name)
        self.suspected.clear()
        for node in self.nodes.values():
            node.owner = "n0"
        self.run()

    def run(self):
        """Deliver messages, answer calls and advance time until nothing is in flight."""
        for _ in range(200):
            while self.messages:
                self.deliver(self.messages[0])
            while self.calls:
                self.answer(self.calls[0])
            self.advance(1.0)
            if not self.calls and not self.messages and not self.begins:
                unrecorded_ends = (
                    n.journal.unrecorded_ends for n in self.nodes.values() if n.alive
                )
                if not any(unrecorded_ends):
                    return

    def close(self):
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
