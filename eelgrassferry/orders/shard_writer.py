"""Group commit of one journal shard; a state machine without I/O.

At most one read or conditional write is outstanding, and all operations that arrive meanwhile
ride on the next write. A conflict and a lost answer lead to reading the object again and applying
the operations again, which has no second effect where they are already there.
"""

from dataclasses import dataclass

from result import Err, Ok, Result

from ..objects import Conflict, ObjectError, StoredObject, TooLarge, Unavailable
from .operations import Answer, Begin, Busy, Full, NotWritten, Operation
from .shard import JournalShard

__all__ = ["Answered", "ReadCall", "ShardWriter", "WriteCall", "WriterLimits"]


@dataclass(frozen=True)
class WriterLimits:
    """Settings of a shard's writer. Times are in seconds.

    An end of an order waits up to ``linger_s`` for a begin to ride with. ``max_conflicts`` in a
    row end the operations of a batch, each with an answer that nothing was written.
    """

    retention_s: float = 3600.0
    linger_s: float = 0.05
    max_conflicts: int = 20
    group_commit: bool = True


@dataclass(frozen=True)
class ReadCall:
    """Read the object."""

    key: str


@dataclass(frozen=True)
class WriteCall:
    """Write the object if its version is ``expected``."""

    key: str
    value: bytes
    expected: int


@dataclass(frozen=True)
class Answered:
    """The answer to the operation that ``submit`` gave this number."""

    number: int
    answer: Answer


@dataclass
class _Waiting:
    number: int
    operation: Operation
    submitted_s: float
    # The content was read or written after the operation came in.
    seen_fresh: bool = False
    # Version that a write of unknown outcome expected; it can take effect only on that version.
    uncertain_at: int | None = None

    @property
    def urgent(self) -> bool:
        return isinstance(self.operation, Begin)


class ShardWriter:
    """Applies operations to ``journal/<shard>`` through the calls that the shell makes for it.

    The shell asks ``next_call``, makes the call, reports it with ``finish_read`` or
    ``finish_write``, and passes on ``take_answers``, until ``next_call`` returns None.

    >>> writer = ShardWriter("journal/0", "i1")
    >>> number = writer.submit(Begin("k", "d", "i1", "a1"), now=0.0)
    >>> writer.next_call(now=0.0, wall_s=100.0)
    ReadCall(key='journal/0')
    """

    shard_type = JournalShard

    def __init__(self, key: str, instance: str, limits: WriterLimits | None = None) -> None:
        self._key = key
        self._instance = instance
        self._limits = limits or WriterLimits()
        self._content: JournalShard | None = None
        self._version = 0
        self._waiting: list[_Waiting] = []
        self._riding: list[tuple[_Waiting, Answer]] = []
        self._write_id = ""
        self._lost_id = ""
        self._lost: list[tuple[_Waiting, Answer]] = []
        self._answers: list[Answered] = []
        self._last_number = 0
        self._writes = 0
        self._conflicts = 0
        self._calling = False

    def submit(self, operation: Operation, now: float) -> int:
        """Queue an operation and return its number."""
        self._last_number += 1
        self._waiting.append(_Waiting(self._last_number, operation, now))
        return self._last_number

    def take_answers(self) -> tuple[Answered, ...]:
        """Return the answers since the last call."""
        answers, self._answers = tuple(self._answers), []
        return answers

    def due_s(self) -> float | None:
        """Return the time from which ``next_call`` has work, None where nothing waits."""
        if not self._waiting or self._calling:
            return None
        linger = self._limits.linger_s
        return min(w.submitted_s + (0.0 if w.urgent else linger) for w in self._waiting)

    def next_call(self, now: float, wall_s: float) -> ReadCall | WriteCall | None:
        """Return the next call to make, None where there is nothing to do now."""
        due = self.due_s()
        if due is None or now < due:
            return None
        if self._content is None:
            self._calling = True
            return ReadCall(self._key)
        self._content.prune(wall_s)
        return self._apply_waiting(self._content, wall_s)

    def finish_read(self, got: Result[StoredObject | None, ObjectError]) -> None:
        """Take the outcome of a read."""
        self._calling = False
        match got:
            case Ok(None):
                self._take_content(self.shard_type(self._limits.retention_s), 0)
            case Ok(StoredObject(version=version, value=value)):
                match self.shard_type.decode(value, self._limits.retention_s):
                    case Ok(content):
                        self._take_content(content, version)
                    case Err(detail):
                        self._fail_waiting(detail)
            case Err(error):
                self._fail_waiting(_describe(error))

    def finish_write(self, got: Result[int, ObjectError]) -> None:
        """Take the outcome of the write that ``next_call`` returned last."""
        self._calling = False
        riding, self._riding = self._riding, []
        match got:
            case Ok(version):
                self._version = version
                self._conflicts = 0
                for waiting, answer in riding:
                    waiting.uncertain_at = None
                    self._answer(waiting, answer)
                return
            case Err(Unavailable(uncertain=True)):
                for waiting, _ in riding:
                    waiting.uncertain_at = self._version
                self._lost_id, self._lost = self._write_id, riding
                self._requeue(riding)
            case Err(Conflict()) if self._conflicts < self._limits.max_conflicts:
                self._conflicts += 1
                self._requeue(riding)
            case Err(TooLarge()):
                for waiting, _ in riding:
                    self._answer(waiting, Full())
            case Err(error):
                self._conflicts = 0
                self._requeue(riding)
                self._fail_waiting(_describe(error))
        self._content = None

    def _requeue(self, riding: list[tuple[_Waiting, Answer]]) -> None:
        self._waiting = [waiting for waiting, _ in riding] + self._waiting

    def _take_content(self, content: JournalShard, version: int) -> None:
        self._content, self._version = content, version
        if self._lost_id in content.write_ids:
            # The lost write took effect as a whole, so its answers hold.
            for waiting, answer in self._lost:
                waiting.uncertain_at = None
                self._answer(waiting, answer)
            settled = {waiting.number for waiting, _ in self._lost}
            self._waiting = [w for w in self._waiting if w.number not in settled]
        self._lost_id, self._lost = "", []
        for waiting in self._waiting:
            waiting.seen_fresh = True
            # A write of unknown outcome that expected another version cannot take effect any more;
            # whether it has is visible in this content.
            if waiting.uncertain_at != version:
                waiting.uncertain_at = None

    def _apply_waiting(self, content: JournalShard, wall_s: float) -> ReadCall | WriteCall | None:
        riding: list[tuple[_Waiting, Answer]] = []
        left: list[_Waiting] = []
        changed = False
        for waiting in self._waiting:
            if changed and not self._limits.group_commit:
                left.append(waiting)
                continue
            answer, wrote = content.apply(waiting.operation, wall_s)
            if not wrote and isinstance(answer, Busy) and not waiting.seen_fresh:
                # Another writer may have ended that order since this content was read.
                left.append(waiting)
            else:
                changed = changed or wrote
                riding.append((waiting, answer))
        self._waiting = left
        if not changed:
            for waiting, answer in riding:
                self._answer(waiting, answer)
            self._calling = bool(left)
            return ReadCall(self._key) if left else None
        self._writes += 1
        self._write_id = f"{self._instance}.{self._writes}"
        content.note_write(self._write_id)
        self._riding = riding
        self._calling = True
        return WriteCall(self._key, content.encode(), self._version)

    def _fail_waiting(self, detail: str) -> None:
        waiting, self._waiting = self._waiting, []
        self._lost_id, self._lost = "", []
        for each in waiting:
            self._answer(each, NotWritten(detail, uncertain=False))

    def _answer(self, waiting: _Waiting, answer: Answer) -> None:
        if waiting.uncertain_at is not None and isinstance(answer, Full | NotWritten):
            answer = NotWritten("a write without an answer", uncertain=True)
        self._answers.append(Answered(waiting.number, answer))


def _describe(error: ObjectError) -> str:
    return f"{type(error).__name__} at {error.step}"
