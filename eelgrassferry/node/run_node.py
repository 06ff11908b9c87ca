"""Entry point of a node process."""

import asyncio
import json
import signal

from ..settings import NodeSettings
from .node import Node

__all__ = ["run_node"]


async def run_node(settings: NodeSettings) -> int:
    """Run a node until SIGTERM or SIGINT, then stop it gracefully and return the exit status.

    Once the node serves requests, one JSON line with its addresses is printed to standard output.
    """
    node = Node(settings)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, node.request_stop)
    start_task = asyncio.ensure_future(node.start())
    stop_task = asyncio.ensure_future(node.stop_requested.wait())
    await asyncio.wait({start_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
    if start_task.done():
        start_task.result()
        ready = {
            "ready": True,
            "address": node.caller_server.address,
            "operator_address": node.operator_server.address,
            "peer_address": node.mesh.address,
        }
        print(json.dumps(ready), flush=True)
        await stop_task
    else:
        start_task.cancel()
    await node.close()
    return 0
