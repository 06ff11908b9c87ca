"""Finds out whether this node's failure domain is cut off from all others."""

import asyncio
import random
from collections.abc import Callable

import structlog

from ..fleet import UpstreamDirectory
from ..http import split_address
from ..routing import UpstreamState

__all__ = ["IsolationWatch"]

log = structlog.get_logger()

# Time between two looks, in seconds.
STEP_S = 0.2
# A connection within a region takes a few ms; the rest is for a busy machine.
CONNECT_TIMEOUT_S = 0.3
# Nodes, or upstreams, of other domains that are tried at once.
MAX_TARGETS = 3
# After this time a node counts itself as connected again, in seconds: if every domain were cut off
# from every other, no node would be ready otherwise.
MAX_ISOLATED_S = 20.0


class IsolationWatch:
    """Tries other domains while ``is_suspicious`` says that contact with them was lost.

    A node is isolated when it reaches neither a node nor an upstream of any other domain. Its
    callers are then better served by other domains, as long as the platform can send them there.
    """

    def __init__(
        self,
        domain: str,
        directory: UpstreamDirectory,
        peers: Callable[[], dict[str, str]],
        is_suspicious: Callable[[], bool],
        clock: Callable[[], float],
        on_change: Callable[[bool], None],
    ) -> None:
        self.isolated = False
        self._domain = domain
        self._directory = directory
        self._peers = peers
        self._is_suspicious = is_suspicious
        self._clock = clock
        self._on_change = on_change
        self._since = 0.0
        self._rng = random.Random()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            if not self.isolated and not self._is_suspicious():
                continue
            nodes, upstreams = self._targets()
            # Upstreams count new connections, so they are tried only if no node answers.
            reached = not nodes and not upstreams
            reached = (
                reached or await self._reaches_any(nodes) or await self._reaches_any(upstreams)
            )
            if not reached and not self.isolated:
                self._since = self._clock()
            expired = self.isolated and self._clock() - self._since > MAX_ISOLATED_S
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

    def _targets(self) -> tuple[list[str], list[str]]:
        """Return addresses in other domains: nodes, and upstreams that should accept."""
        nodes = [address for address, domain in self._peers().items() if domain != self._domain]
        upstreams = [
            entry.address
            for entry in self._directory.all()
            if entry.domain != self._domain and entry.state is UpstreamState.LIVE
        ]
        self._rng.shuffle(nodes)
        self._rng.shuffle(upstreams)
        return nodes[:MAX_TARGETS], upstreams[:MAX_TARGETS]

    async def _reaches_any(self, targets: list[str]) -> bool:
        return any(await asyncio.gather(*(self._reaches(address) for address in targets)))

    async def _reaches(self, address: str) -> bool:
        """Whether something at an address accepts. A refusal proves nothing, because a partition
        may refuse connections.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*split_address(address))
        except (OSError, ValueError):
            return False
        writer.close()
        return True
