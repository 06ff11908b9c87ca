"""Engine orders and the parsing of the body of ``POST /admin/orders``."""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

from result import Err, Ok, Result

from ..http import ExecutionStatus, Problem

__all__ = ["EngineOrder", "OrderKind", "parse_order"]


class OrderKind(Enum):
    """The kinds of engine orders."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"
    FENCE = "fence"


@dataclass(frozen=True)
class EngineOrder:
    """An engine order.

    ``name`` is the name of a model or adapter, or the role for ``set_role``. ``base`` is the model
    of an adapter and is optional. ``fence`` is the fencing number of the sender.
    """

    order_id: str
    kind: OrderKind
    name: str = ""
    version: str = ""
    memory_mib: int = 0
    base: str = ""
    fence: int = 0


def parse_order(body: bytes) -> Result[EngineOrder, Problem]:
    """Return the order in a request body, or a problem that describes the malformed field."""
    try:
        values = json.loads(body)
        kind = OrderKind(values["kind"])
        order = EngineOrder(
            order_id=_read_str(values, "order_id"),
            kind=kind,
            name=_read_str(values, "name"),
            version=_read_str(values, "version"),
            memory_mib=_read_int(values, "memory_mib"),
            base=_read_str(values, "base"),
            fence=_read_int(values, "fence"),
        )
    except (ValueError, KeyError, TypeError) as exc:
        return _bad_order(f"malformed order: {exc}")
    if not order.order_id:
        return _bad_order("order_id is missing")
    if kind is not OrderKind.FENCE and not order.name:
        return _bad_order("name is missing")
    is_load = kind in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)
    is_unload = kind in (OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER)
    if (is_load or is_unload) and not order.version:
        return _bad_order("version is missing")
    if is_load and order.memory_mib <= 0:
        return _bad_order("memory_mib must be over 0")
    return Ok(order)


def _read_str(values: dict[str, Any], name: str) -> str:
    value = values.get(name) or ""
    if not isinstance(value, str):
        raise TypeError(f"{name} is not a text")
    return value


def _read_int(values: dict[str, Any], name: str) -> int:
    value = values.get(name) or 0
    if not isinstance(value, int):
        raise TypeError(f"{name} is not a whole number")
    return value


def _bad_order(detail: str) -> Err[Problem]:
    return Err(Problem(400, "bad_order", ExecutionStatus.NO, detail))
