"""Driver that performs the object store calls of a shard writer."""

import asyncio
import contextlib
import time
from collections.abc import Callable

import structlog
from result import Err, Result

from ..objects import ObjectError, ObjectStore, StoredObject, Unavailable
from .operations import Answer, Operation, OperationFailed
from .shard_writer import ReadCall, ShardWriter, WriteCall

__all__ = ["ShardDriver"]

log = structlog.get_logger()


class ShardDriver:
    """Driver that runs operations on one shard.

    A background task exists only while operations are pending. ``call_timeout_s`` limits each call
    to the store.
    """

    def __init__(
        self,
        writer: ShardWriter,
        store: ObjectStore,
        call_timeout_s: float,
        clock: Callable[[], float] | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._writer = writer
        self._store = store
        self._call_timeout_s = call_timeout_s
        self._clock = clock or asyncio.get_running_loop().time
        self._wall = wall
        self._futures: dict[int, asyncio.Future[Answer]] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def run(self, operation: Operation) -> Answer:
        """Apply an operation and return its answer; continue if the caller is cancelled."""
        number = self._writer.submit(operation, self._clock())
        fut = self._futures[number] = asyncio.get_running_loop().create_future()
        self._wake.set()
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._drive())
        return await asyncio.shield(fut)

    async def close(self) -> None:
        """Stop immediately; operations in progress may still take effect."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})
        for fut in self._futures.values():
            if not fut.done():
                fut.set_result(OperationFailed("the node is stopping", uncertain=True))
        self._futures.clear()

    async def _drive(self) -> None:
        while True:
            self._wake.clear()
            call = self._writer.next_call(self._clock(), self._wall())
            match call:
                case ReadCall(key):
                    self._writer.finish_read(await self._read(key))
                case WriteCall(key, value, expected):
                    self._writer.finish_write(await self._write(key, value, expected))
                case None:
                    self._deliver_answers()
                    due = self._writer.due_s()
                    if due is None:
                        return
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(max(0.0, due - self._clock())):
                            await self._wake.wait()
            self._deliver_answers()

    def _deliver_answers(self) -> None:
        for item in self._writer.pop_answers():
            fut = self._futures.pop(item.number)
            if not fut.done():
                fut.set_result(item.answer)

    async def _read(self, key: str) -> Result[StoredObject | None, ObjectError]:
        try:
            async with asyncio.timeout(self._call_timeout_s):
                return await self._store.get(key)
        except TimeoutError:
            return Err(Unavailable("get", key, "no answer in time", uncertain=False))
        except Exception as exc:
            log.error("journal read failed", step="get", peer=key, exc_info=exc)
            return Err(Unavailable("get", key, str(exc), uncertain=False))

    async def _write(self, key: str, value: bytes, expected: int) -> Result[int, ObjectError]:
        try:
            async with asyncio.timeout(self._call_timeout_s):
                return await self._store.put(key, value, expected)
        except TimeoutError:
            return Err(Unavailable("put", key, "no answer in time", uncertain=True))
        except Exception as exc:
            log.error("journal write failed", step="put", peer=key, exc_info=exc)
            return Err(Unavailable("put", key, str(exc), uncertain=True))
