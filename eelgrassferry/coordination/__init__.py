"""Coordination of the nodes: leader election, orders to engines and messages between nodes."""

from .engine_protocol import EngineProtocol
from .isolation_detector import IsolationDetector
from .leadership import Leadership
from .lease_holder import LeaseHolder
from .link_admission import LinkAdmission
from .messages import FleetView, ObjectsCopy
from .order_runner import OrderRunner
from .peer_link import PeerLink
from .peer_mesh import PeerMesh
from .verdict_store import VerdictStore

__all__ = [
    "EngineProtocol",
    "FleetView",
    "IsolationDetector",
    "Leadership",
    "LeaseHolder",
    "LinkAdmission",
    "ObjectsCopy",
    "OrderRunner",
    "PeerLink",
    "PeerMesh",
    "VerdictStore",
]
