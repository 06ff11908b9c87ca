"""Check of addresses in settings and registry entries."""

__all__ = ["is_address"]

# Number of digits of the largest port.
MAX_PORT_DIGITS = 5


def is_address(text: str) -> bool:
    """Return whether a text has the form HOST:PORT.

    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1"), is_address("10.0.0.1:70000")
    (True, False, False)
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    return bool(host) and is_number and 0 < int(port) < 65536
