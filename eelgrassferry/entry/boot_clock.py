"""The clock that decisions use."""

import time

__all__ = ["boot_clock"]


def boot_clock() -> float:
    """Return seconds that also pass while the machine is suspended.

    The steady clock stands still during a suspension, so a lease would outlive it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
