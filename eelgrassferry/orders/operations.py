"""Operations on a journal shard, their answers, and the messages that carry both between nodes."""

from dataclasses import dataclass

from ..peers import message
from .outcome import Outcome

__all__ = [
    "Abandon",
    "AlreadyDone",
    "AlreadyStarted",
    "Answer",
    "Begin",
    "Complete",
    "DigestMismatch",
    "EndRecorded",
    "Granted",
    "JournalAnswer",
    "JournalCall",
    "Operation",
    "OperationFailed",
    "ShardFull",
]


@dataclass(frozen=True)
class Begin:
    """Record that an attempt has started.

    ``abandoned_attempts`` lists earlier attempts of this instance that did not run and never will.
    """

    key: str
    digest: str
    instance: str
    attempt: str
    abandoned_attempts: tuple[str, ...] = ()


@dataclass(frozen=True)
class Complete:
    """Record that an attempt has completed with ``outcome``."""

    key: str
    digest: str
    instance: str
    attempt: str
    outcome: Outcome


@dataclass(frozen=True)
class Abandon:
    """Record that an attempt did not run and never will."""

    key: str
    digest: str
    instance: str
    attempt: str


Operation = Begin | Complete | Abandon


@dataclass(frozen=True)
class Granted:
    """The record that this attempt has started is stored, so the order may be dispatched."""

    attempt: str


@dataclass(frozen=True)
class AlreadyDone:
    """The order has completed with ``outcome``."""

    outcome: Outcome


@dataclass(frozen=True)
class AlreadyStarted:
    """Another attempt has started; ``instance`` is the node instance that started it."""

    instance: str


@dataclass(frozen=True)
class DigestMismatch:
    """The key is recorded with a different digest."""


@dataclass(frozen=True)
class ShardFull:
    """The shard has no space for another order within retention. Nothing was written."""


@dataclass(frozen=True)
class OperationFailed:
    """The operation failed. If ``uncertain``, its record may have been written nevertheless."""

    detail: str
    uncertain: bool


@dataclass(frozen=True)
class EndRecorded:
    """The end of the attempt is recorded, or needs no record."""


Answer = (
    Granted
    | AlreadyDone
    | AlreadyStarted
    | DigestMismatch
    | ShardFull
    | OperationFailed
    | EndRecorded
)


@message("orders.call")
@dataclass(frozen=True)
class JournalCall:
    """Request to the owner of a shard to apply an operation."""

    shard: int
    operation: Operation


@message("orders.answer")
@dataclass(frozen=True)
class JournalAnswer:
    """Reply to a ``JournalCall``."""

    answer: Answer
