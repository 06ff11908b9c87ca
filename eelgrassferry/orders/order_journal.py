"""Journal that lets each non-idempotent order run at most once."""

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
from .begin_result import (
    BeginResult,
    InProgress,
    JournalFull,
    JournalUnavailable,
    KeyReused,
    NewAttempt,
    OrderRefusal,
    OutcomeUnknown,
    Replay,
)
from .journal_settings import JournalSettings
from .operations import (
    Abandon,
    AlreadyDone,
    AlreadyStarted,
    Answer,
    Begin,
    Complete,
    DigestMismatch,
    EndRecorded,
    Granted,
    JournalAnswer,
    JournalCall,
    Operation,
    OperationFailed,
    ShardFull,
)
from .outcome import Outcome
from .shard_driver import ShardDriver
from .shard_writer import ShardWriter, WriterSettings

__all__ = ["OrderJournal"]

# Each unrecorded end of an order is a task that retries. The limit bounds the number of tasks
# during an outage of the store.
MAX_UNRECORDED_ENDS = 2000

log = structlog.get_logger()


class OrderJournal:
    """Journal that grants each order to one caller and records how the order ended.

    Each call of ``begin`` creates one attempt. The call sends the attempt to the shard's owner and,
    if the owner does not answer, writes the same attempt to the store itself, so that the attempt
    is recorded at most once. An attempt that may have been recorded without being granted is
    abandoned in the background.

    ``owner_of`` returns the name of the node that owns a shard, given its object key, or None.
    ``is_alive`` returns whether a node instance is alive. ``wall`` is the wall clock.

    >>> match await journal.begin(key, digest):
    ...     case Ok(NewAttempt(attempt)):
    ...         await journal.complete(key, attempt, await dispatch())
    """

    writer_type = ShardWriter

    def __init__(
        self,
        mesh: PeerMesh,
        store: ObjectStore,
        owner_of: Callable[[str], str | None],
        is_alive: Callable[[str], bool],
        settings: JournalSettings | None = None,
        *,
        metrics: Metrics | None = None,
        rng: Random | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._mesh = mesh
        self._store = store
        self._owner_of = owner_of
        self._is_alive = is_alive
        self._settings = settings or JournalSettings()
        self._metrics = metrics or Metrics()
        self._rng = rng or Random()
        self._wall = wall
        self._name = mesh.identity.name
        self._instance = mesh.identity.instance
        self._attempt_count = 0
        self._drivers: dict[int, ShardDriver] = {}
        self._digests: dict[str, str] = {}
        self._abandoned: dict[str, tuple[str, ...]] = {}
        self._unrecorded_outcomes: dict[str, Complete] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        mesh.handle(JournalCall, self._on_journal_call)

    @property
    def unrecorded_ends(self) -> int:
        """Number of completed or abandoned attempts whose end is not recorded yet."""
        return len(self._tasks)

    def shard_of(self, key: str) -> int:
        """Return the index of the shard that holds ``key``.

        All nodes of a site must use the same number of shards.
        """
        return crc32(key.encode()) % self._settings.shards

    async def begin(self, key: str, digest: str) -> Result[BeginResult, OrderRefusal]:
        """Request permission to run the order ``key``; ``digest`` is the digest of its content.

        The order may be dispatched only if the result is ``NewAttempt``, and then only once. After
        that, the caller must call ``complete`` or ``abandon``. An error means that the order was
        not run by this call.
        """
        unrecorded = self._unrecorded_outcomes.get(key)
        if unrecorded is not None and unrecorded.digest == digest:
            return Ok(Replay(unrecorded.outcome))
        if len(self._tasks) >= MAX_UNRECORDED_ENDS:
            self._metrics.count("refused.journal_unavailable")
            detail = f"{len(self._tasks)} ends of orders are not recorded yet"
            return Err(JournalUnavailable("begin", self._name, detail))
        self._attempt_count += 1
        attempt = f"{self._instance}/{self._attempt_count}"
        abandoned_attempts = self._abandoned.get(key, ())
        op = Begin(key, digest, self._instance, attempt, abandoned_attempts)
        answer: Answer = OperationFailed("cancelled", uncertain=True)
        may_take_effect = True
        try:
            answer, may_take_effect = await self._apply(op)
        finally:
            if may_take_effect and not isinstance(answer, Granted):
                self._abandon_attempt(op)
        return self._to_begin_result(op, answer)

    async def complete(
        self, key: str, attempt: str, outcome: Outcome
    ) -> Result[None, JournalUnavailable]:
        """Record the outcome of an attempt.

        If the first write fails, return an error and retry in the background.
        """
        digest = self._digests.pop(attempt, "")
        op = Complete(key, digest, self._instance, attempt, outcome.limit_body())
        self._unrecorded_outcomes[key] = op
        return await self._record_end(op)

    async def abandon(self, key: str, attempt: str) -> Result[None, JournalUnavailable]:
        """Record that an attempt did not run, so that the order may be attempted again.

        If the first write fails, return an error and retry in the background.
        """
        digest = self._digests.pop(attempt, "")
        op = Begin(key, digest, self._instance, attempt)
        return await self._abandon_attempt(op)

    async def close(self, grace_s: float = 2.0) -> None:
        """Stop the journal.

        Wait up to ``grace_s`` seconds until the ends of all orders are recorded, then cancel the
        remaining writes.
        """
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=grace_s)
        for task in set(self._tasks):
            task.cancel()
        for driver in self._drivers.values():
            await driver.close()

    def _to_begin_result(self, op: Begin, answer: Answer) -> Result[BeginResult, OrderRefusal]:
        match answer:
            case Granted(attempt):
                self._digests[attempt] = op.digest
                return Ok(NewAttempt(attempt))
            case AlreadyDone(outcome):
                return Ok(Replay(outcome))
            case AlreadyStarted(instance) if instance == self._instance or self._is_alive(instance):
                return Ok(InProgress(instance))
            case AlreadyStarted():
                return Ok(OutcomeUnknown())
            case DigestMismatch():
                self._metrics.count("refused.key_reused")
                return Err(KeyReused("begin", self._name, op.key))
            case ShardFull():
                self._metrics.count("refused.journal_full")
                return Err(JournalFull("begin", self._name, self.shard_of(op.key)))
            case OperationFailed(detail):
                self._metrics.count("refused.journal_unavailable")
                return Err(JournalUnavailable("begin", self._name, detail))
            case EndRecorded():
                raise AssertionError("a begin cannot be answered with EndRecorded")

    async def _apply(self, op: Operation) -> tuple[Answer, bool]:
        """Apply an operation at the shard's owner, or on this node if the owner does not answer.

        Return the answer, and whether the operation may still take effect although the answer does
        not show it: a request to the owner or a write may be delayed.
        """
        shard = self.shard_of(op.key)
        owner = self._owner_of(f"journal/{shard}")
        may_take_effect = False
        if owner is not None and owner != self._name:
            call = JournalCall(shard, op)
            match await self._mesh.request(owner, call, self._settings.owner_timeout_s):
                case Ok(JournalAnswer(OperationFailed(_, uncertain))):
                    may_take_effect = uncertain
                case Ok(JournalAnswer(answer)) if _is_valid_answer(op, answer):
                    return answer, False
                case Ok(_):
                    may_take_effect = True
                case Err(error):
                    may_take_effect = error.sent
            self._metrics.count("retried.journal_owner")
        answer = await self._driver(shard).run(op)
        if isinstance(answer, OperationFailed) and answer.uncertain:
            may_take_effect = True
        return answer, may_take_effect

    def _driver(self, shard: int) -> ShardDriver:
        driver = self._drivers.get(shard)
        if driver is None:
            settings = self._settings
            writer_settings = WriterSettings(settings.retention_s, settings.linger_s)
            writer = self.writer_type(f"journal/{shard}", self._instance, writer_settings)
            driver = ShardDriver(writer, self._store, settings.store_timeout_s, wall=self._wall)
            self._drivers[shard] = driver
        return driver

    async def _on_journal_call(self, peer: Identity, call: JournalCall) -> JournalAnswer:
        if call.shard != self.shard_of(call.operation.key):
            detail = f"shard {call.shard} is not that of the key; do the nodes' settings differ?"
            log.error("journal call refused", step="journal", peer=peer.name, detail=detail)
            return JournalAnswer(OperationFailed(detail, uncertain=False))
        return JournalAnswer(await self._driver(call.shard).run(call.operation))

    def _abandon_attempt(self, op: Begin) -> asyncio.Future[Result[None, JournalUnavailable]]:
        """Record in the background that an attempt did not run and never will."""
        self._abandoned[op.key] = (*self._abandoned.get(op.key, ()), op.attempt)
        return self._record_end(Abandon(op.key, op.digest, op.instance, op.attempt))

    def _record_end(
        self, op: Complete | Abandon
    ) -> asyncio.Future[Result[None, JournalUnavailable]]:
        """Record the end of an attempt, with retries in the background until the retention time.

        Return a future for the result of the first try.
        """
        fut: asyncio.Future[Result[None, JournalUnavailable]]
        fut = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(self._retry_record_end(op, fut))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return asyncio.shield(fut)

    async def _retry_record_end(
        self, op: Complete | Abandon, fut: asyncio.Future[Result[None, JournalUnavailable]]
    ) -> None:
        backoff = Backoff(self._rng)
        deadline = self._wall() + self._settings.retention_s
        while True:
            answer, _ = await self._apply(op)
            if isinstance(answer, EndRecorded) or self._wall() > deadline:
                break
            if not fut.done():
                detail = getattr(answer, "detail", type(answer).__name__)
                fut.set_result(Err(JournalUnavailable("settle", self._name, detail)))
            self._metrics.count("retried.journal_settle")
            await asyncio.sleep(backoff.next_delay())
        if not fut.done():
            fut.set_result(Ok(None))
        self._remove_end(op)

    def _remove_end(self, op: Complete | Abandon) -> None:
        match op:
            case Complete():
                if self._unrecorded_outcomes.get(op.key) is op:
                    del self._unrecorded_outcomes[op.key]
            case Abandon():
                remaining = tuple(a for a in self._abandoned.get(op.key, ()) if a != op.attempt)
                if remaining:
                    self._abandoned[op.key] = remaining
                else:
                    self._abandoned.pop(op.key, None)


def _is_valid_answer(op: Operation, answer: Answer) -> bool:
    """Return whether another node's answer is a valid answer to this operation."""
    match op, answer:
        case Begin(), Granted(attempt):
            return attempt == op.attempt
        case _, OperationFailed():
            return True
        case Begin(), EndRecorded():
            return False
        case Begin(), _:
            return True
        case _:
            return isinstance(answer, EndRecorded)
