"""Ports for processes that are told theirs."""

import socket

__all__ = ["free_ports"]


def free_ports(count: int) -> list[int]:
    """Return ports that the kernel picked."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports
