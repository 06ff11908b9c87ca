"""The protocol between the coordinator and engines."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Result

from ..fleet import UpstreamEntry
from ..http import HttpResponse
from ..ordering import EngineReport, FleetOrder, OrderAnswer

__all__ = ["EngineProtocol"]


@dataclass(frozen=True)
class EngineProtocol:
    """Encoders, decoders and paths of the HTTP calls to engines."""

    encode_order: Callable[[FleetOrder, str, int], bytes]
    order_headers: Callable[[UpstreamEntry], tuple[tuple[str, str], ...]]
    decode_order_answer: Callable[[HttpResponse], OrderAnswer]
    decode_report: Callable[[bytes], Result[EngineReport, Any]]
    order_path: str
    report_path: str
