"""The host list as several parts of one node read it."""

import time
from collections.abc import Callable

from result import Ok, Result

from ..objects import Host, HostList, ObjectError

__all__ = ["SharedHosts"]


class SharedHosts:
    """Reads the host list, and gives a part that can do with an older one the last that was read.

    At the design size one list is over 100 KB, so that each read costs a node more than all its
    gossip in a second.

    >>> # hosts = SharedHosts(HostList(client, "127.0.0.1:7000", "d1"))
    >>> # res = await hosts.read(max_age_s=1.5)
    """

    def __init__(self, hosts: HostList, clock: Callable[[], float] = time.monotonic) -> None:
        self._hosts = hosts
        self._clock = clock
        self._last: tuple[Host, ...] = ()
        self._asked_at = float("-inf")

    async def read(self, max_age_s: float = 0.0) -> Result[tuple[Host, ...], ObjectError]:
        """Return the hosts as they were listed at most ``max_age_s`` ago. Failures are not kept."""
        asked_at = self._clock()
        if asked_at - self._asked_at < max_age_s:
            return Ok(self._last)
        read = await self._hosts.read()
        if isinstance(read, Ok) and asked_at >= self._asked_at:
            self._last, self._asked_at = read.ok_value, asked_at
        return read
