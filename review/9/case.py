"""A server leaves just after a planned handover, long after the store turned a node away."""

import asyncio
import signal
import time
from pathlib import Path

from support_2.callers import call
from support_2.fleet import Fleet, Node, Record, make_config
from support_2.node_store import NodeStore
from support_2.script import TROUBLE, main

from eelgrassferry.platform.tests.standin_server import StandinServer

# How long the store turns the coordinator away, and the calm after it (contact_ms is 3 s).
TURNED_AWAY_S, CALM_S = 4.0, 8.0
# From the SIGTERM of the coordinator to the removal of the server's entry.
LEAVES_AFTER_S = 0.7
# drain_ms, and what the leaving server serves on beyond it before it exits.
DRAIN_S, LITTLE_LONGER_S = 2.0, 0.25
CALLS_PER_S, WORK_S, DEADLINE_S = 25.0, 0.1, 1.0
# With these names the first and the third node follow each other as coordinators, and so do the
# second and the fourth one (``rendezvous_owner``). With others, it may take several handovers.
NAMES = ["front-a-1", "front-b-4", "front-c-2", "front-d-5"]


class Callers:
    """Callers who send requests that may run once to one node at a steady rate."""

    def __init__(self, record: Record, node: Node) -> None:
        self.failed: list[str] = []
        self.sent = 0
        self._record = record
        self._node = node
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            self.sent += 1
            name = f"book-{self._node.name}-{self.sent}"
            self._tasks.add(asyncio.ensure_future(self._call(name)))
            await asyncio.sleep(1.0 / CALLS_PER_S)

    async def finish(self) -> None:
        """Wait for the answers that are due."""
        await asyncio.gather(*self._tasks)

    async def _call(self, name: str) -> None:
        sent = self._record.now()
        answer = await call(self._node, "/book/x", name, DEADLINE_S)
        self._record.line(f"{name} sent at {sent:.3f}: {answer.status} {answer.error}")
        if answer.status != 200 or not answer.complete:
            self.failed.append(name)


async def run(record: Record) -> bool:
    """Run the case and return whether the rule was broken."""
    store, fleet = NodeStore(), Fleet()
    await store.start()
    await store.write("config", "main", make_config())
    desks = {f"zone-{zone}": StandinServer(store, "desk", f"i-desk-{zone}") for zone in "abcd"}
    try:
        for zone, desk in desks.items():
            desk.pause_s = WORK_S
            await desk.start()
            entry = store.spec("servers", desk.instance)
            await store.write("servers", desk.instance, {**entry, "zone": zone})
        await fleet.start([await store.open_door(name) for name in NAMES], NAMES)
        await asyncio.sleep(4.0)
        first = fleet.coordinator()
        assert first is not None
        record.line(f"{first.name} coordinates")
        if TROUBLE:
            store.turn_away(first.name)
            record.line(f"the store turns {first.name} away with 503 and serves the other nodes")
        await asyncio.sleep(TURNED_AWAY_S)
        store.serve_all()
        record.line("the store serves all nodes; calm begins")
        await asyncio.sleep(CALM_S)
        last = fleet.coordinator()
        assert last is not None and last.process is not None
        record.line(f"{last.name} coordinates")
        # The server that leaves is in the zone of a node that is neither of the two.
        bystander = next(node for node in fleet.nodes if node not in (first, last))
        leaving = desks[bystander.zone]
        callers = [Callers(record, node) for node in fleet.nodes if node is not last]
        sending = [asyncio.ensure_future(each.run()) for each in callers]
        await asyncio.sleep(2.0)
        last.process.send_signal(signal.SIGTERM)
        record.line(f"SIGTERM to {last.name}")
        await asyncio.sleep(LEAVES_AFTER_S)
        successor = fleet.coordinator()
        assert successor is not None
        await store.remove("servers", leaving.instance)
        acknowledged, at = time.monotonic(), record.now()
        record.line(
            f"{successor.name} coordinates; the store has accepted the removal of "
            f"{leaving.instance}, which serves on"
        )
        await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
        await leaving.stop()
        record.line(f"{leaving.instance} exits")
        await asyncio.sleep(1.5)
        for task in sending:
            task.cancel()
        await asyncio.gather(*(each.finish() for each in callers))
        for desk in desks.values():
            record.line(f"{desk.instance} has run {' '.join(desk.runs)}")
        late = 0
        for req, when in zip(leaving.received, leaving.received_at, strict=True):
            if when - acknowledged > DRAIN_S:
                late += 1
                name = req.header("eelgrassferry-request-id")
                delay = when - acknowledged
                record.line(f"{name} reached {leaving.instance} {delay:.3f} s after the removal")
        failed = [name for each in callers for name in each.failed]
        record.line(f"removed at {at:.3f}; {late} requests came too late; failed: {failed}")
        return late > 0
    finally:
        await fleet.stop()
        for desk in desks.values():
            await desk.stop()
        await store.stop()


if __name__ == "__main__":
    main(run, "DRAIN", Path(__file__).parent)
