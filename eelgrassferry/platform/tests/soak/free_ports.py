"""Ports for processes that are told theirs."""

import socket

__all__ = ["free_ports"]


def free_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Return ports of an address that the kernel picked."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports
