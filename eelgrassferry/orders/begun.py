"""What a node does with an order: the answers and refusals of ``OrderJournal.begin``."""

from dataclasses import dataclass

from .outcome import Outcome

__all__ = [
    "Begun",
    "Fresh",
    "InProgress",
    "JournalFull",
    "JournalUnavailable",
    "KeyReused",
    "OrderRefusal",
    "OutcomeUnknown",
    "Replay",
]


@dataclass(frozen=True)
class Fresh:
    """Dispatch the order now, under this attempt. Exactly one caller in the system gets this."""

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


Begun = Fresh | Replay | InProgress | OutcomeUnknown


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
    """The key's shard holds no further order within retention. Nothing ran."""

    step: str
    peer: str
    shard: int


OrderRefusal = KeyReused | JournalUnavailable | JournalFull
