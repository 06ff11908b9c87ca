"""Socket options that detect unresponsive peers of long-lived connections."""

import asyncio
import socket

__all__ = ["set_liveness_options"]

# A peer that has lost power or is partitioned sends no reset. Keepalive probes start after 1 s of
# silence, and data that is unacknowledged for 2200 ms closes the connection. The failure is thus
# detected well before a host counts as unreachable (3 s at the current sites).
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 2200


def set_liveness_options(transport: asyncio.BaseTransport) -> None:
    """Set the socket options by which the kernel closes a connection to an unresponsive peer."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_KEEPIDLE"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
