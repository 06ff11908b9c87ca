"""An engine sends bytes without end in the body of an answer, in small chunks."""

import asyncio
import time
from pathlib import Path

from support_2.callers import Answer, call
from support_2.fleet import Fleet, Node, Record, is_ready, make_config
from support_2.script import TROUBLE, main
from support_2.servers import EngineProcess

from eelgrassferry.platform.tests.standin_server import StandinServer
from eelgrassferry.platform.tests.standin_store import StandinStore

# The same chunk of one byte again and again, as the body of an answer with status 200.
PIECE = ("--piece", r"1\r\nx\r\n", "--repeat", "10000")
STREAMS = 4
# Route /book/: its timeout_ms, and how long its callers wait.
TIMEOUT_S, DEADLINE_S = 1.0, 3.0
LATE_S = 0.5
CALLS, CALL_PAUSE_S = 40, 0.1


class Case:
    """The calls of one run and what their callers have seen."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.calls: dict[str, list[Answer]] = {}

    async def book(self, node: Node, number: int) -> None:
        """Send a request that may run once, and wait for its answer until the deadline."""
        name = f"book-{node.name}-{number}"
        self.record.line(f"{name} sent")
        answer = await call(node, "/book/x", name, DEADLINE_S)
        self.calls.setdefault(node.name, []).append(answer)
        self.record.line(
            f"{name} status {answer.status} after {answer.took_s:.2f} s {answer.error}"
        )

    async def stream(self, node: Node, number: int) -> None:
        """Send a request for the model of the engine in trouble."""
        name = f"stream-{number}"
        self.record.line(f"{name} sent to {node.name}")
        answer = await call(node, "/chat/x", name, 4.0, "m1")
        self.record.line(
            f"{name} status {answer.status} complete {answer.complete} "
            f"after {answer.took_s:.2f} s {answer.error}"
        )

    async def watch(self, node: Node) -> None:
        """Ask the node each second whether it is ready, as the balancer does."""
        while True:
            ready = await is_ready(node)
            self.record.line(f"{node.name} {'is' if ready else 'IS NOT'} ready within 1 s")
            await asyncio.sleep(1.0)

    def is_broken(self, node: Node) -> bool:
        """Return whether CONFIG is broken: no final answer half a second after the timeout."""
        answers = self.calls[node.name]
        reached = [answer for answer in answers if answer.took_s >= TIMEOUT_S]
        late = [answer for answer in answers if answer.took_s >= TIMEOUT_S + LATE_S]
        served = sum(answer.status == 200 and answer.complete for answer in answers)
        self.record.line(
            f"{node.name}: {len(answers)} calls, {served} served, {len(reached)} unanswered at "
            f"timeout_ms, {len(late)} of them unanswered {LATE_S} s later"
        )
        return len(late) >= 8 and 2 * len(late) > len(reached)


async def run(record: Record) -> bool:
    """Run the case and return whether the rule was broken."""
    store, fleet, case = StandinStore(), Fleet(), Case(record)
    address = await store.start()
    config = make_config()
    await store.write("config", "main", config)
    desk = StandinServer(store, "desk", "i-desk")
    engine = EngineProcess("i-engine", "m1", *(PIECE if TROUBLE else ()))
    try:
        await desk.start()
        await engine.start(store)
        await fleet.start([address, address])
        await asyncio.sleep(3.0)
        for node in fleet.nodes:
            answer = await call(node, "/book/x", f"first-{node.name}", DEADLINE_S)
            if answer.status != 200:
                record.line(f"{node.name} serves nothing: {answer}")
                return False
        first = fleet.nodes[0]
        watches = [asyncio.ensure_future(case.watch(node)) for node in fleet.nodes]
        started = time.monotonic()
        tasks = [asyncio.ensure_future(case.stream(first, number)) for number in range(STREAMS)]
        for number in range(CALLS):
            tasks += [asyncio.ensure_future(case.book(node, number)) for node in fleet.nodes]
            await asyncio.sleep(CALL_PAUSE_S)
        await asyncio.gather(*tasks)
        for task in watches:
            task.cancel()
        record.line(f"all answers after {time.monotonic() - started:.1f} s")
        record.line(f"i-desk has run {len(desk.runs)}: {' '.join(desk.runs)}")
        for node in fleet.nodes:
            record.line(f"{node.name} runs: {node.is_running}, peak {node.memory_mb():.0f} MB")
        return any([case.is_broken(node) for node in fleet.nodes])
    finally:
        await fleet.stop()
        await engine.stop()
        await desk.stop()
        await store.stop()


if __name__ == "__main__":
    main(run, "CONFIG", Path(__file__).parent)
