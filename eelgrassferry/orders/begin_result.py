"""Results and errors of ``OrderJournal.begin``."""

from dataclasses import dataclass

from .outcome import Outcome

__all__ = [
    "BeginResult",
    "InProgress",
    "JournalFull",
    "JournalUnavailable",
    "KeyReused",
    "NewAttempt",
    "OrderRefusal",
    "OutcomeUnknown",
    "Replay",
]


@dataclass(frozen=True)
class NewAttempt:
    """Permission to dispatch the order now.

    Only one caller in the system receives it; another attempt is granted only if ``attempt`` was
    abandoned.
    """

    attempt: str


@dataclass(frozen=True)
class Replay:
    """The order is done; answer with the recorded outcome."""

    outcome: Outcome


@dataclass(frozen=True)
class InProgress:
    """A live instance is running the order; ask again later."""

    instance: str


@dataclass(frozen=True)
class OutcomeUnknown:
    """The order was started by an instance that is not alive, and may have run."""


BeginResult = NewAttempt | Replay | InProgress | OutcomeUnknown


@dataclass(frozen=True)
class KeyReused:
    """The key was used for an order with other content. Nothing ran."""

    step: str
    peer: str
    key: str


@dataclass(frozen=True)
class JournalUnavailable:
    """The order could not be recorded. Nothing ran, and this attempt never will."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True)
class JournalFull:
    """The key's shard is full until records pass their retention time. Nothing ran."""

    step: str
    peer: str
    shard: int


OrderRefusal = KeyReused | JournalUnavailable | JournalFull
