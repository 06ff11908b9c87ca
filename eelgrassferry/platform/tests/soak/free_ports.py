"""Free ports for processes that get theirs by settings."""

import socket

__all__ = ["free_ports"]


def free_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Return distinct free ports of an address, picked by the kernel.

    The ports are released before they are returned, so another process may take them.
    """
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports
