"""The entry node: sockets, timers and signal handlers around the dispatcher and coordination."""

from .boot_clock import boot_clock
from .entry_node import EntryNode
from .platform_protocol import PlatformProtocol

__all__ = ["EntryNode", "PlatformProtocol", "boot_clock"]
