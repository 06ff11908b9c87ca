"""A back end that serves requests."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Upstream", "UpstreamKind"]


class UpstreamKind(Enum):
    """What runs on an upstream."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class Upstream:
    """A model server or an application server.

    ``address`` is ``ip:port``; the platform's host list replaces it for a host that has moved.
    ``prefill_tokens_per_s`` and ``decode_tokens_per_s`` are for the whole upstream with a full
    batch of ``max_batch`` streams. ``checks_fence`` says whether the engine refuses an order with
    an old fencing number, ``checks_caller`` whether it asks who gives it an order.
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
