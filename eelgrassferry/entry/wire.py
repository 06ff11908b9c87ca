"""The formats in which a node speaks with its surroundings.

The platform's adapter supplies them, so that no other module knows their names.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Result

from ..coordination import EngineProtocol
from ..fleet import FleetConfig, UpstreamEntry
from ..forwarding import AnswerHead, RawHeaders, RequestFacts
from ..objects import MonitoredStore

__all__ = ["Wire"]


@dataclass(frozen=True)
class Wire:
    """Decoders and encoders, the paths of calls, and the keys of objects of the platform."""

    object_store: MonitoredStore
    decode_request: Callable[[RawHeaders], Result[RequestFacts, Any]]
    encode_request: Callable[[RawHeaders, str, float, int, str], list[tuple[bytes, bytes]]]
    decode_answer: Callable[[int, RawHeaders], AnswerHead]
    decode_config: Callable[[bytes], Result[FleetConfig, Any]]
    decode_entry: Callable[[str, bytes], Result[UpstreamEntry, Any]]
    engines: EngineProtocol
    ready_path: str
    config_prefix: str
    config_key: str
    upstreams_prefix: str
