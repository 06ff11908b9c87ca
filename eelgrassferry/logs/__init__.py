"""JSON logs with request id, step and peer in each line, rate limits and non-blocking output."""

from .bounded_lines import BoundedLines
from .configure import configure_logs
from .context import bind_request
from .repeat_counter import RepeatCounter
from .whole_ms import to_whole_ms

__all__ = ["BoundedLines", "RepeatCounter", "bind_request", "configure_logs", "to_whole_ms"]
