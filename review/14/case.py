"""Case 14: a configuration that is acknowledged after the store's drill is never put in force.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

from eelgrassferry.platform.tests.documents import make_config
from eelgrassferry.platform.tests.standin_server import StandinServer
from review.support_3.deployment import Deployment

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The drill: the store is away "for a moment" and its copy is "some seconds old".
AWAY_S, COPY_AGE_S = 1.0, 4.0
# From the store's return to the change of the configuration.
CHANGE_AFTER_S = 0.5
# The rule's bound is config_apply_ms (2 s) after the acknowledgement, at machines in touch. The
# check begins later than contact_ms (3 s), max_stretch_ms (5 s) and the bound together.
CHECK_AFTER_S = 15.0
REQUESTS = 3


def make_configuration(version: int) -> dict[str, Any]:
    """Return the configuration; version 2 adds a route and moves another to the service till."""
    config = make_config(version)
    config["services"].append({"name": "till", "health_path": "/health", "max_conns": 50})
    if version == 2:
        book = next(route for route in config["routes"] if route["path_prefix"] == "/book/")
        book["service"] = "till"
        config["routes"].append({**book, "name": "r/new/", "path_prefix": "/new/"})
    return config


async def run() -> int:
    case = Deployment(FOLDER)
    servers: list[StandinServer] = []
    try:
        await case.start_store(make_configuration(1))
        for service, name in (("desk", "i-desk"), ("till", "i-till")):
            server = StandinServer(case.store, service, name)
            await server.start()
            servers.append(server)
        for zone in ("zone-a", "zone-b", "zone-c"):
            case.add_node(zone)
        await case.start_nodes()
        for node in case.nodes:
            await case.wait_ready(node)
        await asyncio.sleep(COPY_AGE_S + 3.0)
        for node in case.nodes:
            res = await case.call(node, "/look/x")
            if res is None or res.status != 200:
                case.record.write("the deployment does not serve before the drill")
                return 2
        if TROUBLE:
            case.record.write(f"drill: the store goes away, revision={case.store.revision}")
            before, after = await case.store.drill(AWAY_S, COPY_AGE_S)
            case.record.write(f"drill: back at revision {after}, was {before}, era 2")
            for server in servers:
                await server.register()
        await asyncio.sleep(CHANGE_AFTER_S)
        revision = await case.store.write("config", "main", make_configuration(2))
        acknowledged_at = time.monotonic()
        case.record.write(
            f"operator: config 2 (adds /new/, moves /book/ to till) acknowledged, {revision=}"
        )
        await asyncio.sleep(CHECK_AFTER_S)
        old_runs = len(servers[0].runs)
        refused = 0
        for node in case.nodes:
            for _ in range(REQUESTS):
                res = await case.call(node, "/new/x")
                refused += res is not None and res.status == 404
                await case.call(node, "/book/x")
        by_old_service = len(servers[0].runs) - old_runs
        since_s = time.monotonic() - acknowledged_at
        case.record.write(
            f"{since_s:.1f} s after the acknowledgement, of {REQUESTS * len(case.nodes)} requests "
            f"each: {refused} for the added route answered 404, {by_old_service} for the moved "
            "route run by the old service"
        )
        return 1 if refused or by_old_service else 0
    finally:
        await case.stop()
        for server in servers:
            await server.stop()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(run()))
    except (OSError, TimeoutError, AssertionError) as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
