"""Gossip topics and their value classes; each node publishes one value per topic.

The scope of a topic is the failure domain or the whole fleet. Topics whose values change rarely
use anti-entropy to repair lost messages. Values of the other topics are published again within
seconds, so a lost message needs no repair.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack
from result import Err, Ok, Result

from .errors import MalformedMessage
from .field_codec import codec_for

__all__ = [
    "ConfigRevision",
    "CrashSuspects",
    "EngineLoad",
    "EngineLoads",
    "Heartbeat",
    "InFlightCount",
    "InFlightCounts",
    "LoadSummary",
    "MemberValue",
    "ModelSummary",
    "Topic",
    "TopicValue",
    "decode_value",
    "encode_value",
    "topic_of",
]


class Topic(IntEnum):
    """Gossip topics in descending order of send priority."""

    SUSPECTS = 0
    REVISION = 1
    MEMBER = 2
    HEARTBEAT = 3
    LOADS = 4
    IN_FLIGHT_COUNTS = 5
    LOAD_SUMMARY = 6

    @property
    def domain_scoped(self) -> bool:
        """Whether values are sent only within the failure domain of their node."""
        return self in (Topic.LOADS, Topic.IN_FLIGHT_COUNTS)

    @property
    def uses_anti_entropy(self) -> bool:
        """Whether lost values are repaired by anti-entropy."""
        return self in (Topic.SUSPECTS, Topic.REVISION, Topic.MEMBER)


@dataclass(frozen=True)
class MemberValue:
    """Membership entry that a node publishes about itself."""

    instance: str
    domain: str
    address: str
    draining: bool


@dataclass(frozen=True)
class Heartbeat:
    """Heartbeat, published if the node has published nothing else to the fleet."""


@dataclass(frozen=True)
class ConfigRevision:
    """Configuration revision that the node has in force."""

    revision: int


@dataclass(frozen=True)
class EngineLoad:
    """Exact load of one engine.

    Numbers of running and queued requests, used memory in MiB and age of the report in ms.
    """

    upstream: str
    running: int
    queued: int
    used_mib: int
    age_ms: int


@dataclass(frozen=True)
class EngineLoads:
    """Exact loads of the engines that the node monitors."""

    engines: tuple[EngineLoad, ...]


@dataclass(frozen=True)
class InFlightCount:
    """Number of the node's requests in flight at one upstream."""

    upstream: str
    in_flight: int


@dataclass(frozen=True)
class InFlightCounts:
    """Numbers of the node's requests in flight; upstreams that are not included have none."""

    upstreams: tuple[InFlightCount, ...]


@dataclass(frozen=True)
class ModelSummary:
    """Load summary of one model: its monitored copies and their free request slots."""

    model: str
    copies: int
    free_slots: int


@dataclass(frozen=True)
class LoadSummary:
    """Load summary by model of the monitored engines, for nodes in other failure domains."""

    models: tuple[ModelSummary, ...]


@dataclass(frozen=True)
class CrashSuspects:
    """Digests of the requests that are suspected or confirmed to crash upstreams."""

    suspected: tuple[str, ...]
    confirmed: tuple[str, ...]


TopicValue = (
    MemberValue
    | Heartbeat
    | ConfigRevision
    | EngineLoads
    | InFlightCounts
    | LoadSummary
    | CrashSuspects
)

_CLASSES: dict[Topic, Any] = {
    Topic.SUSPECTS: CrashSuspects,
    Topic.REVISION: ConfigRevision,
    Topic.MEMBER: MemberValue,
    Topic.HEARTBEAT: Heartbeat,
    Topic.LOADS: EngineLoads,
    Topic.IN_FLIGHT_COUNTS: InFlightCounts,
    Topic.LOAD_SUMMARY: LoadSummary,
}
_TOPICS = {cls: topic for topic, cls in _CLASSES.items()}


def topic_of(value: TopicValue | type) -> Topic:
    """Return the topic of a value or value class."""
    return _TOPICS[value if isinstance(value, type) else type(value)]


def encode_value(value: TopicValue) -> bytes:
    """Return the encoding of a value; nodes forward these bytes unchanged."""
    return msgpack.packb(codec_for(type(value)).encode(value))


def decode_value(topic: Topic, data: bytes) -> Result[TopicValue, MalformedMessage]:
    """Decode a value of a topic; return an error for malformed data."""
    try:
        return Ok(codec_for(_CLASSES[topic]).decode(msgpack.unpackb(data)))
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as exc:
        return Err(MalformedMessage("decode", "", f"{topic.name}: {exc}"))
