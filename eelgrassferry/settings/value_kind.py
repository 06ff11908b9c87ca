"""Parsing and formatting of the kinds of values in settings, with their units."""

import ipaddress
import re
from decimal import Decimal
from enum import Enum
from typing import Any

from result import Err, Ok, Result

from .upstream import UpstreamKind

__all__ = ["ValueKind", "format_value", "is_name", "parse_value"]

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
# With these limits on digits and magnitude, format_value can write every accepted number exactly.
NUMBER_PATTERN = re.compile(r"([+-]?[0-9]{1,12}(?:\.[0-9]{1,6})?)\s*([^\s0-9.]\S*)?")
MAX_NUMBER = 1e9
CALL_RULE_PATTERN = re.compile(r"[A-Z]+ /\S*")

MEMORY_UNITS_MIB = {"MiB": Decimal(1), "GiB": Decimal(1024), "TiB": Decimal(1024 * 1024)}
# Decimal avoids rounding errors: in floating point, 350 * 0.001 is not 0.35.
TIME_UNITS_S = {
    "ms": Decimal("1e-3"),
    "s": Decimal(1),
    "min": Decimal(60),
    "h": Decimal(3600),
}


class ValueKind(Enum):
    """Syntax of a value. Quantities must be written with their unit."""

    ADDRESS = "ip:port"
    ADDRESSES = "list of ip:port"
    BIND_ADDRESS = "ip:port, port 0 for any"
    BOOL = "yes or no"
    CALL_RULES = "list of 'METHOD /path'"
    COUNT = "whole number"
    DURATION = "time"
    MEMORY = "memory"
    NAME = "name"
    NAMES = "list of names"
    NUMBER = "number"
    PATHS = "list of paths"
    PRIORITY = "urgent or patient"
    RATE = "rate"
    RATIO = "number over 0 and up to 1"
    TEXT = "text"
    TEXTS = "list of texts"
    TOKEN_RATE = "token rate"
    UPSTREAM_KIND = "engine or service"


def is_name(text: str) -> bool:
    """Return whether a text is a valid name: letters, digits, dots, dashes and underscores.

    The first character must be a letter or a digit.
    """
    return NAME_PATTERN.fullmatch(text) is not None


def parse_value(kind: ValueKind, text: str) -> Result[Any, str]:
    """Parse a value into base units (MiB, seconds, per second), or return an error message.

    >>> parse_value(ValueKind.MEMORY, "12 GiB")
    Ok(12288)
    >>> parse_value(ValueKind.DURATION, "350")
    Err("'350' has no unit; write one of ms, s, min, h")
    """
    if not text:
        return Err("the value is empty")
    match kind:
        case ValueKind.MEMORY:
            return _parse_quantity(text, MEMORY_UNITS_MIB).and_then(_to_whole_mib)
        case ValueKind.DURATION:
            return _parse_quantity(text, TIME_UNITS_S)
        case ValueKind.RATE:
            return _parse_quantity(text, {"/s": Decimal(1)})
        case ValueKind.TOKEN_RATE:
            return _parse_quantity(text, {"tokens/s": Decimal(1)})
        case ValueKind.NUMBER | ValueKind.RATIO:
            return _parse_number(kind, text)
        case ValueKind.COUNT:
            if not re.fullmatch(r"[+-]?[0-9]{1,9}", text):
                return Err(f"{text!r} is not a whole number")
            return Ok(int(text)) if int(text) > 0 else Err(f"{text!r} is not positive")
        case ValueKind.ADDRESS | ValueKind.BIND_ADDRESS:
            return _parse_address(text, 0 if kind is ValueKind.BIND_ADDRESS else 1)
        case ValueKind.NAME:
            return Ok(text) if is_name(text) else Err(_name_error(text))
        case ValueKind.TEXT:
            return Ok(text)
        case (
            ValueKind.ADDRESSES
            | ValueKind.CALL_RULES
            | ValueKind.NAMES
            | ValueKind.PATHS
            | ValueKind.TEXTS
        ):
            return _parse_list(kind, text)
        case ValueKind.BOOL | ValueKind.PRIORITY | ValueKind.UPSTREAM_KIND:
            return _parse_choice(kind, text)


def format_value(kind: ValueKind, value: Any) -> str:
    """Format a value so that ``parse_value`` returns the same value.

    Memory and durations are written in the largest unit that divides them without a remainder.
    """
    match kind:
        case ValueKind.MEMORY:
            return f"{value // 1024} GiB" if value % 1024 == 0 else f"{value} MiB"
        case ValueKind.DURATION:
            return _format_duration(value)
        case ValueKind.RATE:
            return f"{_format_plain(Decimal(repr(value)))}/s"
        case ValueKind.TOKEN_RATE:
            return f"{_format_plain(Decimal(repr(value)))} tokens/s"
        case ValueKind.NUMBER | ValueKind.RATIO:
            return f"{_format_plain(Decimal(repr(value)))}"
        case ValueKind.BOOL:
            return "yes" if value else "no"
        case ValueKind.PRIORITY:
            return "urgent" if value else "patient"
        case ValueKind.UPSTREAM_KIND:
            return value.value
        case _:
            return ", ".join(value) if isinstance(value, tuple) else str(value)


def _format_plain(number: Decimal) -> str:
    """Format a number without an exponent, because ``parse_value`` refuses exponents."""
    text = f"{number:f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def _format_duration(value: float) -> str:
    seconds = Decimal(repr(value))
    for unit in ("h", "min"):
        if seconds % TIME_UNITS_S[unit] == 0:
            return f"{_format_plain(seconds / TIME_UNITS_S[unit])} {unit}"
    if seconds >= 1 and seconds == round(seconds, 6):
        return f"{_format_plain(seconds)} s"
    return f"{_format_plain(seconds * 1000)} ms"


def _parse_quantity(text: str, units: dict[str, Decimal]) -> Result[float, str]:
    found = NUMBER_PATTERN.fullmatch(text)
    choices = ", ".join(units)
    if found is None:
        return Err(f"{text!r} is not a number with a unit; the units are {choices}")
    number, unit = found.groups()
    if unit is None:
        return Err(f"{text!r} has no unit; write one of {choices}")
    if unit not in units:
        return Err(f"{text!r} has the unknown unit {unit!r}; write one of {choices}")
    value = float(Decimal(number) * units[unit])
    if value <= 0:
        return Err(f"{text!r} is not positive")
    if value > MAX_NUMBER:
        return Err(f"{text!r} is too large")
    return Ok(value)


def _to_whole_mib(value: float) -> Result[int, str]:
    return Ok(int(value)) if value == int(value) else Err("the memory is not a whole number of MiB")


def _parse_number(kind: ValueKind, text: str) -> Result[float, str]:
    found = NUMBER_PATTERN.fullmatch(text)
    if found is None or found.group(2):
        return Err(f"{text!r} is not a plain number")
    value = float(text)
    if value <= 0:
        return Err(f"{text!r} is not positive")
    if value > MAX_NUMBER:
        return Err(f"{text!r} is too large")
    if kind is ValueKind.RATIO and value > 1:
        return Err(f"{text!r} is over 1")
    return Ok(value)


def _parse_address(text: str, lowest_port: int) -> Result[str, str]:
    host, colon, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        valid = bool(colon) and re.fullmatch(r"[0-9]{1,5}", port) is not None
        valid = valid and lowest_port <= int(port) <= 65535
    except ValueError:
        valid = False
    if not valid:
        return Err(f"{text!r} is not an IPv4 address with a port, such as 10.0.0.7:8080")
    return Ok(f"{host}:{int(port)}")


def _parse_list(kind: ValueKind, text: str) -> Result[tuple[str, ...], str]:
    items: list[str] = []
    for item in (part.strip() for part in text.split(",")):
        if not item:
            return Err(f"{text!r} has an empty item")
        if item in items:
            return Err(f"{item!r} is listed twice")
        match kind:
            case ValueKind.ADDRESSES:
                address = _parse_address(item, 1)
                if isinstance(address, Err):
                    return address
            case ValueKind.NAMES if not is_name(item):
                return Err(_name_error(item))
            case ValueKind.PATHS if not item.startswith("/"):
                return Err(f"{item!r} is not a path that starts with '/'")
            case ValueKind.CALL_RULES if not CALL_RULE_PATTERN.fullmatch(item):
                return Err(f"{item!r} is not a method and a path, such as 'GET /status'")
        items.append(item)
    return Ok(tuple(items))


def _parse_choice(kind: ValueKind, text: str) -> Result[Any, str]:
    match kind, text:
        case (ValueKind.BOOL, "yes") | (ValueKind.PRIORITY, "urgent"):
            return Ok(True)
        case (ValueKind.BOOL, "no") | (ValueKind.PRIORITY, "patient"):
            return Ok(False)
        case ValueKind.UPSTREAM_KIND, "engine" | "service":
            return Ok(UpstreamKind(text))
        case _:
            return Err(f"{text!r} is not {kind.value}")


def _name_error(text: str) -> str:
    return f"{text!r} is not a name of letters, digits, '.', '-' and '_'"
