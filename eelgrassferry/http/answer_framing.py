"""What the head of a response says of its status and its end."""

import h11

__all__ = ["MAX_STATUS", "ends_with_connection"]

# The parser accepts any status of three digits; there are none above this one.
MAX_STATUS = 599


def ends_with_connection(head: h11.Response) -> bool:
    """Return whether the body has neither a length nor chunks, and so ends with the connection.

    >>> ends_with_connection(h11.Response(status_code=200, headers=[("Content-Length", "3")]))
    False
    """
    framing = (b"content-length", b"transfer-encoding")
    return not any(name in framing for name, _ in head.headers)
