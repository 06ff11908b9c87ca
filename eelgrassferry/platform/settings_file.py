"""Reader of the settings file that the platform provides to each process."""

import os
from collections.abc import Mapping
from pathlib import Path

from result import Err, Ok, Result

from ..fleet import EntrySettings, ServiceBounds
from ..settings import SettingError
from .address import is_address
from .names import SETTINGS_VARIABLE

__all__ = ["load_entry_settings", "parse_settings"]

REQUIRED = ("node_name", "zone", "listen.front", "listen.ready", "listen.control")
# Setting, field of ``ServiceBounds``, and the number of the setting's units in one of the field's
# units (1000.0: milliseconds in a second).
BOUND_SETTINGS = (
    ("bounds.grace_s", "stop_grace_s", 1.0),
    ("bounds.lease_ms", "order_handover_s", 1000.0),
    ("bounds.budget_ratio", "retry_ratio", 1.0),
    ("bounds.budget_window_s", "retry_window_s", 1.0),
    ("bounds.budget_slack", "retry_slack", 1.0),
    ("bounds.ceiling_window_s", "cold_load_window_s", 1.0),
    ("bounds.ceiling_over", "cold_load_factor", 1.0),
    ("bounds.quota_window_s", "quota_window_s", 1.0),
    ("bounds.quota_over", "quota_over", 1.0),
    ("bounds.quota_slack", "quota_slack", 1.0),
)


def load_entry_settings() -> Result[EntrySettings, tuple[SettingError, ...]]:
    """Load the settings file whose path is in the environment variable ``SETTINGS_VARIABLE``."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        return Err((_make_error(SETTINGS_VARIABLE, "", "the environment variable is not set"),))
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err((_make_error(path, "", f"cannot be read: {exc}"),))
    return parse_settings(text, path)


def parse_settings(text: str, path: str) -> Result[EntrySettings, tuple[SettingError, ...]]:
    """Decode lines of the form ``a.b=value``, ignoring unknown keys.

    Return the settings, or one error for each missing or malformed setting. ``path`` is the file's
    path for the error messages.

    >>> parse_settings("node_name=n1", "node.conf").is_err()
    True
    """
    values: dict[str, str] = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            values[key.strip()] = value.strip()
    errors = [_make_error(path, key, "is missing") for key in REQUIRED if not values.get(key)]
    store = values.get("platform.address", "")
    if not store:
        errors.append(_make_error(path, "platform.address", "is missing"))
    for key in ("listen.front", "listen.ready", "listen.control", "platform.address"):
        if values.get(key) and not is_address(values[key]):
            errors.append(_make_error(path, key, f"{values[key]!r} is not an address IP:PORT"))
    bounds = _read_bounds(values, path, errors)
    # "cpu_share" is the share of a core that the node may use, "cores" that core's speed factor.
    share = _read_number(values, "limits.cpu_share", 1.0, path, errors)
    speed = _read_number(values, "limits.cores", 1.0, path, errors)
    memory_mb = _read_number(values, "limits.memory_mb", 0.0, path, errors)
    max_fds = _read_number(values, "limits.max_fds", 0.0, path, errors)
    if errors:
        return Err(tuple(errors))
    return Ok(
        EntrySettings(
            name=values["node_name"],
            domain=values["zone"],
            caller_listen=values["listen.front"],
            ready_listen=values["listen.ready"],
            peer_listen=values["listen.control"],
            object_store=store,
            seeds=tuple(s for s in values.get("seeds", "").split(",") if s),
            first_start=values.get("bootstrap", "") == "true",
            cores=share * speed,
            memory_mb=memory_mb,
            max_fds=max_fds,
            bounds=bounds,
        )
    )


def _read_bounds(values: Mapping[str, str], path: str, errors: list[SettingError]) -> ServiceBounds:
    default = ServiceBounds()
    bounds = {
        field: _read_number(values, key, getattr(default, field) * units, path, errors) / units
        for key, field, units in BOUND_SETTINGS
    }
    return ServiceBounds(**bounds)


def _read_number(
    values: Mapping[str, str], key: str, default: float, path: str, errors: list[SettingError]
) -> float:
    text = values.get(key, "")
    if not text:
        return default
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if number < 0:
        errors.append(_make_error(path, key, f"{text!r} is not a number of at least 0"))
        return default
    return number


def _make_error(path: str, key: str, message: str) -> SettingError:
    return SettingError(path, "", key, "read", message)
