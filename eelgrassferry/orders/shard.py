"""Content of one journal object, ``journal/<shard>``.

The object is a msgpack list: the format version, the ids of the latest writes, and a flat list with
the key, the wall-clock second and the packed record of each order. Records stay packed until they
are needed, so that decoding a full shard takes only a few milliseconds and encoding it only copies
bytes.
"""

from dataclasses import replace

import msgpack
from result import Err, Ok, Result

from ..documents import MALFORMED
from .operations import (
    Abandon,
    AlreadyDone,
    AlreadyStarted,
    Answer,
    Begin,
    Complete,
    DigestMismatch,
    EndRecorded,
    Granted,
    Operation,
    OperationFailed,
    ShardFull,
)
from .outcome import Outcome
from .record import OrderRecord, OrderState

__all__ = ["START_LIMIT_BYTES", "JournalShard"]

FORMAT_VERSION = 1
# New orders are refused above START_LIMIT_BYTES; outcomes are recorded without their bodies above
# OUTCOME_LIMIT_BYTES. The object API accepts at most 1,000,000 bytes per object; the difference is
# reserved for the outcomes of started orders.
START_LIMIT_BYTES = 900_000
OUTCOME_LIMIT_BYTES = 960_000
# After a write whose answer was lost, the writer looks for its write id in the object. If
# MAX_WRITE_IDS other writes have replaced the id, the operations are applied again, which is
# harmless because they are idempotent.
MAX_WRITE_IDS = 16
MAX_ABANDONED_ATTEMPTS = 8
# Upper bound of the bytes added to a key and its packed record: the time of the write, the headers
# of three msgpack values, and 8 bytes by which the record of a started order grows when its end is
# recorded without a body.
ROW_OVERHEAD_BYTES = 24


class JournalShard:
    """Records of a shard by key. Applying an operation is idempotent.

    >>> shard = JournalShard()
    >>> shard.apply(Begin("k", "d", "i1", "a1"), wall_s=100)
    (Granted(attempt='a1'), True)
    >>> shard.apply(Begin("k", "d", "i2", "a2"), wall_s=101)
    (AlreadyStarted(instance='i1'), False)
    """

    def __init__(self, retention_s: float = 3600.0) -> None:
        self.write_ids: list[str] = []
        self._retention_s = retention_s
        self._rows: dict[str, tuple[int, bytes]] = {}
        self._size = 0

    @property
    def size_bytes(self) -> int:
        """Upper bound of the encoded size."""
        return self._size + 64 * MAX_WRITE_IDS

    def __len__(self) -> int:
        return len(self._rows)

    @classmethod
    def decode(cls, data: bytes, retention_s: float) -> Result["JournalShard", str]:
        """Return the shard decoded from an object's value, or a description of the fault."""
        shard = cls(retention_s)
        try:
            version, write_ids, flat = msgpack.unpackb(data)
            if version != FORMAT_VERSION or len(flat) % 3:
                return Err(f"unsupported journal format {version!r}, expected {FORMAT_VERSION}")
            shard.write_ids = list(write_ids)
            for key, written_s, packed in zip(flat[::3], flat[1::3], flat[2::3], strict=True):
                shard._put_row(str(key), int(written_s), bytes(packed))
        except (*MALFORMED, msgpack.UnpackException) as exc:
            return Err(f"malformed journal object: {exc}")
        return Ok(shard)

    def encode(self) -> bytes:
        """Return the encoded value of the object."""
        flat: list[object] = []
        for key, (written_s, packed) in self._rows.items():
            flat += (key, written_s, packed)
        return msgpack.packb((FORMAT_VERSION, self.write_ids, flat))

    def record_write_id(self, write_id: str) -> None:
        """Add the id of the write that will store the next ``encode`` result."""
        self.write_ids = [*self.write_ids, write_id][-MAX_WRITE_IDS:]

    def find(self, key: str) -> OrderRecord | None:
        """Return the record of a key, or None."""
        row = self._rows.get(key)
        return _unpack(key, *row) if row else None

    def prune(self, wall_s: float) -> int:
        """Remove the records past retention and return their number.

        A key that is reused after the retention time starts a new order. The clocks of the hosts
        must agree to within a small part of the retention time.
        """
        limit = wall_s - self._retention_s
        expired = [key for key, (written_s, _) in self._rows.items() if written_s < limit]
        for key in expired:
            self._drop_row(key)
        return len(expired)

    def apply(self, operation: Operation, wall_s: float) -> tuple[Answer, bool]:
        """Apply an operation and return its answer and whether the shard has changed."""
        existing = self.find(operation.key)
        match operation:
            case Begin():
                return self._begin(operation, existing, int(wall_s))
            case Complete():
                return self._complete(operation, existing, int(wall_s))
            case Abandon():
                return self._abandon(operation, existing, int(wall_s))

    def _begin(
        self, op: Begin, existing: OrderRecord | None, written_s: int
    ) -> tuple[Answer, bool]:
        started = OrderRecord(
            op.key, op.digest, op.instance, op.attempt, OrderState.STARTED, written_s
        )
        if existing is None:
            return self._start(started)
        if existing.digest != op.digest:
            return DigestMismatch(), False
        if existing.state is OrderState.DONE:
            return AlreadyDone(existing.outcome or Outcome(0).without_body()), False
        if op.attempt in existing.abandoned_attempts:
            return OperationFailed("the attempt was given up", uncertain=False), False
        if existing.state is OrderState.STARTED:
            if existing.attempt == op.attempt:
                return Granted(op.attempt), False
            if existing.instance != op.instance or existing.attempt not in op.abandoned_attempts:
                return AlreadyStarted(existing.instance), False
        abandoned = (*existing.abandoned_attempts, existing.attempt, *op.abandoned_attempts)
        return self._start(replace(started, abandoned_attempts=_latest_distinct(abandoned)))

    def _start(self, record: OrderRecord) -> tuple[Answer, bool]:
        if (
            self.size_bytes + len(_pack(record)) + ROW_OVERHEAD_BYTES + len(record.key)
            > START_LIMIT_BYTES
        ):
            return ShardFull(), False
        self._put(record)
        return Granted(record.attempt), True

    def _complete(
        self, op: Complete, existing: OrderRecord | None, written_s: int
    ) -> tuple[Answer, bool]:
        # Cached content may not contain the attempt yet. A write based on it fails with a conflict,
        # after which the content is read again.
        has_ended = existing is not None and (
            existing.state is OrderState.DONE or op.attempt in existing.abandoned_attempts
        )
        if has_ended:
            return EndRecorded(), False
        abandoned = existing.abandoned_attempts if existing else ()
        done = OrderRecord(
            op.key,
            op.digest,
            op.instance,
            op.attempt,
            OrderState.DONE,
            written_s,
            op.outcome.limit_body(),
            abandoned,
        )
        if self.size_bytes + len(_pack(done)) > OUTCOME_LIMIT_BYTES:
            done = replace(done, outcome=op.outcome.without_body())
        self._put(done)
        return EndRecorded(), True

    def _abandon(
        self, op: Abandon, existing: OrderRecord | None, written_s: int
    ) -> tuple[Answer, bool]:
        """Mark an attempt as abandoned.

        If the key has no record, create one, so that a delayed ``Begin`` cannot start the attempt.
        """
        if existing is None:
            state = OrderState.NOT_RUN
            abandoned = (op.attempt,)
            self._put(
                OrderRecord(
                    op.key,
                    op.digest,
                    op.instance,
                    op.attempt,
                    state,
                    written_s,
                    abandoned_attempts=abandoned,
                )
            )
            return EndRecorded(), True
        if op.attempt in existing.abandoned_attempts or existing.state is OrderState.DONE:
            return EndRecorded(), False
        abandoned = _latest_distinct((*existing.abandoned_attempts, op.attempt))
        state = OrderState.NOT_RUN if existing.attempt == op.attempt else existing.state
        self._put(replace(existing, state=state, abandoned_attempts=abandoned))
        return EndRecorded(), True

    def _put(self, record: OrderRecord) -> None:
        self._put_row(record.key, record.written_s, _pack(record))

    def _put_row(self, key: str, written_s: int, packed: bytes) -> None:
        self._drop_row(key)
        self._rows[key] = (written_s, packed)
        self._size += len(key.encode()) + len(packed) + ROW_OVERHEAD_BYTES

    def _drop_row(self, key: str) -> None:
        row = self._rows.pop(key, None)
        if row is not None:
            self._size -= len(key.encode()) + len(row[1]) + ROW_OVERHEAD_BYTES


def _latest_distinct(abandoned: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(abandoned))[-MAX_ABANDONED_ATTEMPTS:]


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
            record.abandoned_attempts,
        )
    )


def _unpack(key: str, written_s: int, packed: bytes) -> OrderRecord:
    digest, instance, attempt, state, outcome, abandoned = msgpack.unpackb(packed)
    return OrderRecord(
        key,
        digest,
        instance,
        attempt,
        OrderState(state),
        written_s,
        Outcome(*outcome) if outcome else None,
        tuple(abandoned),
    )
