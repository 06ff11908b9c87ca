"""Free ports for processes that get theirs by settings."""

import os
import socket

__all__ = ["free_ports", "own_loopback_ip"]


def own_loopback_ip() -> str:
    """Return a loopback address that is derived from the id of this process.

    No other process takes the ports of a node that listens there while it is down. On 127.0.0.1,
    any outgoing connection may take them.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 62_500 % 250}.{pid // 250 % 250}.{1 + pid % 250}"


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
