"""Actions that a controller returns and its driver performs."""

from dataclasses import dataclass

from .engine import EngineOrder
from .record import UpstreamRecord

__all__ = [
    "ControlAction",
    "ProbeVersion",
    "ReadRecord",
    "ReadStatus",
    "SendOrder",
    "WriteRecord",
]


@dataclass(frozen=True)
class ReadRecord:
    """Action that reads ``upstreams/<id>``. The record is passed to ``on_record``."""

    upstream: str


@dataclass(frozen=True)
class WriteRecord:
    """Action that replaces version ``expected`` of ``upstreams/<id>``.

    The result is passed to ``on_record_written``.
    """

    upstream: str
    record: UpstreamRecord
    expected: int


@dataclass(frozen=True)
class SendOrder:
    """Action that sends an order to an engine.

    The order is not sent if the lease or the reservation has expired by then. ``reserved_s`` is
    the time at which the write of the reservation was sent. The result is passed to
    ``on_order_answer`` or ``on_order_lost``.
    """

    upstream: str
    order: EngineOrder
    reserved_s: float


@dataclass(frozen=True)
class ReadStatus:
    """Action that requests ``GET /admin/status``. The status is passed to ``on_status``."""

    upstream: str


@dataclass(frozen=True)
class ProbeVersion:
    """Action that runs a short request on a version that receives no traffic yet.

    The result is passed to ``on_probe``.
    """

    upstream: str
    name: str
    version: str


ControlAction = ReadRecord | WriteRecord | SendOrder | ReadStatus | ProbeVersion
