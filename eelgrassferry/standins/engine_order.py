"""One engine order as it arrives on ``POST /admin/orders``."""

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
    """``name`` is the model, the adapter, or the role of a ``set_role``; ``base`` is optional."""

    order_id: str
    kind: OrderKind
    name: str = ""
    version: str = ""
    memory_mib: int = 0
    base: str = ""
    fence: int = 0


def parse_order(body: bytes) -> Result[EngineOrder, Problem]:
    """Return the order of a request body, or why it is malformed."""
    try:
        values = json.loads(body)
        kind = OrderKind(values["kind"])
        order = EngineOrder(
            order_id=_text(values, "order_id"),
            kind=kind,
            name=_text(values, "name"),
            version=_text(values, "version"),
            memory_mib=_number(values, "memory_mib"),
            base=_text(values, "base"),
            fence=_number(values, "fence"),
        )
    except (ValueError, KeyError, TypeError) as exc:
        return _refuse(f"malformed order: {exc}")
    if not order.order_id:
        return _refuse("order_id is missing")
    if kind is not OrderKind.FENCE and not order.name:
        return _refuse("name is missing")
    loads = kind in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)
    unloads = kind in (OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER)
    if (loads or unloads) and not order.version:
        return _refuse("version is missing")
    if loads and order.memory_mib <= 0:
        return _refuse("memory_mib must be over 0")
    return Ok(order)


def _text(values: dict[str, Any], name: str) -> str:
    value = values.get(name) or ""
    if not isinstance(value, str):
        raise TypeError(f"{name} is not a text")
    return value


def _number(values: dict[str, Any], name: str) -> int:
    value = values.get(name) or 0
    if not isinstance(value, int):
        raise TypeError(f"{name} is not a whole number")
    return value


def _refuse(detail: str) -> Err[Problem]:
    return Err(Problem(400, "bad_order", ExecutionStatus.NO, detail))
