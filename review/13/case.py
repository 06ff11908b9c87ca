"""Case 13: requests with many prompt parts that crash servers make all nodes stand still.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

from eelgrassferry.platform.tests.documents import make_config
from eelgrassferry.platform.tests.standin_server import StandinServer
from review.support_3.deployment import ROOT, Deployment, Node

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The part of a prompt that crashes servers, and the shared parts beside it. The usual prompts of
# the sheets have three parts in all; the limit of a request's head is max_header_bytes, 16,384.
CRASHING_PART = "c0ffee"
PARTS = 2000 if TROUBLE else 1
# Model servers, and the time after which one that has crashed is back ("after some seconds").
ENGINES, BACK_S = 3, 3.0
# Requests that are sent together, at one node after the other, and the time between these.
TOGETHER, ROUNDS, ROUND_S = 5, 4, 5.0
# Ordinary requests: one at each node each PAUSE_S. The route's timeout is the sheet's deadline of
# order-status.
PAUSE_S, TIMEOUT_S, CLIENT_S = 0.25, 1.0, 8.0
# CONFIG: "half a second later", and "eight or more".
LATE_S, MIN_REQUESTS = 0.5, 8


class Engine:
    """Model server that is started again at its address some seconds after it has crashed."""

    def __init__(self, case: Deployment, instance: str) -> None:
        self.instance = instance
        self.address = "127.0.0.1"
        self._case = case
        self._process: asyncio.subprocess.Process | None = None
        self._watcher: asyncio.Task[None] | None = None

    async def start(self) -> None:
        env = {**os.environ, "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}"}
        part = CRASHING_PART if TROUBLE else "-"
        self._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "review.support_3.crashing_engine", self.address, part),
            cwd=ROOT,
            env=env,
            stdout=asyncio.subprocess.PIPE,
        )
        self.address = (await self._process.stdout.readline()).decode().strip()
        entry = {
            **self._case.store.spec("servers", "i-desk"),
            "service": "chat",
            "address": self.address,
            "slots": 64,
            "born": round(time.time() * 1000),
            "models": [{"name": "m0", "version": 1, "adapters": []}],
        }
        await self._case.store.write("servers", self.instance, entry)
        self._watcher = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        await self._process.wait()
        self._case.record.write(f"server {self.instance} has crashed")
        await asyncio.sleep(BACK_S)
        await self.start()
        self._case.record.write(f"server {self.instance} is back")

    async def stop(self) -> None:
        if self._watcher is not None:
            self._watcher.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


async def run() -> int:
    case = Deployment(FOLDER)
    desk = StandinServer(case.store, "desk", "i-desk")
    engines = [Engine(case, f"i-engine{number}") for number in range(ENGINES)]
    try:
        config = make_config(1)
        for route in config["routes"]:
            is_stream = route["kind"] == "stream"
            route["timeout_ms"] = 4000 if is_stream else round(TIMEOUT_S * 1000)
        config["services"][0]["engine"] |= {"slots": 64, "kv_capacity_tokens": 249_795}
        await case.start_store(config)
        await desk.start()
        for engine in engines:
            await engine.start()
        for zone in ("zone-a", "zone-b", "zone-c"):
            case.add_node(zone)
        await case.start_nodes()
        for node in case.nodes:
            await case.wait_ready(node)
        await asyncio.sleep(3.0)
        asking = asyncio.ensure_future(ask_steadily(case, ROUNDS * ROUND_S + 4.0))
        for number in range(ROUNDS):
            node = case.nodes[number % len(case.nodes)]
            first = number * TOGETHER
            sent = [send_prompt(case, node, first + k) for k in range(TOGETHER)]
            await asyncio.gather(asyncio.sleep(ROUND_S), *sent)
        return judge(case, await asking)
    finally:
        await case.stop()
        for engine in engines:
            await engine.stop()
        await desk.stop()


async def send_prompt(case: Deployment, node: Node, number: int) -> None:
    """Send a request whose prompt has the crashing part; its last part is its own."""
    shared = [f"{part:x}:1" for part in range(1, PARTS + 1)]
    prompt = ",".join([*shared, f"{CRASHING_PART}:400", f"ab{number:04x}:250"])
    await case.call(node, "/chat/x", "m0", prompt=prompt, body=f"text {number}".encode())


async def ask_steadily(case: Deployment, for_s: float) -> list[float]:
    """Send ordinary requests to all nodes and return the time until the answer to each."""

    async def ask(node: Node) -> float:
        sent_at = time.monotonic()
        await case.call(node, "/look/x", deadline_ms=round(CLIENT_S * 1000))
        return time.monotonic() - sent_at

    tasks, end_at = [], time.monotonic() + for_s
    while time.monotonic() < end_at:
        tasks += [asyncio.ensure_future(ask(node)) for node in case.nodes]
        await asyncio.sleep(PAUSE_S)
    return await asyncio.gather(*tasks)


def judge(case: Deployment, asked: list[float]) -> int:
    """Check CONFIG for the ordinary requests."""
    unanswered = [took_s for took_s in asked if took_s > TIMEOUT_S]
    late = [took_s for took_s in unanswered if took_s > TIMEOUT_S + LATE_S]
    case.record.write(
        f"{len(asked)} ordinary requests; {len(unanswered)} unanswered at their route's timeout; "
        f"{len(late)} of these {LATE_S} s later; the longest took {max(asked):.2f} s"
    )
    return 1 if len(late) >= MIN_REQUESTS and 2 * len(late) > len(unanswered) else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(run()))
    except (OSError, TimeoutError, AssertionError) as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
