"""Socket options of long-lived connections."""

import asyncio
import socket

__all__ = ["set_liveness_options"]

# A peer that lost power or is partitioned sends no reset. Probes start after a second of silence
# and unacknowledged bytes close the connection after this time, so that it is noticed well within
# the time in which a host counts as reachable (3 s at the present sites).
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_LIMIT_MS = 2200


def set_liveness_options(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close a connection whose peer is silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_KEEPIDLE"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
