"""The content of one journal object, ``journal/<shard>``.

The object is a msgpack list: format version, ids of the latest writes, and a flat list of key,
wall-clock second and packed record for each order. Records stay packed until they are needed, so
that reading a full shard costs a few milliseconds and writing it copies bytes.
"""

from dataclasses import replace

import msgpack
from result import Err, Ok, Result

from .operations import (
    Answer,
    Begin,
    Busy,
    Close,
    Complete,
    Full,
    Granted,
    Known,
    NotWritten,
    Operation,
    OtherContent,
    Settled,
)
from .outcome import Outcome
from .record import OrderRecord, OrderState

__all__ = ["LIMIT_BYTES", "JournalShard"]

FORMAT = 1
# New orders are refused above this size. The object API holds 1,000,000 bytes; the space between
# is for the outcomes of orders that have started.
LIMIT_BYTES = 900_000
OUTCOME_LIMIT_BYTES = 960_000
# A read-back after a lost answer finds its write id unless this many others have written since;
# then the operations are applied again, which has no second effect.
KEPT_WRITE_IDS = 16
KEPT_CLOSED = 8
# Upper estimate of the bytes around a packed record: the second, the heads of three msgpack values,
# and 8 that a started order needs to record its end by the status alone.
ROW_BYTES = 24


class JournalShard:
    """Records by key. Applying an operation twice has the effect of applying it once.

    >>> shard = JournalShard()
    >>> shard.apply(Begin("k", "d", "i1", "a1"), wall_s=100)
    (Granted(attempt='a1'), True)
    >>> shard.apply(Begin("k", "d", "i2", "a2"), wall_s=101)
    (Busy(instance='i1'), False)
    """

    def __init__(self, retention_s: float = 3600.0) -> None:
        self.write_ids: list[str] = []
        self._retention_s = retention_s
        self._rows: dict[str, tuple[int, bytes]] = {}
        self._size = 0

    @property
    def size_bytes(self) -> int:
        """Upper estimate of the encoded size."""
        return self._size + 64 * KEPT_WRITE_IDS

    def __len__(self) -> int:
        return len(self._rows)

    @classmethod
    def decode(cls, data: bytes, retention_s: float) -> Result["JournalShard", str]:
        """Return the shard of an object's value, or what is wrong with it."""
        shard = cls(retention_s)
        try:
            version, write_ids, flat = msgpack.unpackb(data)
            if version != FORMAT or len(flat) % 3:
                return Err(f"journal format {version!r} is not {FORMAT}")
            shard.write_ids = list(write_ids)
            for key, second, packed in zip(flat[::3], flat[1::3], flat[2::3], strict=True):
                shard._put_row(str(key), int(second), bytes(packed))
        except (ValueError, TypeError, msgpack.UnpackException) as exc:
            return Err(f"journal object is malformed: {exc}")
        return Ok(shard)

    def encode(self) -> bytes:
        """Return the object's value."""
        flat: list[object] = []
        for key, (second, packed) in self._rows.items():
            flat += (key, second, packed)
        return msgpack.packb((FORMAT, self.write_ids, flat))

    def note_write(self, write_id: str) -> None:
        """Add the id of the write that the next ``encode`` is for."""
        self.write_ids = [*self.write_ids, write_id][-KEPT_WRITE_IDS:]

    def find(self, key: str) -> OrderRecord | None:
        """Return the record of a key."""
        row = self._rows.get(key)
        return _unpack(key, *row) if row else None

    def prune(self, wall_s: float) -> int:
        """Drop records past retention and return their number.

        A caller that uses a key again after retention starts a new order. The hosts' clocks have
        to agree to within a small part of the retention time.
        """
        limit = wall_s - self._retention_s
        old = [key for key, (second, _) in self._rows.items() if second < limit]
        for key in old:
            self._drop_row(key)
        return len(old)

    def apply(self, operation: Operation, wall_s: float) -> tuple[Answer, bool]:
        """Apply an operation; return its answer and whether the shard has changed."""
        held = self.find(operation.key)
        match operation:
            case Begin():
                return self._begin(operation, held, int(wall_s))
            case Complete():
                return self._complete(operation, held, int(wall_s))
            case Close():
                return self._close(operation, held, int(wall_s))

    def _begin(self, op: Begin, held: OrderRecord | None, second: int) -> tuple[Answer, bool]:
        started = OrderRecord(
            op.key, op.digest, op.instance, op.attempt, OrderState.STARTED, second
        )
        if held is None:
            return self._start(started)
        if held.digest != op.digest:
            return OtherContent(), False
        if held.state is OrderState.DONE:
            return Known(held.outcome or Outcome(0).without_body()), False
        if op.attempt in held.closed:
            return NotWritten("the attempt was given up", uncertain=False), False
        if held.state is OrderState.STARTED:
            if held.attempt == op.attempt:
                return Granted(op.attempt), False
            if held.instance != op.instance or held.attempt not in op.given_up:
                return Busy(held.instance), False
        closed = (*held.closed, held.attempt, *op.given_up)
        return self._start(replace(started, closed=_latest(closed)))

    def _start(self, record: OrderRecord) -> tuple[Answer, bool]:
        if self.size_bytes + len(_pack(record)) + ROW_BYTES + len(record.key) > LIMIT_BYTES:
            return Full(), False
        self._put(record)
        return Granted(record.attempt), True

    def _complete(self, op: Complete, held: OrderRecord | None, second: int) -> tuple[Answer, bool]:
        # The cached content may lack the attempt; a write from it ends in a conflict and a re-read.
        ended = held is not None and (held.state is OrderState.DONE or op.attempt in held.closed)
        if ended:
            return Settled(), False
        closed = held.closed if held else ()
        done = OrderRecord(
            op.key,
            op.digest,
            op.instance,
            op.attempt,
            OrderState.DONE,
            second,
            op.outcome.fit(),
            closed,
        )
        if self.size_bytes + len(_pack(done)) > OUTCOME_LIMIT_BYTES:
            done = replace(done, outcome=op.outcome.without_body())
        self._put(done)
        return Settled(), True

    def _close(self, op: Close, held: OrderRecord | None, second: int) -> tuple[Answer, bool]:
        """Close an attempt. Without a record one is left, since a delayed begin may follow."""
        if held is None:
            state = OrderState.NOT_RUN
            closed = (op.attempt,)
            self._put(
                OrderRecord(
                    op.key, op.digest, op.instance, op.attempt, state, second, closed=closed
                )
            )
            return Settled(), True
        if op.attempt in held.closed or held.state is OrderState.DONE:
            return Settled(), False
        closed = _latest((*held.closed, op.attempt))
        state = OrderState.NOT_RUN if held.attempt == op.attempt else held.state
        self._put(replace(held, state=state, closed=closed))
        return Settled(), True

    def _put(self, record: OrderRecord) -> None:
        self._put_row(record.key, record.written_s, _pack(record))

    def _put_row(self, key: str, second: int, packed: bytes) -> None:
        self._drop_row(key)
        self._rows[key] = (second, packed)
        self._size += len(key.encode()) + len(packed) + ROW_BYTES

    def _drop_row(self, key: str) -> None:
        row = self._rows.pop(key, None)
        if row is not None:
            self._size -= len(key.encode()) + len(row[1]) + ROW_BYTES


def _latest(closed: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(closed))[-KEPT_CLOSED:]


def _pack(record: OrderRecord) -> bytes:
    out = record.outcome
    outcome = (out.status, out.body, out.content_type, out.body_omitted) if out else None
    return msgpack.packb(
        (
            record.digest,
            record.instance,
            record.attempt,
            record.state.value,
            outcome,
            record.closed,
        )
    )


def _unpack(key: str, second: int, packed: bytes) -> OrderRecord:
    digest, instance, attempt, state, outcome, closed = msgpack.unpackb(packed)
    return OrderRecord(
        key,
        digest,
        instance,
        attempt,
        OrderState(state),
        second,
        Outcome(*outcome) if outcome else None,
        tuple(closed),
    )
