"""Communication between nodes: links, membership, gossip and distribution of the configuration."""

from .config_exchange import ConfigExchange, ConfigHolder, ConfigRecord
from .errors import (
    FrameTooLarge,
    HandshakeError,
    MalformedMessage,
    PeerError,
    PeerFailure,
    UnknownKind,
    VersionMismatch,
)
from .gossip_settings import GossipSettings, load_interval_s, summary_interval_s
from .gossip_state import GossipState
from .gossiper import Gossiper
from .identity import Identity
from .membership import Membership, heartbeat_interval_s
from .mesh import PeerMesh
from .message import Message, decode_message, encode_message, message
from .node_entry import HostEntry, NodeEntry, NodeState
from .rendezvous import rendezvous_owner
from .topics import (
    ConfigRevision,
    CrashSuspects,
    EngineLoad,
    EngineLoads,
    InFlightCount,
    InFlightCounts,
    LoadSummary,
    ModelSummary,
    Topic,
)

__all__ = [
    "ConfigExchange",
    "ConfigHolder",
    "ConfigRecord",
    "ConfigRevision",
    "CrashSuspects",
    "EngineLoad",
    "EngineLoads",
    "FrameTooLarge",
    "GossipSettings",
    "GossipState",
    "Gossiper",
    "HandshakeError",
    "HostEntry",
    "Identity",
    "InFlightCount",
    "InFlightCounts",
    "LoadSummary",
    "MalformedMessage",
    "Membership",
    "Message",
    "ModelSummary",
    "NodeEntry",
    "NodeState",
    "PeerError",
    "PeerFailure",
    "PeerMesh",
    "Topic",
    "UnknownKind",
    "VersionMismatch",
    "decode_message",
    "encode_message",
    "heartbeat_interval_s",
    "load_interval_s",
    "message",
    "rendezvous_owner",
    "summary_interval_s",
]
