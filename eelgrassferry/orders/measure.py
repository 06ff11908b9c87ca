"""Measure the journal's group commit: writes per order and added latency.

Run ``python -m eelgrassferry.orders.measure``. One node, an in-memory store with 3 ms delay per
call, Poisson arrivals from a fixed seed; each order is completed 20 ms after it was granted.
"""

import asyncio
import time
from random import Random

from result import Ok

from ..objects import MemoryObjectStore
from ..peers import Identity
from .begun import Fresh
from .journal_limits import JournalLimits
from .order_journal import OrderJournal
from .outcome import Outcome
from .shard_writer import ShardWriter, WriterLimits

__all__ = ["main", "measure"]

STORE_DELAY_S = 0.003
SERVICE_S = 0.020
ORDERS = {1: 20, 50: 400, 500: 3000}
SHARDS = (1, 16)


class SlowStore(MemoryObjectStore):
    """The object API in memory with a delay before each call takes effect."""

    async def get(self, key):  # type: ignore[no-untyped-def]
        await asyncio.sleep(STORE_DELAY_S)
        return await super().get(key)

    async def put(self, key, value, expected):  # type: ignore[no-untyped-def]
        await asyncio.sleep(STORE_DELAY_S)
        return await super().put(key, value, expected)


class OneByOneWriter(ShardWriter):
    """Writes each record by itself."""

    def __init__(self, key: str, instance: str, limits: WriterLimits) -> None:
        super().__init__(key, instance, WriterLimits(limits.retention_s, 0.0, group_commit=False))


class OneByOneJournal(OrderJournal):
    """The baseline: one conditional write for each record."""

    writer_type = OneByOneWriter


class NoPeers:
    """A mesh without peers."""

    identity = Identity("n1", "d1", "i1", "")

    def handle(self, kind: type, handler: object) -> None:
        """Register nothing, since nobody calls."""


async def measure(journal_type: type[OrderJournal], rate: int, shards: int) -> str:
    """Return one line of figures at a number of orders per second."""
    store = SlowStore()
    limits = JournalLimits(shards=shards, store_timeout_s=60.0)
    journal = journal_type(
        NoPeers(), store, lambda key: None, lambda instance: True, limits  # type: ignore[arg-type]
    )
    rng = Random(1)
    latencies: list[float] = []

    async def order(number: int) -> None:
        started = time.perf_counter()
        match await journal.begin(f"key-{number}", f"{number:064x}"):
            case Ok(Fresh(attempt)):
                latencies.append(time.perf_counter() - started)
                await asyncio.sleep(SERVICE_S)
                await journal.complete(f"key-{number}", attempt, Outcome(201, b'{"id": 12345}'))
            case other:
                raise RuntimeError(f"order {number}: {other}")

    tasks = []
    begun = time.perf_counter()
    spent = time.process_time()
    due = begun
    for number in range(ORDERS[rate]):
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.ensure_future(order(number)))
    await asyncio.gather(*tasks)
    lasted = time.perf_counter() - begun
    spent = time.process_time() - spent
    await journal.close()
    latencies.sort()
    count = len(latencies)
    return (
        f"{rate:4d} orders/s on {shards:2d} shards: {store.writes / count:5.2f} writes and "
        f"{store.reads / count:5.2f} reads per order, {store.writes / lasted:6.1f} writes/s; "
        f"begin median {1000 * latencies[count // 2]:7.1f} ms, 99 of 100 within "
        f"{1000 * latencies[int(count * 0.99)]:7.1f} ms; finished in {lasted:5.1f} s; "
        f"processor {1000 * spent / count:.2f} ms per order"
    )


def main() -> None:
    """Print the figures of both ways of writing."""
    for name, kind in (("group commit", OrderJournal), ("one write each", OneByOneJournal)):
        for shards in SHARDS:
            for rate in ORDERS:
                print(f"{name}: {asyncio.run(measure(kind, rate, shards))}", flush=True)


if __name__ == "__main__":
    main()
