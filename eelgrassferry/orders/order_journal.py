"""The journal as the node uses it: non-idempotent orders run at most once."""

import asyncio
import time
from collections.abc import Callable
from random import Random
from zlib import crc32

import structlog
from result import Err, Ok, Result

from ..metrics import Metrics
from ..objects import ObjectStore
from ..peers import Identity, PeerMesh
from ..peers.backoff import Backoff
from .begun import (
    Begun,
    Fresh,
    InProgress,
    JournalFull,
    JournalUnavailable,
    KeyReused,
    OrderRefusal,
    OutcomeUnknown,
    Replay,
)
from .journal_limits import JournalLimits
from .operations import (
    Answer,
    Begin,
    Busy,
    Close,
    Complete,
    Full,
    Granted,
    JournalAnswer,
    JournalCall,
    Known,
    NotWritten,
    Operation,
    OtherContent,
    Settled,
)
from .outcome import Outcome
from .shard_driver import ShardDriver
from .shard_writer import ShardWriter, WriterLimits

__all__ = ["OrderJournal"]

# Each end that is not recorded yet is a task that retries; an outage must not pile them up.
MAX_UNSETTLED = 2000

log = structlog.get_logger()


class OrderJournal:
    """Grants each order to one caller, and records how it ended.

    An attempt belongs to one call of ``begin``. The call sends the same attempt first to the
    shard's owner and, where that does not answer, writes it itself, so that the record can name it
    at most once. An attempt that may be written and was not granted is closed in the background.

    >>> match await journal.begin(key, digest):
    ...     case Ok(Fresh(attempt)):
    ...         await journal.complete(key, attempt, await dispatch())
    """

    writer_type = ShardWriter

    def __init__(
        self,
        mesh: PeerMesh,
        store: ObjectStore,
        owner_of: Callable[[str], str | None],
        is_alive: Callable[[str], bool],
        limits: JournalLimits | None = None,
        *,
        metrics: Metrics | None = None,
        rng: Random | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._mesh = mesh
        self._store = store
        self._owner_of = owner_of
        self._is_alive = is_alive
        self._limits = limits or JournalLimits()
        self._metrics = metrics or Metrics()
        self._rng = rng or Random()
        self._wall = wall
        self._name = mesh.identity.name
        self._instance = mesh.identity.instance
        self._attempts = 0
        self._drivers: dict[int, ShardDriver] = {}
        self._digests: dict[str, str] = {}
        self._given_up: dict[str, tuple[str, ...]] = {}
        self._ended: dict[str, Complete] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        mesh.handle(JournalCall, self._serve)

    @property
    def unsettled(self) -> int:
        """Ends of orders that are not recorded yet."""
        return len(self._tasks)

    def shard_of(self, key: str) -> int:
        """Return the shard of a key. All nodes of a site use the same number of shards."""
        return crc32(key.encode()) % self._limits.shards

    async def begin(self, key: str, digest: str) -> Result[Begun, OrderRefusal]:
        """Ask to run an order; ``digest`` is the digest of its content.

        Only after ``Fresh`` the order may be dispatched, once, followed by ``complete`` or
        ``abandon``. A refusal means that nothing ran.
        """
        ended = self._ended.get(key)
        if ended is not None and ended.digest == digest:
            return Ok(Replay(ended.outcome))
        if len(self._tasks) >= MAX_UNSETTLED:
            self._metrics.count("refused.journal_unavailable")
            detail = f"{len(self._tasks)} ends of orders are not recorded yet"
            return Err(JournalUnavailable("begin", self._name, detail))
        self._attempts += 1
        attempt = f"{self._instance}/{self._attempts}"
        given_up = self._given_up.get(key, ())
        op = Begin(key, digest, self._instance, attempt, given_up)
        answer: Answer = NotWritten("cancelled", uncertain=True)
        stray = True
        try:
            answer, stray = await self._apply(op)
        finally:
            if stray and not isinstance(answer, Granted):
                self._give_up(op)
        return self._to_begun(op, answer)

    async def complete(
        self, key: str, attempt: str, outcome: Outcome
    ) -> Result[None, JournalUnavailable]:
        """Record the outcome. On an error recording goes on in the background."""
        digest = self._digests.pop(attempt, "")
        op = Complete(key, digest, self._instance, attempt, outcome.fit())
        self._ended[key] = op
        return await self._settle(op)

    async def abandon(self, key: str, attempt: str) -> Result[None, JournalUnavailable]:
        """Record that the order definitely did not run, so that the key may be tried again."""
        digest = self._digests.pop(attempt, "")
        op = Begin(key, digest, self._instance, attempt)
        return await self._give_up(op)

    async def close(self, grace_s: float = 2.0) -> None:
        """Wait up to ``grace_s`` for ends of orders to be recorded, then stop."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=grace_s)
        for task in set(self._tasks):
            task.cancel()
        for driver in self._drivers.values():
            await driver.close()

    def _to_begun(self, op: Begin, answer: Answer) -> Result[Begun, OrderRefusal]:
        match answer:
            case Granted(attempt):
                self._digests[attempt] = op.digest
                return Ok(Fresh(attempt))
            case Known(outcome):
                return Ok(Replay(outcome))
            case Busy(instance) if instance == self._instance or self._is_alive(instance):
                return Ok(InProgress(instance))
            case Busy():
                return Ok(OutcomeUnknown())
            case OtherContent():
                self._metrics.count("refused.key_reused")
                return Err(KeyReused("begin", self._name, op.key))
            case Full():
                self._metrics.count("refused.journal_full")
                return Err(JournalFull("begin", self._name, self.shard_of(op.key)))
            case NotWritten(detail):
                self._metrics.count("refused.journal_unavailable")
                return Err(JournalUnavailable("begin", self._name, detail))
            case Settled():
                raise AssertionError("a begin is never answered as settled")

    async def _apply(self, op: Operation) -> tuple[Answer, bool]:
        """Apply an operation at the owner or here.

        The second value says whether the operation may take effect elsewhere after this.
        """
        shard = self.shard_of(op.key)
        owner = self._owner_of(f"journal/{shard}")
        stray = False
        if owner is not None and owner != self._name:
            call = JournalCall(shard, op)
            match await self._mesh.request(owner, call, self._limits.owner_timeout_s):
                case Ok(JournalAnswer(NotWritten(_, uncertain))):
                    stray = uncertain
                case Ok(JournalAnswer(answer)) if _fits(op, answer):
                    return answer, False
                case Ok(_):
                    stray = True
                case Err(error):
                    stray = error.sent
            self._metrics.count("retried.journal_owner")
        answer = await self._driver(shard).run(op)
        if isinstance(answer, NotWritten) and answer.uncertain:
            stray = True
        return answer, stray

    def _driver(self, shard: int) -> ShardDriver:
        driver = self._drivers.get(shard)
        if driver is None:
            limits = self._limits
            writer_limits = WriterLimits(limits.retention_s, limits.linger_s)
            writer = self.writer_type(f"journal/{shard}", self._instance, writer_limits)
            driver = ShardDriver(writer, self._store, limits.store_timeout_s, wall=self._wall)
            self._drivers[shard] = driver
        return driver

    async def _serve(self, peer: Identity, call: JournalCall) -> JournalAnswer:
        if call.shard != self.shard_of(call.operation.key):
            detail = f"shard {call.shard} is not that of the key; do the nodes' settings differ?"
            log.error("journal call refused", step="journal", peer=peer.name, detail=detail)
            return JournalAnswer(NotWritten(detail, uncertain=False))
        return JournalAnswer(await self._driver(call.shard).run(call.operation))

    def _give_up(self, op: Begin) -> asyncio.Future[Result[None, JournalUnavailable]]:
        """Close an attempt that was not or will not be dispatched."""
        self._given_up[op.key] = (*self._given_up.get(op.key, ()), op.attempt)
        return self._settle(Close(op.key, op.digest, op.instance, op.attempt))

    def _settle(self, op: Complete | Close) -> asyncio.Future[Result[None, JournalUnavailable]]:
        """Record an end, for as long as it takes; the future has the outcome of the first try."""
        fut: asyncio.Future[Result[None, JournalUnavailable]]
        fut = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(self._keep_settling(op, fut))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return asyncio.shield(fut)

    async def _keep_settling(
        self, op: Complete | Close, fut: asyncio.Future[Result[None, JournalUnavailable]]
    ) -> None:
        backoff = Backoff(self._rng)
        deadline = self._wall() + self._limits.retention_s
        while True:
            answer, _ = await self._apply(op)
            if isinstance(answer, Settled) or self._wall() > deadline:
                break
            if not fut.done():
                detail = getattr(answer, "detail", type(answer).__name__)
                fut.set_result(Err(JournalUnavailable("settle", self._name, detail)))
            self._metrics.count("retried.journal_settle")
            await asyncio.sleep(backoff.next_delay())
        if not fut.done():
            fut.set_result(Ok(None))
        self._forget(op)

    def _forget(self, op: Complete | Close) -> None:
        match op:
            case Complete():
                if self._ended.get(op.key) is op:
                    del self._ended[op.key]
            case Close():
                left = tuple(a for a in self._given_up.get(op.key, ()) if a != op.attempt)
                if left:
                    self._given_up[op.key] = left
                else:
                    self._given_up.pop(op.key, None)


def _fits(op: Operation, answer: Answer) -> bool:
    """Return whether an answer of another node can be one to this operation."""
    match op, answer:
        case Begin(), Granted(attempt):
            return attempt == op.attempt
        case _, NotWritten():
            return True
        case Begin(), Settled():
            return False
        case Begin(), _:
            return True
        case _:
            return isinstance(answer, Settled)
