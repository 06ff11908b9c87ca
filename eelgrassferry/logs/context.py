"""Log fields shared by all lines of one request."""

from contextlib import AbstractContextManager

import structlog

__all__ = ["bind_request"]


def bind_request(request_id: str, peer: str = "") -> AbstractContextManager[None]:
    """Add the request's fields to every log line of the ``with`` block and of its tasks.

    >>> with bind_request("r-1", "127.0.0.1:9"):
    ...     structlog.get_logger().info("dispatched", step="dispatch")  # doctest: +SKIP
    """
    return structlog.contextvars.bound_contextvars(request_id=request_id, peer=peer)
