"""Cache of the host list, shared by the components of one node."""

import time
from collections.abc import Callable

from result import Ok, Result

from ..objects import Host, HostList, ObjectError

__all__ = ["SharedHosts"]


class SharedHosts:
    """Reads the host list and serves the last result to components that accept an older one.

    In the largest supported system the list exceeds 100 KB, so one read costs a node more traffic
    than all of its gossip in a second.

    >>> # hosts = SharedHosts(HostList(client, "127.0.0.1:7000", "d1"))
    >>> # res = await hosts.read(max_age_s=1.5)
    """

    def __init__(self, hosts: HostList, clock: Callable[[], float] = time.monotonic) -> None:
        self._hosts = hosts
        self._clock = clock
        self._last: tuple[Host, ...] = ()
        self._requested_at = float("-inf")

    async def read(self, max_age_s: float = 0.0) -> Result[tuple[Host, ...], ObjectError]:
        """Return the hosts as listed at most ``max_age_s`` seconds ago.

        Failures are not cached.
        """
        requested_at = self._clock()
        if requested_at - self._requested_at < max_age_s:
            return Ok(self._last)
        read = await self._hosts.read()
        if isinstance(read, Ok) and requested_at >= self._requested_at:
            self._last, self._requested_at = read.ok_value, requested_at
        return read
