"""JSON logs with the request id, step and peer of each line."""

from .bounded_lines import BoundedLines
from .configure import configure_logs
from .context import bind_request
from .whole_ms import to_whole_ms

__all__ = ["BoundedLines", "bind_request", "configure_logs", "to_whole_ms"]
