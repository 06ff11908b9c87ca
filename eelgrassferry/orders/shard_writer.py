"""Group commit of one journal shard, as a state machine without I/O.

At most one read or conditional write is outstanding. Operations that arrive in the meantime are
combined into the next write. After a conflict or a lost answer, the object is read again and the
operations are applied again; operations are idempotent, so those already recorded have no second
effect.
"""

from dataclasses import dataclass

from result import Err, Ok, Result

from ..objects import Conflict, ObjectError, StoredObject, TooLarge, Unavailable
from .operations import AlreadyStarted, Answer, Begin, Operation, OperationFailed, ShardFull
from .shard import JournalShard

__all__ = ["OperationAnswer", "ReadCall", "ShardWriter", "WriteCall", "WriterSettings"]


@dataclass(frozen=True)
class WriterSettings:
    """Settings of a shard writer. Times are in seconds.

    The end of an order waits up to ``linger_s`` for a begin with which it can share a write. When
    a write conflicts after ``max_conflicts`` consecutive conflicts, all pending operations fail.
    Without ``group_commit`` each write records a single operation.
    """

    retention_s: float = 3600.0
    linger_s: float = 0.05
    max_conflicts: int = 20
    group_commit: bool = True


@dataclass(frozen=True)
class ReadCall:
    """Request to read the object ``key``."""

    key: str


@dataclass(frozen=True)
class WriteCall:
    """Request to write the object ``key`` if its version is ``expected``."""

    key: str
    value: bytes
    expected: int


@dataclass(frozen=True)
class OperationAnswer:
    """Answer to the operation for which ``submit`` returned ``number``."""

    number: int
    answer: Answer


@dataclass
class _PendingOperation:
    number: int
    operation: Operation
    submitted_s: float
    # Whether the content was read from the store after the operation was submitted.
    has_newer_content: bool = False
    # Version expected by a write of unknown outcome, which can take effect only on that version.
    uncertain_version: int | None = None

    @property
    def skips_linger(self) -> bool:
        return isinstance(self.operation, Begin)


class ShardWriter:
    """Writer that applies operations to ``journal/<shard>`` through calls made by a driver.

    The driver performs the call returned by ``next_call``, passes its result to ``finish_read`` or
    ``finish_write``, and delivers the answers of ``pop_answers``, until ``next_call`` returns None.

    >>> writer = ShardWriter("journal/0", "i1")
    >>> number = writer.submit(Begin("k", "d", "i1", "a1"), now=0.0)
    >>> writer.next_call(now=0.0, wall_s=100.0)
    ReadCall(key='journal/0')
    """

    shard_type = JournalShard

    def __init__(self, key: str, instance: str, settings: WriterSettings | None = None) -> None:
        self._key = key
        self._instance = instance
        self._settings = settings or WriterSettings()
        self._content: JournalShard | None = None
        self._version = 0
        self._pending: list[_PendingOperation] = []
        self._batch: list[tuple[_PendingOperation, Answer]] = []
        self._write_id = ""
        self._uncertain_write_id = ""
        self._uncertain_batch: list[tuple[_PendingOperation, Answer]] = []
        self._answers: list[OperationAnswer] = []
        self._last_number = 0
        self._write_count = 0
        self._conflict_count = 0
        self._call_outstanding = False

    def submit(self, operation: Operation, now: float) -> int:
        """Queue an operation and return its number."""
        self._last_number += 1
        self._pending.append(_PendingOperation(self._last_number, operation, now))
        return self._last_number

    def pop_answers(self) -> tuple[OperationAnswer, ...]:
        """Return and clear the answers that have accumulated since the last call."""
        answers, self._answers = tuple(self._answers), []
        return answers

    def due_s(self) -> float | None:
        """Return the time at which ``next_call`` next has work.

        Return None if no operation is pending or a call is outstanding.
        """
        if not self._pending or self._call_outstanding:
            return None
        linger = self._settings.linger_s
        return min(op.submitted_s + (0.0 if op.skips_linger else linger) for op in self._pending)

    def next_call(self, now: float, wall_s: float) -> ReadCall | WriteCall | None:
        """Return the next call to make, or None if there is nothing to do now."""
        due = self.due_s()
        if due is None or now < due:
            return None
        if self._content is None:
            self._call_outstanding = True
            return ReadCall(self._key)
        self._content.prune(wall_s)
        return self._apply_pending(self._content, wall_s)

    def finish_read(self, result: Result[StoredObject | None, ObjectError]) -> None:
        """Process the result of the read that ``next_call`` returned last."""
        self._call_outstanding = False
        match result:
            case Ok(None):
                self._set_content(self.shard_type(self._settings.retention_s), 0)
            case Ok(StoredObject(version=version, value=value)):
                match self.shard_type.decode(value, self._settings.retention_s):
                    case Ok(content):
                        self._set_content(content, version)
                    case Err(detail):
                        self._fail_pending(detail)
            case Err(error):
                self._fail_pending(_describe(error))

    def finish_write(self, result: Result[int, ObjectError]) -> None:
        """Process the result of the write that ``next_call`` returned last."""
        self._call_outstanding = False
        batch, self._batch = self._batch, []
        match result:
            case Ok(version):
                self._version = version
                self._conflict_count = 0
                for pending, answer in batch:
                    pending.uncertain_version = None
                    self._answer(pending, answer)
                return
            case Err(Unavailable(uncertain=True)):
                for pending, _ in batch:
                    pending.uncertain_version = self._version
                self._uncertain_write_id, self._uncertain_batch = self._write_id, batch
                self._requeue(batch)
            case Err(Conflict()) if self._conflict_count < self._settings.max_conflicts:
                self._conflict_count += 1
                self._requeue(batch)
            case Err(TooLarge()):
                for pending, _ in batch:
                    self._answer(pending, ShardFull())
            case Err(error):
                self._conflict_count = 0
                self._requeue(batch)
                self._fail_pending(_describe(error))
        self._content = None

    def _requeue(self, batch: list[tuple[_PendingOperation, Answer]]) -> None:
        self._pending = [pending for pending, _ in batch] + self._pending

    def _set_content(self, content: JournalShard, version: int) -> None:
        self._content, self._version = content, version
        if self._uncertain_write_id in content.write_ids:
            # The write whose answer was lost took effect as a whole, so its answers are valid.
            for pending, answer in self._uncertain_batch:
                pending.uncertain_version = None
                self._answer(pending, answer)
            resolved = {pending.number for pending, _ in self._uncertain_batch}
            self._pending = [op for op in self._pending if op.number not in resolved]
        self._uncertain_write_id, self._uncertain_batch = "", []
        for pending in self._pending:
            pending.has_newer_content = True
            # A write of unknown outcome that expected another version can no longer take effect; if
            # it did, this content includes it.
            if pending.uncertain_version != version:
                pending.uncertain_version = None

    def _apply_pending(self, content: JournalShard, wall_s: float) -> ReadCall | WriteCall | None:
        batch: list[tuple[_PendingOperation, Answer]] = []
        remaining: list[_PendingOperation] = []
        changed = False
        for pending in self._pending:
            if changed and not self._settings.group_commit:
                remaining.append(pending)
                continue
            answer, wrote = content.apply(pending.operation, wall_s)
            if not wrote and isinstance(answer, AlreadyStarted) and not pending.has_newer_content:
                # Another writer may have recorded the end of that order since the content was read.
                remaining.append(pending)
            else:
                changed = changed or wrote
                batch.append((pending, answer))
        self._pending = remaining
        if not changed:
            for pending, answer in batch:
                self._answer(pending, answer)
            self._call_outstanding = bool(remaining)
            return ReadCall(self._key) if remaining else None
        self._write_count += 1
        self._write_id = f"{self._instance}.{self._write_count}"
        content.record_write_id(self._write_id)
        self._batch = batch
        self._call_outstanding = True
        return WriteCall(self._key, content.encode(), self._version)

    def _fail_pending(self, detail: str) -> None:
        pending, self._pending = self._pending, []
        self._uncertain_write_id, self._uncertain_batch = "", []
        for operation in pending:
            self._answer(operation, OperationFailed(detail, uncertain=False))

    def _answer(self, pending: _PendingOperation, answer: Answer) -> None:
        if pending.uncertain_version is not None and isinstance(
            answer, ShardFull | OperationFailed
        ):
            answer = OperationFailed("a write without an answer", uncertain=True)
        self._answers.append(OperationAnswer(pending.number, answer))


def _describe(error: ObjectError) -> str:
    return f"{type(error).__name__} at {error.step}"
