"""The parts of a process's memory and descriptors that clients may use."""

import math
from dataclasses import dataclass

__all__ = ["DoorLimits", "split_connections", "split_memory"]

# Descriptors that the platform reserves for files; sockets and pipes share the others.
FILE_DESCRIPTORS = 200
# A quarter of the memory, because the process itself takes up to half of that of a small machine,
# and requests are copied while they are passed on.
CALLERS_MEMORY_SHARE = 1 / 4
PEERS_MEMORY_SHARE = 1 / 16
# The rest of the sockets is reserved for upstreams, identified peers and the store.
CALLERS_SOCKET_SHARE = 5 / 8
PEERS_SOCKET_SHARE = 1 / 8
SERVICE_SOCKET_SHARE = 1 / 32
MIN_CONNECTIONS = 8


@dataclass(frozen=True)
class DoorLimits:
    """Limits on all connections of one listener together; infinite unless they are configured."""

    memory_bytes: float = math.inf
    connections: float = math.inf


def split_memory(memory_mb: float) -> tuple[float, float]:
    """Return the bytes that callers, and peers that are not identified, may use.

    A process without a limit (0) sets none for them.
    """
    if not memory_mb:
        return math.inf, math.inf
    total = memory_mb * 1024 * 1024
    return total * CALLERS_MEMORY_SHARE, total * PEERS_MEMORY_SHARE


def split_connections(max_fds: float) -> tuple[float, float, float]:
    """Return how many connections callers, unidentified peers and each service listener may have.

    The service listeners are those for readiness and for metrics.
    """
    if not max_fds:
        return math.inf, math.inf, math.inf
    sockets = max(0.0, max_fds - FILE_DESCRIPTORS)
    shares = (CALLERS_SOCKET_SHARE, PEERS_SOCKET_SHARE, SERVICE_SOCKET_SHARE)
    callers, peers, service = (max(MIN_CONNECTIONS, int(sockets * share)) for share in shares)
    return callers, peers, service
