"""How the connections of a process share its event loop."""

from .work import Work
from .work_meter import WorkMeter
from .work_queue import WorkQueue, current_work_queue

__all__ = ["Work", "WorkMeter", "WorkQueue", "current_work_queue"]
