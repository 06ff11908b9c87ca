"""Benchmark of the journal's group commit: writes per order and added latency.

Run ``python -m eelgrassferry.orders.measure``. The benchmark runs one node on an in-memory store
with a delay of 3 ms per call. Orders arrive as a Poisson process with a fixed seed, and each order
completes 20 ms after it was granted.
"""

import asyncio
import time
from random import Random

from result import Ok

from ..objects import MemoryObjectStore
from ..peers import Identity
from .begin_result import NewAttempt
from .journal_settings import JournalSettings
from .order_journal import OrderJournal
from .outcome import Outcome
from .shard_writer import ShardWriter, WriterSettings

__all__ = ["main", "measure"]

STORE_DELAY_S = 0.003
ORDER_DURATION_S = 0.020
ORDER_COUNT_BY_RATE = {1: 20, 50: 400, 500: 3000}
SHARD_COUNTS = (1, 16)


class SlowStore(MemoryObjectStore):
    """In-memory object store that delays each call before it takes effect."""

    async def get(self, key):  # type: ignore[no-untyped-def]
        await asyncio.sleep(STORE_DELAY_S)
        return await super().get(key)

    async def put(self, key, value, expected):  # type: ignore[no-untyped-def]
        await asyncio.sleep(STORE_DELAY_S)
        return await super().put(key, value, expected)


class UnbatchedWriter(ShardWriter):
    """Shard writer without group commit: one write for each record."""

    def __init__(self, key: str, instance: str, settings: WriterSettings) -> None:
        super().__init__(
            key, instance, WriterSettings(settings.retention_s, 0.0, group_commit=False)
        )


class UnbatchedJournal(OrderJournal):
    """Baseline journal: one conditional write for each record."""

    writer_type = UnbatchedWriter


class EmptyMesh:
    """Mesh of a single node."""

    identity = Identity("n1", "d1", "i1", "")

    def handle(self, kind: type, handler: object) -> None:
        """Ignore the handler; a mesh without peers receives no messages."""


async def measure(journal_type: type[OrderJournal], rate: int, shards: int) -> str:
    """Return a line with the results for ``rate`` orders per second on ``shards`` shards."""
    store = SlowStore()
    settings = JournalSettings(shards=shards, store_timeout_s=60.0)
    journal = journal_type(
        EmptyMesh(), store, lambda key: None, lambda instance: True, settings  # type: ignore[arg-type]
    )
    rng = Random(1)
    latencies: list[float] = []

    async def order(number: int) -> None:
        started = time.perf_counter()
        match await journal.begin(f"key-{number}", f"{number:064x}"):
            case Ok(NewAttempt(attempt)):
                latencies.append(time.perf_counter() - started)
                await asyncio.sleep(ORDER_DURATION_S)
                await journal.complete(f"key-{number}", attempt, Outcome(201, b'{"id": 12345}'))
            case other:
                raise RuntimeError(f"order {number}: {other}")

    tasks = []
    run_started = time.perf_counter()
    cpu_s = time.process_time()
    due = run_started
    for number in range(ORDER_COUNT_BY_RATE[rate]):
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.ensure_future(order(number)))
    await asyncio.gather(*tasks)
    duration_s = time.perf_counter() - run_started
    cpu_s = time.process_time() - cpu_s
    await journal.close()
    latencies.sort()
    count = len(latencies)
    return (
        f"{rate:4d} orders/s on {shards:2d} shards: {store.writes / count:5.2f} writes and "
        f"{store.reads / count:5.2f} reads per order, {store.writes / duration_s:6.1f} writes/s; "
        f"begin median {1000 * latencies[count // 2]:7.1f} ms, 99 of 100 within "
        f"{1000 * latencies[int(count * 0.99)]:7.1f} ms; finished in {duration_s:5.1f} s; "
        f"processor {1000 * cpu_s / count:.2f} ms per order"
    )


def main() -> None:
    """Print the results with and without group commit."""
    for name, kind in (("group commit", OrderJournal), ("one write each", UnbatchedJournal)):
        for shards in SHARD_COUNTS:
            for rate in ORDER_COUNT_BY_RATE:
                print(f"{name}: {asyncio.run(measure(kind, rate, shards))}", flush=True)


if __name__ == "__main__":
    main()
