"""Closing a connection so that bytes still on their way are dropped."""

import asyncio
import socket
import struct
from contextlib import suppress

__all__ = ["reset_connection"]

# SO_LINGER with a time of 0: the kernel resets the connection when the socket is closed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_connection(transport: asyncio.BaseTransport) -> None:
    """Close a connection at once and drop its unsent and unacknowledged bytes.

    After an ordinary close, the kernel goes on sending them: a request that was given up during a
    network partition would reach the peer seconds after the partition has healed.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        # The call fails if the connection has ended already.
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
