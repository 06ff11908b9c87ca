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

    ``attempt`` identifies this dispatch. Only one caller in the system receives it;
    another attempt is granted only if this one was abandoned.
    """

    attempt: str


@dataclass(frozen=True)
class Replay:
    """The order has completed; ``outcome`` is its recorded outcome."""

    outcome: Outcome


@dataclass(frozen=True)
class InProgress:
    """The node instance ``instance`` is alive and runs the order; the caller should retry later."""

    instance: str


@dataclass(frozen=True)
class OutcomeUnknown:
    """The order was started by an instance that is no longer alive, so it may have run."""


BeginResult = NewAttempt | Replay | InProgress | OutcomeUnknown


@dataclass(frozen=True)
class KeyReused:
    """The key belongs to an order with different content. The order was not run."""

    step: str
    peer: str
    key: str


@dataclass(frozen=True)
class JournalUnavailable:
    """The order could not be recorded. This attempt was not run and never will be."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True)
class JournalFull:
    """The key's shard is full until records pass their retention time. The order was not run."""

    step: str
    peer: str
    shard: int


OrderRefusal = KeyReused | JournalUnavailable | JournalFull
