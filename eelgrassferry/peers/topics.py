"""What nodes gossip about; one value per node and topic.

A topic is *scoped* to the failure domain or to the whole fleet. A *rare* topic changes seldom and
is repaired by anti-entropy; the others are published again within seconds, which repairs a loss.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack
from result import Err, Ok, Result

from .errors import MalformedMessage
from .field_codec import codec_for

__all__ = [
    "Beat",
    "CoarseLoads",
    "ConfigRevision",
    "Dispatch",
    "Dispatches",
    "EngineLoad",
    "EngineLoads",
    "MemberValue",
    "ModelLoad",
    "Suspects",
    "Topic",
    "TopicValue",
    "decode_value",
    "encode_value",
    "topic_of",
]


class Topic(IntEnum):
    """Topics in the order in which they are sent when the byte budget is short."""

    SUSPECTS = 0
    REVISION = 1
    MEMBER = 2
    BEAT = 3
    LOADS = 4
    DISPATCHES = 5
    COARSE = 6

    @property
    def in_domain(self) -> bool:
        """Whether the topic stays within the failure domain."""
        return self in (Topic.LOADS, Topic.DISPATCHES)

    @property
    def rare(self) -> bool:
        """Whether a lost value has to be repaired by anti-entropy."""
        return self in (Topic.SUSPECTS, Topic.REVISION, Topic.MEMBER)


@dataclass(frozen=True)
class MemberValue:
    """A node's own membership entry."""

    instance: str
    domain: str
    address: str
    draining: bool


@dataclass(frozen=True)
class Beat:
    """A sign of life, sent where nothing else was."""


@dataclass(frozen=True)
class ConfigRevision:
    """The revision that the node has in force."""

    revision: int


@dataclass(frozen=True)
class EngineLoad:
    """Exact load of one engine: requests, memory in MiB, and the age of the report in ms."""

    upstream: str
    running: int
    queued: int
    used_mib: int
    age_ms: int


@dataclass(frozen=True)
class EngineLoads:
    """The engines that the node watches."""

    engines: tuple[EngineLoad, ...]


@dataclass(frozen=True)
class Dispatch:
    """Requests of the node in flight at one upstream."""

    upstream: str
    in_flight: int


@dataclass(frozen=True)
class Dispatches:
    """The node's own requests in flight. Upstreams that are left out have none."""

    upstreams: tuple[Dispatch, ...]


@dataclass(frozen=True)
class ModelLoad:
    """Summary over the watched copies of one model: copies, and free request slots."""

    model: str
    copies: int
    free_slots: int


@dataclass(frozen=True)
class CoarseLoads:
    """Summary of the watched engines for nodes of other failure domains."""

    models: tuple[ModelLoad, ...]


@dataclass(frozen=True)
class Suspects:
    """Digests of the requests that the node suspects or knows to crash upstreams."""

    suspected: tuple[str, ...]
    confirmed: tuple[str, ...]


TopicValue = MemberValue | Beat | ConfigRevision | EngineLoads | Dispatches | CoarseLoads | Suspects

_CLASSES: dict[Topic, Any] = {
    Topic.SUSPECTS: Suspects,
    Topic.REVISION: ConfigRevision,
    Topic.MEMBER: MemberValue,
    Topic.BEAT: Beat,
    Topic.LOADS: EngineLoads,
    Topic.DISPATCHES: Dispatches,
    Topic.COARSE: CoarseLoads,
}
_TOPICS = {cls: topic for topic, cls in _CLASSES.items()}


def topic_of(value: TopicValue | type) -> Topic:
    """Return the topic of a value or value class."""
    return _TOPICS[value if isinstance(value, type) else type(value)]


def encode_value(value: TopicValue) -> bytes:
    """Return the bytes of a value; they are forwarded without being decoded."""
    return msgpack.packb(codec_for(type(value)).encode(value))


def decode_value(topic: Topic, data: bytes) -> Result[TopicValue, MalformedMessage]:
    """Return the value of received bytes."""
    try:
        return Ok(codec_for(_CLASSES[topic]).decode(msgpack.unpackb(data)))
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as exc:
        return Err(MalformedMessage("decode", "", f"{topic.name}: {exc}"))
