"""The entry node: sockets, timers and signal handlers around the dispatcher and coordination."""

from .boot_clock import boot_clock
from .entry_node import EntryNode
from .wire import Wire

__all__ = ["EntryNode", "Wire", "boot_clock"]
