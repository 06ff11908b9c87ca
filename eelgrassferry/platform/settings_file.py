"""The settings file that the platform gives each process."""

import os
from collections.abc import Mapping
from pathlib import Path

from result import Err, Ok, Result

from ..fleet import EntrySettings, ServiceBounds
from ..settings import SettingError
from .names import SETTINGS_VARIABLE

__all__ = ["load_entry_settings", "parse_settings"]

REQUIRED = ("node_name", "zone", "listen.front", "listen.ready", "listen.control")
# Setting, field of ``ServiceBounds``, and the number of the setting's units in the field's.
BOUNDS = (
    ("bounds.grace_s", "stop_grace_s", 1.0),
    ("bounds.lease_ms", "order_handover_s", 1000.0),
    ("bounds.budget_ratio", "retry_ratio", 1.0),
    ("bounds.budget_window_s", "retry_window_s", 1.0),
    ("bounds.budget_slack", "retry_slack", 1.0),
    ("bounds.ceiling_window_s", "cold_load_window_s", 1.0),
    ("bounds.ceiling_over", "cold_load_factor", 1.0),
)


def load_entry_settings() -> Result[EntrySettings, tuple[SettingError, ...]]:
    """Read the file that the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        return Err((_fault(SETTINGS_VARIABLE, "", "the environment variable is not set"),))
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err((_fault(path, "", f"cannot be read: {exc}"),))
    return parse_settings(text, path)


def parse_settings(text: str, path: str) -> Result[EntrySettings, tuple[SettingError, ...]]:
    """Decode lines of the form ``a.b=value``. Unknown keys are ignored.

    >>> parse_settings("node_name=n1", "node.conf").is_err()
    True
    """
    values: dict[str, str] = {}
    for line in text.splitlines():
        key, found, value = line.partition("=")
        if found:
            values[key.strip()] = value.strip()
    faults = [_fault(path, key, "is missing") for key in REQUIRED if not values.get(key)]
    store = values.get("platform.address", "")
    if not store:
        faults.append(_fault(path, "platform.address", "is missing"))
    for key in ("listen.front", "listen.ready", "listen.control", "platform.address"):
        if values.get(key) and not _is_address(values[key]):
            faults.append(_fault(path, key, f"{values[key]!r} is not an address IP:PORT"))
    bounds = _read_bounds(values, path, faults)
    # "cpu_share" is the part of a core that the node has, "cores" how many times as fast it is.
    share = _read_number(values, "limits.cpu_share", 1.0, path, faults)
    speed = _read_number(values, "limits.cores", 1.0, path, faults)
    if faults:
        return Err(tuple(faults))
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
            bounds=bounds,
        )
    )


def _read_bounds(values: Mapping[str, str], path: str, faults: list[SettingError]) -> ServiceBounds:
    default = ServiceBounds()
    found = {
        field: _read_number(values, key, getattr(default, field) * units, path, faults) / units
        for key, field, units in BOUNDS
    }
    return ServiceBounds(**found)


def _read_number(
    values: Mapping[str, str], key: str, default: float, path: str, faults: list[SettingError]
) -> float:
    text = values.get(key, "")
    if not text:
        return default
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if number < 0:
        faults.append(_fault(path, key, f"{text!r} is not a number of at least 0"))
        return default
    return number


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) < 65536


def _fault(path: str, key: str, message: str) -> SettingError:
    return SettingError(path, "", key, "read", message)
