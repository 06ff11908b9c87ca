"""The entry node on the users' platform: sockets, timers and signals around the decisions."""

from .boot_clock import boot_clock
from .entry_node import EntryNode
from .wire import Wire

__all__ = ["EntryNode", "Wire", "boot_clock"]
