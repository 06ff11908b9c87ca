"""Test harness of the scenarios: processes, client calls and checks of the invariants."""

from .deployment import Deployment
from .invariants import check_invariants
from .node_group import NodeGroup
from .order_call import OrderCall
from .process import Process
from .request_call import RequestCall
from .revision_log import AcceptedChange, RevisionLog
from .sync_http_client import SyncHttpClient
from .system import System

__all__ = [
    "AcceptedChange",
    "Deployment",
    "NodeGroup",
    "OrderCall",
    "Process",
    "RequestCall",
    "RevisionLog",
    "SyncHttpClient",
    "System",
    "check_invariants",
]
