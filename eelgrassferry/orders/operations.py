"""Operations on a journal shard and their answers, as they travel between nodes."""

from dataclasses import dataclass

from ..peers import message
from .outcome import Outcome

__all__ = [
    "Answer",
    "Begin",
    "Busy",
    "Close",
    "Complete",
    "Full",
    "Granted",
    "JournalAnswer",
    "JournalCall",
    "Known",
    "NotWritten",
    "Operation",
    "OtherContent",
    "Settled",
]


@dataclass(frozen=True)
class Begin:
    """Record ``started`` for an attempt. ``given_up`` are earlier attempts of this instance."""

    key: str
    digest: str
    instance: str
    attempt: str
    given_up: tuple[str, ...] = ()


@dataclass(frozen=True)
class Complete:
    """Record the outcome of an attempt."""

    key: str
    digest: str
    instance: str
    attempt: str
    outcome: Outcome


@dataclass(frozen=True)
class Close:
    """Record that an attempt did not run and never will."""

    key: str
    digest: str
    instance: str
    attempt: str


Operation = Begin | Complete | Close


@dataclass(frozen=True)
class Granted:
    """``started`` is known to be written for this attempt."""

    attempt: str


@dataclass(frozen=True)
class Known:
    """The order is done."""

    outcome: Outcome


@dataclass(frozen=True)
class Busy:
    """Another attempt is ``started``, by this instance."""

    instance: str


@dataclass(frozen=True)
class OtherContent:
    """The key was used with another digest."""


@dataclass(frozen=True)
class Full:
    """The shard holds no further order within retention. Nothing was written."""


@dataclass(frozen=True)
class NotWritten:
    """The operation failed. Where ``uncertain``, its record may be written all the same."""

    detail: str
    uncertain: bool


@dataclass(frozen=True)
class Settled:
    """The attempt's end is recorded, or needs no record."""


Answer = Granted | Known | Busy | OtherContent | Full | NotWritten | Settled


@message("orders.call")
@dataclass(frozen=True)
class JournalCall:
    """Asks the owner of a shard to apply an operation."""

    shard: int
    operation: Operation


@message("orders.answer")
@dataclass(frozen=True)
class JournalAnswer:
    """The answer to a call."""

    answer: Answer
