"""Updates of fault switches, which are frozen data classes, by ``POST /faults``."""

import dataclasses
import json
from typing import Any, TypeVar

from result import Err, Ok, Result

from ..http import ExecutionStatus, Problem

__all__ = ["update_faults"]

FaultsT = TypeVar("FaultsT")


def update_faults(current: FaultsT, body: bytes) -> Result[FaultsT, Problem]:
    """Return ``current`` with the fields that are given in a JSON object replaced.

    An unknown field or a value of another type is an error: otherwise a test that misspells a
    fault would pass without injecting it.
    """
    try:
        values = json.loads(body or b"{}")
    except ValueError as exc:
        return _bad_fault(f"the body is not JSON: {exc}")
    if not isinstance(values, dict):
        return _bad_fault("the body is not a JSON object")
    known = {field.name for field in dataclasses.fields(current)}
    changes = {}
    for name, value in values.items():
        if name not in known:
            return _bad_fault(f"unknown fault {name!r}; known: {', '.join(sorted(known))}")
        converted = _convert(getattr(current, name), value)
        if converted is None:
            return _bad_fault(f"fault {name!r} does not take the value {value!r}")
        changes[name] = converted
    return Ok(dataclasses.replace(current, **changes))


def _convert(current: Any, value: Any) -> Any:
    """Return the value converted to the type of the current one, or None if it does not fit."""
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


def _bad_fault(detail: str) -> Err[Problem]:
    return Err(Problem(400, "bad_fault", ExecutionStatus.NO, detail))
