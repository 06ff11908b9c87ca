"""Another writer leaves an entry in the registry of servers whose number of slots is unreadable."""

import asyncio
import sys
import time
from pathlib import Path

from review.support.documents import make_config
from review.support.fleet import CannotRun, Fleet, run_case
from review.support.servers import Server
from review.support.store import UNREADABLE

NODES = 3
WATCH_S = 45.0
ENDS = 3
# Requests that are sent to each node in the time after the entry was written.
PROBES_PER_NODE = 90


async def case(fleet: Fleet) -> bool:
    """Return whether two or more nodes end by themselves three times."""
    await fleet.start_store(make_config())
    servers = [
        Server(fleet.store, service, f"i-{service}-{i}", models, zone)
        for i, zone in enumerate(("uy-sur-a", "uy-sur-b"))
        for service, models in (("chat", ("m0", "m1")), ("desk", ()))
    ]
    for server in servers:
        server.log, server.pause_s = fleet.log, 0.03
        await server.start()
    try:
        await fleet.start()
        await asyncio.sleep(2.0)
        before = await asyncio.gather(*(probe(fleet, node) for node in range(NODES)))
        if not all(answer.status == 200 for answer in before):
            raise CannotRun("not all requests were served before the trouble")
        began = time.monotonic()
        if fleet.trouble:
            entry = servers[1].entry() | {"slots": UNREADABLE, "address": "127.0.0.1:9"}
            await fleet.store.write("servers", "i-other-writer", entry)
            fleet.log(f"another writer has written an entry whose slots are 1e999: {entry}")
        probes = []
        for _ in range(PROBES_PER_NODE):
            for node in range(NODES):
                probes.append(asyncio.ensure_future(probe(fleet, node)))
            await asyncio.sleep(WATCH_S / PROBES_PER_NODE)
        answers = await asyncio.gather(*probes)
    finally:
        for server in servers:
            await server.stop()
    counts = [sum(at > began and n == node for at, n, _ in fleet.ends) for node in range(NODES)]
    served = sum(answer.status == 200 for answer in answers)
    fleet.log(f"ends of each node: {counts}; {served} of {len(answers)} requests served")
    return sum(count >= ENDS for count in counts) >= 2


async def probe(fleet: Fleet, node: int):
    """Send one plain request."""
    return await fleet.send(node, "/look/x", deadline_ms=1000, listen_s=1.5)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, NODES, case))
