"""Functions that open links to other nodes."""

import asyncio

import structlog

from ..http import split_address
from .messages import WHO
from .peer_link import PeerLink

__all__ = ["CONNECT_TIMEOUT_S", "connect_peer", "fetch_process_id"]

log = structlog.get_logger()

# In seconds. Nodes of the same region accept a connection within a few milliseconds.
CONNECT_TIMEOUT_S = 0.4


async def connect_peer(link: PeerLink, address: str) -> bool:
    """Connect a link to a node's address; return whether this succeeded.

    The link is closed if it did not.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: link, *split_address(address))
    except (OSError, ValueError) as exc:
        log.info("peer not reached", step="connect", peer=address, detail=str(exc))
        link.close()
        return False
    return True


async def fetch_process_id(address: str) -> str:
    """Return the id of the node process at an address, or "" if it does not respond."""
    replies: asyncio.Queue[object] = asyncio.Queue()
    link = PeerLink(lambda _link, frame: replies.put_nowait(frame.body), lambda _link: None)
    if not await connect_peer(link, address):
        return ""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            link.send(WHO, None)
            return str(await replies.get())
    except TimeoutError:
        return ""
    finally:
        link.close()
