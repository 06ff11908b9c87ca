"""Time that received bytes take of the event loop, by the kind of their connection."""

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from weakref import WeakKeyDictionary

__all__ = ["WorkMeter", "current_meter"]


class WorkMeter:
    """The time in seconds that was spent on received bytes since the last ``reset``.

    ``spent_s`` has the time by kind of connection. ``longest_s`` is the longest work without a
    pause, on a connection of ``longest_kind`` with ``longest_peer``.

    >>> meter = WorkMeter()
    >>> meter.add("upstream", "10.0.0.1:80", 0.5)
    >>> meter.spent_s["upstream"], meter.longest_peer
    (0.5, '10.0.0.1:80')
    """

    def __init__(self) -> None:
        self.spent_s: Counter[str] = Counter()
        self.longest_s = 0.0
        self.longest_kind = self.longest_peer = ""

    @contextmanager
    def measure(self, kind: str, peer: str) -> Iterator[None]:
        """Add the time that the block takes."""
        started_at = time.monotonic()
        try:
            yield
        finally:
            self.add(kind, peer, time.monotonic() - started_at)

    def add(self, kind: str, peer: str, duration_s: float) -> None:
        """Add the time of work on a connection."""
        self.spent_s[kind] += duration_s
        if duration_s > self.longest_s:
            self.longest_s, self.longest_kind, self.longest_peer = duration_s, kind, peer

    def reset(self) -> None:
        """Start to measure anew."""
        self.spent_s.clear()
        self.longest_s, self.longest_kind, self.longest_peer = 0.0, "", ""


_METERS: WeakKeyDictionary[asyncio.AbstractEventLoop, WorkMeter] = WeakKeyDictionary()


def current_meter() -> WorkMeter:
    """Return the meter of the running event loop, or a new one if none is running."""
    try:
        return _METERS.setdefault(asyncio.get_running_loop(), WorkMeter())
    except RuntimeError:
        return WorkMeter()
