"""A server that leaves, and says so in its answers only, loses its registration for a moment."""

import asyncio
import time
from pathlib import Path

from support_2.callers import call
from support_2.fleet import Fleet, Node, Record, make_config
from support_2.script import TROUBLE, main

from eelgrassferry.platform.tests.standin_server import StandinServer
from eelgrassferry.platform.tests.standin_store import StandinStore

DRAIN_S = 2.0
# Three heartbeat intervals of 1.2 s, after which the store removes the entry of a silent server.
SILENCE_S = 3.6
# How long the server is cut off from the store in all.
CUT_S = 5.0
# The leaving server exits this long after its registration is back.
EXITS_AFTER_S = 0.15
CALLS_PER_S, WORK_S, DEADLINE_S = 10.0, 0.2, 1.0


class Callers:
    """Callers who send requests that may run once to one node at a steady rate."""

    def __init__(self, record: Record, node: Node) -> None:
        self.node = node
        self.sent_at: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self.told_at = float("inf")
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            name = f"book-{self.node.name}-{len(self.sent_at) + 1}"
            self._tasks.add(asyncio.ensure_future(self._call(name)))
            await asyncio.sleep(1.0 / CALLS_PER_S)

    async def finish(self) -> None:
        """Wait for the answers that are due."""
        await asyncio.gather(*self._tasks)

    async def _call(self, name: str) -> None:
        self.sent_at[name], sent = time.monotonic(), self._record.now()
        answer = await call(self.node, "/book/x", name, DEADLINE_S)
        self.statuses[name] = answer.status
        if "server-leaving" in answer.headers:
            self.told_at = min(self.told_at, time.monotonic())
        self._record.line(f"{name} sent at {sent:.3f}: {answer.status} {answer.error}")


async def run(record: Record) -> bool:
    """Run the case and return whether the rule was broken."""
    store, fleet = StandinStore(), Fleet()
    address = await store.start()
    await store.write("config", "main", make_config())
    desk = StandinServer(store, "desk", "i-desk")
    # One of five servers is cut off from the store.
    engines = [StandinServer(store, "chat", f"i-engine-{number}", ("m0",)) for number in range(4)]
    try:
        desk.pause_s = WORK_S
        for server in (desk, *engines):
            await server.start()
        await fleet.start([address, address])
        await asyncio.sleep(3.0)
        callers = [Callers(record, node) for node in fleet.nodes]
        sending = [asyncio.ensure_future(each.run()) for each in callers]
        await asyncio.sleep(1.0)
        desk.is_leaving = True
        record.line("i-desk leaves: its answers say so, its registration does not")
        await asyncio.sleep(2.0)
        entry = store.spec("servers", "i-desk")
        record.line("the path of i-desk to the store is cut" if TROUBLE else "no cut")
        await asyncio.sleep(SILENCE_S)
        if TROUBLE:
            await store.remove("servers", "i-desk")
            record.line("the store removes the entry of i-desk after three silent intervals")
        await asyncio.sleep(CUT_S - SILENCE_S)
        if TROUBLE:
            await store.write("servers", "i-desk", entry)
            record.line("the path is back; i-desk has renewed its entry, with the same born")
        await asyncio.sleep(EXITS_AFTER_S)
        await desk.stop()
        record.line("i-desk exits")
        for task in sending:
            task.cancel()
        await asyncio.gather(*(each.finish() for each in callers))
        return any([judge(record, each, desk) for each in callers])
    finally:
        await fleet.stop()
        for server in (desk, *engines):
            await server.stop()
        await store.stop()


def judge(record: Record, callers: Callers, desk: StandinServer) -> bool:
    """Return whether a request reached the leaving server that was sent too late."""
    late = []
    for req in desk.received:
        name = req.header("eelgrassferry-request-id") or ""
        after_s = callers.sent_at.get(name, 0.0) - callers.told_at
        if after_s > DRAIN_S:
            late.append(name)
            ran = "ran" if name in desk.runs else "did not run"
            record.line(
                f"{name} was sent {after_s:.2f} s after {callers.node.name} had passed on "
                f"Server-Leaving, reached i-desk and {ran}; answer {callers.statuses[name]}"
            )
    lost = [name for name in late if callers.statuses[name] != 200]
    record.line(f"{callers.node.name}: {len(late)} sent too late, {len(lost)} of them lost")
    return bool(late)


if __name__ == "__main__":
    main(run, "DRAIN", Path(__file__).parent)
