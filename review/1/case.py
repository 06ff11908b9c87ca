"""Some servers reset a part of their streams, others answer a part of their requests with 500."""

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path

from eelgrassferry.http import HttpRequest
from review.support.documents import make_config
from review.support.fleet import CannotRun, Fleet, run_case
from review.support.servers import Server

NODES = 3
ENGINE_ZONES = ("uy-sur-a", "uy-sur-b", "uy-sur-c", "uy-sur-a") * 2
# Length and share of the trouble: some servers fail part of their requests.
TROUBLE_S = 4.0
MAX_SHARE = 0.45
CONTACT_S = 3.0
TIMEOUT_S = 1.0
STREAMS = 200
PROBES_PER_NODE = 8


async def case(fleet: Fleet) -> bool:
    """Return whether requests that are sent after the trouble get no final answer."""
    await fleet.start_store(make_config())
    engines = [
        Server(fleet.store, "chat", f"i-chat-{i}", ("m0", "m1"), zone)
        for i, zone in enumerate(ENGINE_ZONES)
    ]
    desks = [
        Server(fleet.store, "desk", f"i-desk-{i}", (), zone)
        for i, zone in enumerate(("uy-sur-a", "uy-sur-b"))
    ]
    servers = [*engines, *desks]
    trouble = {"on": False}

    def fail_part(how: str) -> Callable[[str, HttpRequest], str]:
        """Return a plan that fails ``MAX_SHARE`` of the runs of one server at most."""
        counts = {"run": 0, "failed": 0}

        def plan(_request_id: str, _req: HttpRequest) -> str:
            counts["run"] += trouble["on"]
            if not trouble["on"] or counts["failed"] + 1 > MAX_SHARE * counts["run"]:
                return ""
            counts["failed"] += 1
            return how

        return plan

    for server in servers:
        server.log, server.pause_s = fleet.log, 0.03
        server.events, server.event_pause_s = 5, 0.03
        await server.start()
    for engine in engines:
        # One of eight engines resets connections: a share of 0.125.
        engine.plan = fail_part("reset" if engine is engines[0] else "error")
    try:
        await fleet.start()
        await asyncio.sleep(2.0)
        before = await send_probes(fleet)
        if not all(answer.status == 200 for answer in before):
            raise CannotRun("not all requests were served before the trouble")
        if fleet.trouble:
            trouble["on"] = True
            fleet.log(f"trouble begins: the engines fail up to {MAX_SHARE} of their requests")
        streams = []
        for number in range(STREAMS):
            for path, model in (("/batch/x", "m0"), ("/look/x", "")):
                deadline_ms = 6000 if model else 1000
                sent = fleet.send(
                    number % NODES,
                    path,
                    model=model,
                    deadline_ms=deadline_ms,
                    listen_s=deadline_ms / 1000 + 0.5,
                )
                streams.append(asyncio.ensure_future(sent))
            await asyncio.sleep(TROUBLE_S / STREAMS)
        trouble["on"] = False
        fleet.log("trouble over")
        await asyncio.gather(*streams)
        await asyncio.sleep(CONTACT_S)
        after = await send_probes(fleet)
        for number in range(NODES):
            ready = await fleet.is_ready(number)
            fleet.log(f"{fleet.names[number]} says that it is ready: {ready}")
    finally:
        for server in servers:
            await server.stop()
    late = [answer for answer in after if answer.outcome == "nothing"]
    fleet.log(
        f"after the trouble: {len(late)} of {len(after)} requests have no final answer "
        f"0.5 s after timeout_ms of their route"
    )
    return len(late) >= 8 and len(late) > len(after) / 4


async def send_probes(fleet: Fleet) -> list:
    """Send requests to every node and listen until 0.5 s after the timeout of their route."""
    return await asyncio.gather(
        *(
            fleet.send(node, "/look/x", deadline_ms=1000, listen_s=TIMEOUT_S + 0.5)
            for node in range(NODES)
            for _ in range(PROBES_PER_NODE)
        )
    )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, NODES, case))
