"""The monotonic clock of an entry node."""

import time

__all__ = ["PROCESS_STARTED_S", "boot_clock"]


def boot_clock() -> float:
    """Return the seconds since boot, including the time the machine was suspended.

    ``CLOCK_MONOTONIC`` stops during a suspension, so a lease measured with it would still seem
    valid after it has expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# A time at which this process was running already. Without other nodes of the same name in the
# process, all earlier ones had ended.
PROCESS_STARTED_S = boot_clock()
