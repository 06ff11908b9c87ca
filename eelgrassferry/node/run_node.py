"""Runs one node as a process."""

import asyncio
import json
import signal

from ..settings import NodeSettings
from .node import Node

__all__ = ["run_node"]


async def run_node(settings: NodeSettings) -> int:
    """Run a node until SIGTERM or SIGINT, then stop gracefully.

    One JSON line on standard output tells the addresses in use once the node listens.
    """
    node = Node(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.request_stop)
    starting = asyncio.ensure_future(node.start())
    stopping = asyncio.ensure_future(node.stop_requested.wait())
    await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
        ready = {
            "ready": True,
            "address": node.callers.address,
            "operator_address": node.operators.address,
            "peer_address": node.mesh.address,
        }
        print(json.dumps(ready), flush=True)
        await stopping
    else:
        starting.cancel()
    await node.close()
    return 0
