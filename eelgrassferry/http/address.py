"""Addresses of the form ``host:port``."""

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address; raise ``ValueError`` if it has no port.

    >>> split_address("10.0.0.7:8080")
    ('10.0.0.7', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
