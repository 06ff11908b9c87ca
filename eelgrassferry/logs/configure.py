"""Set-up of structlog for a process."""

import json
import logging
import sys
from typing import Any, TextIO

import structlog

from .volume import RoutineLimit

__all__ = ["configure_logs"]

FIRST_KEYS = ("timestamp", "level", "event", "request_id", "step", "peer")


def configure_logs(level: str = "info", stream: TextIO | None = None) -> None:
    """Write log lines as JSON objects, one a line, to ``stream`` (standard error by default).

    Each line has ``timestamp`` (UTC), ``level``, ``event``, ``request_id``, ``step`` and ``peer``;
    the last three are empty strings where they do not apply, so that every line has the same
    fields for a log query. Raises ``ValueError`` for an unknown level.
    """
    number = logging.getLevelNamesMapping().get(level.upper())
    if number is None:
        raise ValueError(f"unknown log level {level!r}")
    structlog.configure(
        processors=[
            RoutineLimit(),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _order_keys,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def _order_keys(_logger: Any, _method: str, event: dict[str, Any]) -> dict[str, Any]:
    """Put the common fields first, and give each line all of them."""
    first = {key: event.pop(key, "") for key in FIRST_KEYS}
    return {**first, **event}


def _encode(event: dict[str, Any], **_options: Any) -> str:
    return json.dumps(event, separators=(",", ":"), default=str)
