"""Opens links to other nodes."""

import asyncio

import structlog

from ..http import split_address
from .messages import WHO
from .peer_link import PeerLink

__all__ = ["CONNECT_TIMEOUT_S", "ask_process", "connect_peer"]

log = structlog.get_logger()

# Nodes of one region accept within a few ms, in seconds.
CONNECT_TIMEOUT_S = 0.4


async def connect_peer(link: PeerLink, address: str) -> bool:
    """Open a link to a node; return whether it is open."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: link, *split_address(address))
    except (OSError, ValueError) as exc:
        log.info("peer not reached", step="connect", peer=address, detail=str(exc))
        link.close()
        return False
    return True


async def ask_process(address: str) -> str:
    """Return which process answers at a node's address, empty where none does."""
    answers: asyncio.Queue[object] = asyncio.Queue()
    link = PeerLink(lambda _link, frame: answers.put_nowait(frame.body), lambda _link: None)
    if not await connect_peer(link, address):
        return ""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            link.send(WHO, None)
            return str(await answers.get())
    except TimeoutError:
        return ""
    finally:
        link.close()
