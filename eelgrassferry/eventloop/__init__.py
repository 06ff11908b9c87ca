"""How the connections of a process share its event loop."""

from .work_meter import WorkMeter, current_meter

__all__ = ["WorkMeter", "current_meter"]
