"""Serving system that puts many models and adapters on fewer accelerators.

The subpackages are flat and by subject. Decisions are state machines without I/O that take
messages and the time and return messages; ``node`` connects them to sockets and timers.
"""

__version__ = "0.1.0"
