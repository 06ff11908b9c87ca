"""Detection of a network partition that cuts this node's failure domain off from all others."""

import asyncio
import random
from collections.abc import Callable

import structlog

from ..fleet import UpstreamDirectory
from ..http import split_address
from ..routing import UpstreamState

__all__ = ["IsolationDetector"]

log = structlog.get_logger()

# Time between two checks, in seconds.
CHECK_INTERVAL_S = 0.2
# In seconds. A connection within a region takes a few milliseconds; the rest allows for a busy
# machine.
CONNECT_TIMEOUT_S = 0.3
# Largest number of nodes, and of upstreams, of other domains that are probed per check.
MAX_PROBES = 3
# After this time a node considers itself connected again, in seconds. Otherwise no node would be
# ready if all domains were cut off from each other.
MAX_ISOLATED_S = 20.0


class IsolationDetector:
    """Detector that probes other failure domains while contact with other nodes is lost.

    A node is isolated if it can connect neither to a node nor to an upstream of any other domain.
    Other domains then serve its callers better, as long as the platform can route them there.

    ``peers`` returns the domain of each other node by address. ``has_lost_contact`` returns whether
    contact with other nodes appears to be lost. ``on_change`` is called with the new value of
    ``isolated``.
    """

    def __init__(
        self,
        domain: str,
        directory: UpstreamDirectory,
        peers: Callable[[], dict[str, str]],
        has_lost_contact: Callable[[], bool],
        clock: Callable[[], float],
        on_change: Callable[[bool], None],
    ) -> None:
        self.isolated = False
        self._domain = domain
        self._directory = directory
        self._peers = peers
        self._has_lost_contact = has_lost_contact
        self._clock = clock
        self._on_change = on_change
        self._isolated_since = 0.0
        self._rng = random.Random()

    async def run(self) -> None:
        """Check for isolation periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self.isolated and not self._has_lost_contact():
                continue
            nodes, upstreams = self._probe_targets()
            # Upstreams count new connections, so they are probed only if no node can be reached.
            reached = not nodes and not upstreams
            reached = (
                reached
                or await self._can_connect_to_any(nodes)
                or await self._can_connect_to_any(upstreams)
            )
            if not reached and not self.isolated:
                self._isolated_since = self._clock()
            expired = self.isolated and self._clock() - self._isolated_since > MAX_ISOLATED_S
            isolated = not reached and not expired
            if isolated != self.isolated:
                self.isolated = isolated
                log.warning(
                    "isolation changed",
                    step="probe_domains",
                    isolated=isolated,
                    tried=len(nodes) + len(upstreams),
                    expired=expired,
                )
                self._on_change(isolated)

    def _probe_targets(self) -> tuple[list[str], list[str]]:
        """Return addresses of nodes and of live upstreams in other domains, in random order."""
        nodes = [address for address, domain in self._peers().items() if domain != self._domain]
        upstreams = [
            entry.address
            for entry in self._directory.all()
            if entry.domain != self._domain and entry.state is UpstreamState.LIVE
        ]
        self._rng.shuffle(nodes)
        self._rng.shuffle(upstreams)
        return nodes[:MAX_PROBES], upstreams[:MAX_PROBES]

    async def _can_connect_to_any(self, targets: list[str]) -> bool:
        return any(await asyncio.gather(*(self._can_connect(address) for address in targets)))

    async def _can_connect(self, address: str) -> bool:
        """Return whether an address accepts a connection.

        A refused connection counts as unreachable, because a partition may refuse connections.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*split_address(address))
        except (OSError, ValueError):
            return False
        writer.close()
        return True
