"""What the controller asks its shell to do."""

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
    """Read ``upstreams/<id>`` and pass it to ``on_record``."""

    upstream: str


@dataclass(frozen=True)
class WriteRecord:
    """Write ``upstreams/<id>`` conditionally and pass the result to ``on_record_written``."""

    upstream: str
    record: UpstreamRecord
    expected: int


@dataclass(frozen=True)
class SendOrder:
    """Send an order to an engine, unless the lease or the reservation is too old by then.

    ``reserved_s`` is the time at which the write of the reservation was sent. The result goes to
    ``on_order_answer`` or ``on_order_lost``.
    """

    upstream: str
    order: EngineOrder
    reserved_s: float


@dataclass(frozen=True)
class ReadStatus:
    """Read ``GET /admin/status`` and pass it to ``on_status``."""

    upstream: str


@dataclass(frozen=True)
class ProbeVersion:
    """Run a short request on a version that gets no traffic and pass the result to ``on_probe``."""

    upstream: str
    name: str
    version: str


ControlAction = ReadRecord | WriteRecord | SendOrder | ReadStatus | ProbeVersion
