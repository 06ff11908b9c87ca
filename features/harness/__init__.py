"""What the scenarios' steps are built on: processes, calls, work and invariants."""

from .calls import Calls
from .deployment import Deployment
from .invariants import check_invariants
from .node_group import NodeGroup
from .order_call import OrderCall
from .process import Process
from .request_call import RequestCall
from .revision_log import Accepted, RevisionLog
from .system import System

__all__ = [
    "Accepted",
    "Calls",
    "Deployment",
    "NodeGroup",
    "OrderCall",
    "Process",
    "RequestCall",
    "RevisionLog",
    "System",
    "check_invariants",
]
