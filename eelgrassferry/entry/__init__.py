"""The entry node: sockets, timers and signal handlers around the dispatcher and coordination."""

from .boot_clock import PROCESS_STARTED_S, boot_clock
from .entry_node import EntryNode
from .platform_protocol import PlatformProtocol

__all__ = ["PROCESS_STARTED_S", "EntryNode", "PlatformProtocol", "boot_clock"]
