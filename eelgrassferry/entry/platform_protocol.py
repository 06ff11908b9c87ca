"""The interface to the platform's formats: codecs, paths and object keys.

The ``platform`` package supplies the implementation; no other module depends on the names of
headers, paths and keys.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Result

from ..coordination import EngineProtocol
from ..fleet import FleetConfig, UpstreamEntry
from ..forwarding import AnswerHead, RawHeaders, RequestMetadata
from ..objects import MonitoredStore

__all__ = ["PlatformProtocol"]


@dataclass(frozen=True)
class PlatformProtocol:
    """The platform's object store, codecs, HTTP paths and object keys."""

    object_store: MonitoredStore
    decode_request: Callable[[RawHeaders], Result[RequestMetadata, Any]]
    encode_request: Callable[
        [RawHeaders, str, float, int, str, str | None], list[tuple[bytes, bytes]]
    ]
    decode_answer: Callable[[int, RawHeaders], AnswerHead]
    decode_config: Callable[[bytes], Result[FleetConfig, Any]]
    decode_entry: Callable[[str, bytes], Result[UpstreamEntry, Any]]
    engines: EngineProtocol
    ready_path: str
    config_prefix: str
    config_key: str
    upstreams_prefix: str
