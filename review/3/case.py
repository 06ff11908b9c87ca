"""Some servers send an answer again, late; that answer rejected the request as full."""

import asyncio
import random
import sys
import time
from pathlib import Path

from review.support.client import send
from review.support.desk import Desk
from review.support.documents import ZONES, make_config
from review.support.fleet import CannotRun, Fleet, run_case

NODES = 3
SERVERS = 2
# Limits of the trouble: share of the servers, and of their answers that come twice.
FAULTY = 1
MAX_EXTRA = 0.03
LOAD_S = 80.0
# The trouble lasts ``TROUBLE_S`` seconds and comes again every ``TROUBLE_EVERY_S``.
TROUBLE_S = 5.0
TROUBLE_EVERY_S = 5.5
WORK_S = 0.0225
LOOKERS_PER_NODE = 6
BOOK_EVERY_S = 0.04


async def case(fleet: Fleet) -> bool:
    """Return whether a non-idempotent request was answered 503 and has run."""
    await fleet.start_store(make_config())
    rng = random.Random(31)
    desks = [
        Desk(fleet.store, "desk", f"i-desk-{i}", ZONES[i % len(ZONES)], i) for i in range(SERVERS)
    ]

    def log_books(text: str) -> None:
        """Record what concerns non-idempotent requests; the others are only counted."""
        if "/look/" not in text:
            fleet.log(text)

    for desk in desks:
        desk.log, desk.work_s = log_books, WORK_S
        await desk.start()

    def make_faulty(desk: Desk, began: float) -> None:
        def sends_extra(path: str, rejected: bool) -> bool:
            return (
                rejected
                and path.startswith("/book/")
                and (time.monotonic() - began) % TROUBLE_EVERY_S < TROUBLE_S
                and desk.extras + 1 <= MAX_EXTRA * desk.answers
            )

        desk.sends_extra = sends_extra

    try:
        await fleet.start()
        await asyncio.sleep(2.0)
        first = await fleet.send(0, "/book/x", deadline_ms=1000, listen_s=1.5)
        if first.status != 200:
            raise CannotRun("no request was served before the trouble")
        if fleet.trouble:
            for desk in desks[-FAULTY:]:
                make_faulty(desk, time.monotonic())
            fleet.log(f"trouble begins: {FAULTY} of {SERVERS} servers send answers twice")
        until = asyncio.get_running_loop().time() + LOAD_S
        lookers = [
            asyncio.ensure_future(look(fleet, number % NODES, until))
            for number in range(LOOKERS_PER_NODE * NODES)
        ]
        sent = []
        while asyncio.get_running_loop().time() < until:
            node = rng.randrange(NODES)
            book = fleet.send(node, "/book/x", deadline_ms=1000, listen_s=1.5)
            sent.append(asyncio.ensure_future(book))
            await asyncio.sleep(BOOK_EVERY_S)
        answers = await asyncio.gather(*sent)
        await asyncio.gather(*lookers)
        await asyncio.sleep(1.0)
    finally:
        for desk in desks:
            await desk.stop()
    runs: dict[str, int] = {}
    for desk in desks:
        fleet.log(
            f"{desk.instance}: {desk.answers} answers, {desk.rejected} of them rejections, "
            f"{desk.extras} sent twice"
        )
        for _, request_id, path in desk.runs:
            if path.startswith("/book/"):
                runs[request_id] = runs.get(request_id, 0) + 1
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    refused = sorted(
        answer.request_id
        for answer in answers
        if answer.status in (429, 503) and runs.get(answer.request_id)
    )
    by_status: dict[str, int] = {}
    for answer in answers:
        key = str(answer.status or answer.outcome)
        by_status[key] = by_status.get(key, 0) + 1
    fleet.log(f"answers by status: {by_status}")
    fleet.log(f"TWICE, non-idempotent requests that ran more than once: {twice}")
    fleet.log(f"REFUSED, non-idempotent requests that ran and were answered 503: {refused}")
    return bool(refused)


async def look(fleet: Fleet, node: int, until: float) -> None:
    """Send idempotent requests one after the other, which keep the servers busy."""
    while asyncio.get_running_loop().time() < until:
        answer = await send(
            fleet.names[node], fleet.fronts[node], "/look/x", deadline_ms=1000, listen_s=1.5
        )
        if answer.status != 200:
            await asyncio.sleep(0.05)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, NODES, case))
