"""The monotonic clock of an entry node."""

import time

__all__ = ["boot_clock"]


def boot_clock() -> float:
    """Return the seconds since boot, including the time the machine was suspended.

    ``CLOCK_MONOTONIC`` stops during a suspension, so a lease measured with it would still seem
    valid after it has expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
