"""Settings of an upstream, a back end that serves requests."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Upstream", "UpstreamKind"]


class UpstreamKind(Enum):
    """Kind of server that runs on an upstream."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class Upstream:
    """Settings of a model server or an application server.

    ``address`` is ``ip:port``; it is overridden by the platform's host list after a host has moved.
    ``prefill_tokens_per_s`` and ``decode_tokens_per_s`` are the throughput of the whole upstream
    with a full batch of ``max_batch`` streams. ``checks_fence`` is True if the engine refuses
    orders with an outdated fencing token, ``checks_caller`` if it authenticates the sender of an
    order.
    """

    name: str
    kind: UpstreamKind
    address: str
    domain: str
    accelerators: int = 0
    memory_mib: int = 0
    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 1600.0
    max_batch: int = 16
    checks_fence: bool = True
    checks_caller: bool = False
