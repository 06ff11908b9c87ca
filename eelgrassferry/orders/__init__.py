"""Journal of non-idempotent orders: at most once, with group commit."""

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
from .order_journal import OrderJournal
from .outcome import Outcome
from .record import OrderRecord, OrderState
from .shard import JournalShard
from .shard_writer import ShardWriter, WriterLimits

__all__ = [
    "Begun",
    "Fresh",
    "InProgress",
    "JournalFull",
    "JournalLimits",
    "JournalShard",
    "JournalUnavailable",
    "KeyReused",
    "OrderJournal",
    "OrderRecord",
    "OrderRefusal",
    "OrderState",
    "Outcome",
    "OutcomeUnknown",
    "Replay",
    "ShardWriter",
    "WriterLimits",
]
