"""Membership of the nodes, from the host list and from gossip."""

import asyncio

import structlog
from result import Err, Ok

from ..metrics import Metrics
from ..objects import HostState
from ..peers import Gossiper, HostEntry, Membership
from .shared_hosts import SharedHosts
from .upstream_watch import jitter

__all__ = ["NodeMembers"]

HOSTS_PERIOD_S = 2.0
# ``UpstreamWatch`` reads the list more often than this, so reads here are served from the cache.
HOSTS_MAX_AGE_S = 1.5
NODE_KIND = "node"

log = structlog.get_logger()


class NodeMembers:
    """Updates the membership from the host list and determines the owners of keys.

    For hosts of kind ``node``, the address in the host list is the one of the peer listener.
    """

    def __init__(
        self, name: str, domain: str, gossiper: Gossiper, hosts: SharedHosts, metrics: Metrics
    ) -> None:
        self._name = name
        self._domain = domain
        self._gossiper = gossiper
        self._hosts = hosts
        self._metrics = metrics

    @property
    def membership(self) -> Membership:
        """The membership that gossip maintains."""
        return self._gossiper.membership

    def live_names(self) -> tuple[str, ...]:
        """Return the names of the live nodes."""
        return tuple(entry.name for entry in self.membership.live())

    def owner_of(self, key: str) -> str:
        """Return the live node that owns a key; this node if no live node is known."""
        return self.membership.owner_of(key) or self._name

    def is_watcher(self) -> bool:
        """Return whether this node watches the object API for its failure domain."""
        return self.membership.owner_of("config-watch", domain=self._domain) == self._name

    async def run(self) -> None:
        """Poll the host list until cancelled."""
        while True:
            match await self._hosts.read(HOSTS_MAX_AGE_S):
                case Err(error):
                    self._metrics.count("hosts.read_failed")
                    log.debug("host list not read", step="hosts", peer=error.peer)
                case Ok(hosts):
                    self._gossiper.set_hosts(
                        HostEntry(
                            name=h.id,
                            address=h.address,
                            domain=h.domain,
                            leaving=h.state is HostState.LEAVING,
                        )
                        for h in hosts
                        if h.kind == NODE_KIND
                    )
            await asyncio.sleep(jitter(HOSTS_PERIOD_S))
