"""Fields that all log lines of one request carry."""

from contextlib import AbstractContextManager

import structlog

__all__ = ["bind_request"]


def bind_request(request_id: str, peer: str = "") -> AbstractContextManager[None]:
    """Give every log line written inside the block, and by its tasks, the request's fields.

    >>> with bind_request("r-1", "127.0.0.1:9"):
    ...     structlog.get_logger().info("dispatched", step="dispatch")  # doctest: +SKIP
    """
    return structlog.contextvars.bound_contextvars(request_id=request_id, peer=peer)
