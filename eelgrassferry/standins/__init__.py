"""Stand-ins of the external systems, over real sockets and with fault switches."""

from .engine import EngineStandin
from .engine_options import EngineFaults, EngineOptions
from .platform import PlatformFaults, PlatformOptions, PlatformStandin
from .service import ServiceFaults, ServiceOptions, ServiceStandin
from .store import StoreFaults, StoreOptions, StoreStandin
from .tokens import (
    block_hashes,
    count_prompt_tokens,
    expected_tokens,
    join_tokens,
    render_chat,
    request_digest,
)

__all__ = [
    "EngineFaults",
    "EngineOptions",
    "EngineStandin",
    "PlatformFaults",
    "PlatformOptions",
    "PlatformStandin",
    "ServiceFaults",
    "ServiceOptions",
    "ServiceStandin",
    "StoreFaults",
    "StoreOptions",
    "StoreStandin",
    "block_hashes",
    "count_prompt_tokens",
    "expected_tokens",
    "join_tokens",
    "render_chat",
    "request_digest",
]
