"""Links between nodes, membership, gossip and the spreading of the configuration record."""

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
from .gossip_limits import GossipLimits, load_interval_s, summary_interval_s
from .gossip_state import GossipState
from .gossiper import Gossiper
from .identity import Identity
from .membership import Membership, heartbeat_interval_s
from .mesh import PeerMesh
from .message import Message, decode_message, encode_message, message
from .node_entry import HostEntry, NodeEntry, NodeState
from .rendezvous import rendezvous_owner
from .topics import (
    CoarseLoads,
    ConfigRevision,
    Dispatch,
    Dispatches,
    EngineLoad,
    EngineLoads,
    ModelLoad,
    Suspects,
    Topic,
)

__all__ = [
    "CoarseLoads",
    "ConfigExchange",
    "ConfigHolder",
    "ConfigRecord",
    "ConfigRevision",
    "Dispatch",
    "Dispatches",
    "EngineLoad",
    "EngineLoads",
    "FrameTooLarge",
    "GossipLimits",
    "GossipState",
    "Gossiper",
    "HandshakeError",
    "HostEntry",
    "Identity",
    "MalformedMessage",
    "Membership",
    "Message",
    "ModelLoad",
    "NodeEntry",
    "NodeState",
    "PeerError",
    "PeerFailure",
    "PeerMesh",
    "Suspects",
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
