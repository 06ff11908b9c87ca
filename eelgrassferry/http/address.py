"""Addresses of the form ``host:port``."""

import asyncio

__all__ = ["peer_address", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address; raise ``ValueError`` if it has no port.

    >>> split_address("10.0.0.7:8080")
    ('10.0.0.7', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def peer_address(transport: asyncio.BaseTransport | None) -> str:
    """Return the address of the other end of a connection, ":0" if it is not known."""
    peername = transport.get_extra_info("peername") if transport is not None else None
    host, port = (peername or ("", 0))[:2]
    return f"{host}:{port}"
