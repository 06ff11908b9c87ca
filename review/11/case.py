"""Case 11: after the store's drill, two holders give orders with one fencing token.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from eelgrassferry.http import HttpResponse
from eelgrassferry.platform.tests.documents import make_config
from eelgrassferry.platform.tests.standin_server import StandinServer
from review.support_3.deployment import Deployment, Node

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The drill: the store is away "for a moment" and its copy is "some seconds old".
AWAY_S, COPY_AGE_S = 1.0, 4.0
# From the planned stop of the first holder (SIGTERM, then a new start) to the drill.
DRILL_AFTER_S = 2.5
ORDER_S = 12.0


class Engine(StandinServer):
    """Model server that notes the time and the sender of each order that it carries out."""

    def __init__(self, case: Deployment, instance: str, *models: str) -> None:
        super().__init__(case.store, "chat", instance, models)
        self.record = case.record
        self.order_times: list[float] = []

    def _apply_order(self, order: dict[str, Any]) -> HttpResponse:
        res = super()._apply_order(order)
        if res.status in (200, 202):
            self.order_times.append(time.monotonic())
        self.record.write(f"server {self.instance} answers {res.status} to order {order}")
        return res


async def order_adapter(case: Deployment, node: Node, engine: Engine, adapter: str) -> bool:
    """Ask for an adapter that is not loaded until the engine was ordered to load it."""
    deadline = time.monotonic() + ORDER_S
    while time.monotonic() < deadline:
        await case.call(node, "/chat/x", f"m0/{adapter}")
        if any(order.get("adapter") == adapter for order in engine.orders):
            return True
        await asyncio.sleep(0.3)
    return False


def holder_name(case: Deployment) -> str:
    spec = case.store.spec("leases", "engine-orders") or {}
    return str(spec.get("holder", "")).partition(":")[0]


async def run() -> int:
    case = Deployment(FOLDER)
    engine = Engine(case, "i-engine", "m0")
    try:
        await case.start_store(make_config(1))
        await engine.start()
        for zone in ("zone-a", "zone-b", "zone-c"):
            case.add_node(zone)
        await case.start_nodes()
        for node in case.nodes:
            await case.wait_ready(node)
        await asyncio.sleep(COPY_AGE_S + 1.0)
        first = next(node for node in case.nodes if node.name == holder_name(case))
        others = [node for node in case.nodes if node is not first]
        if not await order_adapter(case, others[0], engine, "a1"):
            case.record.write("the first holder ordered nothing")
            return 2
        await asyncio.sleep(4.0)
        first.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        if not await order_adapter(case, others[0], engine, "a2"):
            case.record.write("the second holder ordered nothing")
            return 2
        await asyncio.sleep(max(0.0, stopped_at + DRILL_AFTER_S - time.monotonic()))
        if TROUBLE:
            case.record.write(f"drill: the store goes away, revision={case.store.revision}")
            before, after = await case.store.drill(AWAY_S, COPY_AGE_S)
            lease = case.store.spec("leases", "engine-orders")
            case.record.write(f"drill: back at revision {after}, was {before}; lease {lease}")
            await engine.register()
        await first.wait_ended()
        await first.start(False, [f"{node.ip}:{node.control}" for node in case.nodes])
        if not await order_adapter(case, others[0], engine, "a3"):
            case.record.write("nobody ordered a3")
            return 2
        terms: list[tuple[int, str, int]] = []
        for _, era, kind, _, _, spec in case.store.writes:
            if kind == "leases" and (era, spec["holder"], spec["epoch"]) not in terms:
                terms.append((era, spec["holder"], spec["epoch"]))
        for era, holder, epoch in terms:
            case.record.write(f"the store acknowledged, in era {era}: {holder=} {epoch=}")
        return judge(case, engine)
    finally:
        await case.stop()
        await engine.stop()


def judge(case: Deployment, engine: Engine) -> int:
    """Check ONE for the orders that the engine has accepted."""
    holders: dict[int, set[str]] = {}
    highest, is_broken = 0, False
    for order in engine.orders:
        token = order["fencing_token"]
        holders.setdefault(token, set()).add(order["holder"])
        if token < highest:
            case.record.write(f"ONE: token {token} after {highest}")
            is_broken = True
        highest = max(highest, token)
    for token, names in holders.items():
        case.record.write(f"token {token}: orders from {sorted(names)}")
        is_broken |= len(names) > 1
    return 1 if is_broken else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(run()))
    except (OSError, TimeoutError, AssertionError) as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
