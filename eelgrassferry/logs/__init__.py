"""JSON logs with the request id, step and peer of each line."""

from .configure import configure_logs
from .context import bind_request

__all__ = ["bind_request", "configure_logs"]
