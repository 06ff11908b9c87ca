"""Idempotency journal: dispatches each non-idempotent order at most once.

An order is a non-idempotent request, such as a booking, that the caller identifies by an
idempotency key. The journal records the state of each order in the object store, in a fixed number
of shards, and writes concurrent records of a shard together (group commit). An order ends when its
attempt is completed with an outcome or abandoned.
"""

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
from .order_journal import OrderJournal
from .outcome import Outcome
from .record import OrderRecord, OrderState
from .shard import JournalShard
from .shard_writer import ShardWriter, WriterSettings

__all__ = [
    "BeginResult",
    "InProgress",
    "JournalFull",
    "JournalSettings",
    "JournalShard",
    "JournalUnavailable",
    "KeyReused",
    "NewAttempt",
    "OrderJournal",
    "OrderRecord",
    "OrderRefusal",
    "OrderState",
    "Outcome",
    "OutcomeUnknown",
    "Replay",
    "ShardWriter",
    "WriterSettings",
]
