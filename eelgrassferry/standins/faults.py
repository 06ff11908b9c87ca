"""Fault switches: frozen data classes that ``POST /faults`` changes field by field."""

import dataclasses
import json
from typing import Any, TypeVar

from result import Err, Ok, Result

from ..http import ExecutionStatus, Problem

__all__ = ["update_faults"]

F = TypeVar("F")


def update_faults(current: F, body: bytes) -> Result[F, Problem]:
    """Return ``current`` with the fields of a JSON object replaced; other fields stay.

    An unknown field or a value of another type is refused, so that a misspelt fault cannot make a
    test pass without the fault.
    """
    try:
        values = json.loads(body or b"{}")
    except ValueError as exc:
        return _refuse(f"the body is not JSON: {exc}")
    if not isinstance(values, dict):
        return _refuse("the body is not a JSON object")
    known = {field.name for field in dataclasses.fields(current)}
    changes = {}
    for name, value in values.items():
        if name not in known:
            return _refuse(f"unknown fault {name!r}; known: {', '.join(sorted(known))}")
        kept = _convert(getattr(current, name), value)
        if kept is None:
            return _refuse(f"fault {name!r} does not take the value {value!r}")
        changes[name] = kept
    return Ok(dataclasses.replace(current, **changes))


def _convert(current: Any, value: Any) -> Any:
    """Return the value in the type of the current one, or None where the types differ."""
    match current, value:
        case bool(), bool():
            return value
        case bool(), _:
            return None
        case int() | float(), bool():
            return None
        case int(), int():
            return value
        case float(), int() | float():
            return float(value)
        case tuple(), list() if all(isinstance(item, str) for item in value):
            return tuple(value)
    return None


def _refuse(detail: str) -> Err[Problem]:
    return Err(Problem(400, "bad_fault", ExecutionStatus.NO, detail))
