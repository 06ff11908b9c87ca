"""Stand-ins for the external systems, for use in tests, benchmarks and demos.

Each stand-in is an HTTP server on a real socket: the platform (object API and host list), a model
engine, a plain service and the weight store. Faults are injected through ``POST /faults``, and
``GET /counts`` returns counters for the checks of a test.
"""

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
