"""Configuration of structlog for a process."""

import json
import logging
import sys
from typing import Any, TextIO

import structlog

from .volume import LogVolumeLimiter

__all__ = ["configure_logs"]

COMMON_KEYS = ("timestamp", "level", "event", "request_id", "step", "peer")


def configure_logs(level: str = "info", stream: TextIO | None = None) -> None:
    """Write log events to ``stream`` (standard error by default) as one JSON object a line.

    Each line has ``timestamp`` (UTC), ``level``, ``event``, ``request_id``, ``step`` and ``peer``.
    The last three are empty strings if they do not apply, so that a log query can rely on the
    same fields in every line. Raises ``ValueError`` for an unknown level.
    """
    level_number = logging.getLevelNamesMapping().get(level.upper())
    if level_number is None:
        raise ValueError(f"unknown log level {level!r}")
    structlog.configure(
        processors=[
            LogVolumeLimiter(),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _order_keys,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def _order_keys(_logger: Any, _method: str, event: dict[str, Any]) -> dict[str, Any]:
    """Put the common fields first and add those that are missing as empty strings."""
    common = {key: event.pop(key, "") for key in COMMON_KEYS}
    return {**common, **event}


def _encode(event: dict[str, Any], **_options: Any) -> str:
    return json.dumps(event, separators=(",", ":"), default=str)
