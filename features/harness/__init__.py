"""What the scenarios' steps are built on: processes, calls, work and invariants."""

from .calls import Calls
from .deployment import Deployment
from .invariants import check_invariants
from .order_call import OrderCall
from .process import Process
from .request_call import RequestCall
from .system import System

__all__ = [
    "Calls",
    "Deployment",
    "OrderCall",
    "Process",
    "RequestCall",
    "System",
    "check_invariants",
]
