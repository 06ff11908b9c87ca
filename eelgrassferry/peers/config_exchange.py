"""Distribution of the configuration record between peers.

A node that accepts a new revision offers it to the peers in its failure domain, and gossip
publishes the revision that each node has in force. A node that receives a greater revision number
than its own pulls the record from a peer that has it. The content of a record is opaque to this
module.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import structlog
from result import Ok

from .backoff import Backoff
from .gossiper import Gossiper
from .identity import Identity
from .mesh import PeerMesh
from .message import message
from .topics import ConfigRevision

__all__ = ["ConfigExchange", "ConfigHolder", "ConfigRecord"]

PULL_TIMEOUT_S = 2.0
# A peer that is no longer reachable is dropped as a source; other peers have its record as well.
MAX_PULL_FAILURES = 5

log = structlog.get_logger()


@message("peers.config_record")
@dataclass(frozen=True)
class ConfigRecord:
    """A configuration revision and its content; revision 0 with empty content means no record."""

    revision: int
    payload: bytes


@message("peers.config_offer")
@dataclass(frozen=True)
class ConfigOffer:
    """Announcement that the sender has a record of this revision."""

    revision: int


@message("peers.config_pull")
@dataclass(frozen=True)
class ConfigPull:
    """Request for the receiver's record, if that is newer than ``newer_than``."""

    newer_than: int


class ConfigHolder:
    """Newest configuration record of a node.

    A record is replaced only by one with a greater revision.
    """

    def __init__(self) -> None:
        self.record = ConfigRecord(0, b"")

    def replace_if_newer(self, record: ConfigRecord) -> bool:
        """Replace the stored record if ``record`` is newer; return whether it was replaced."""
        if record.revision <= self.record.revision:
            return False
        self.record = record
        return True


class ConfigExchange:
    """Exchange of configuration records with peers.

    ``accept(record)`` validates a newer record and puts it into force. If it returns False, the
    record is neither stored nor offered to peers. It is called with increasing revisions.

    >>> exchange = ConfigExchange(mesh, gossiper, accept=lambda record: True)
    >>> exchange.put(ConfigRecord(5, b"text"))
    True
    >>> await exchange.pull_newest()
    ConfigRecord(revision=5, payload=b'text')
    """

    def __init__(
        self,
        mesh: PeerMesh,
        gossiper: Gossiper,
        accept: Callable[[ConfigRecord], bool],
        *,
        rng: Random | None = None,
    ) -> None:
        self._mesh = mesh
        self._gossiper = gossiper
        self._accept = accept
        self._rng = rng or Random()
        self._holder = ConfigHolder()
        self._pull_task: asyncio.Task[None] | None = None
        self._newer_revisions: dict[str, int] = {}
        mesh.handle(ConfigPull, self._answer_pull)
        mesh.handle(
            ConfigOffer, lambda peer, offer: self._on_peer_revision(peer.name, offer.revision)
        )
        gossiper.on_change(
            ConfigRevision, lambda node, value: self._on_peer_revision(node, value.revision)
        )

    @property
    def record(self) -> ConfigRecord:
        """The newest accepted record; its revision is 0 if there is none."""
        return self._holder.record

    def put(self, record: ConfigRecord) -> bool:
        """Accept a newer record and offer it to the peers in this failure domain.

        Return False if the record is not newer than the stored one or was not accepted.
        """
        if record.revision <= self._holder.record.revision or not self._accept(record):
            return False
        self._holder.replace_if_newer(record)
        self._gossiper.set_revision(record.revision)
        domain = self._mesh.identity.domain
        for peer in self._mesh.peers:
            if peer.domain == domain:
                self._mesh.send(peer.name, ConfigOffer(record.revision))
        return True

    async def pull_newest(self, timeout_s: float = PULL_TIMEOUT_S) -> ConfigRecord:
        """Request the record of every linked peer, accept the newest and return the stored record.

        A starting node calls this when the object API is unavailable.
        """
        pull = ConfigPull(self.record.revision)
        names = [peer.name for peer in self._mesh.peers]
        answers = await asyncio.gather(*(self._mesh.request(n, pull, timeout_s) for n in names))
        records = [a.ok_value for a in answers if isinstance(a, Ok)]
        for record in sorted(
            (r for r in records if isinstance(r, ConfigRecord)), key=lambda r: -r.revision
        ):
            if self.put(record):
                break
        return self.record

    async def close(self) -> None:
        """Cancel a pull in progress."""
        if self._pull_task is not None:
            self._pull_task.cancel()
            await asyncio.wait({self._pull_task})

    def _answer_pull(self, peer: Identity, pull: ConfigPull) -> ConfigRecord:
        record = self.record
        return record if record.revision > pull.newer_than else ConfigRecord(0, b"")

    def _on_peer_revision(self, node: str, revision: int) -> None:
        """Start a pull if a peer has a newer revision than this node."""
        if revision <= self.record.revision:
            return
        self._newer_revisions[node] = revision
        if self._pull_task is None or self._pull_task.done():
            self._pull_task = asyncio.ensure_future(self._pull_newer())

    async def _pull_newer(self) -> None:
        """Pull records until no peer is known to have a newer one.

        A peer is no longer used as a source after ``MAX_PULL_FAILURES`` failed requests.
        """
        failures: Counter[str] = Counter()
        backoff = Backoff(self._rng)
        while True:
            self._drop_outdated()
            if not self._newer_revisions:
                return
            newest = max(self._newer_revisions.values())
            sources = sorted(
                n for n, revision in self._newer_revisions.items() if revision == newest
            )
            fewest = min(failures[name] for name in sources)
            node = self._rng.choice(
                self._prefer_local([n for n in sources if failures[n] == fewest])
            )
            pull = ConfigPull(self.record.revision)
            match await self._mesh.request(node, pull, PULL_TIMEOUT_S):
                case Ok(ConfigRecord() as record) if self.put(record):
                    backoff.reset()
                case Ok(ConfigRecord(revision)):
                    # The peer has no newer record, or its record was not accepted.
                    log.warning(
                        "configuration record rejected", step="pull", peer=node, revision=revision
                    )
                    self._drop_source(node, newest)
                case _:
                    self._mesh.metrics.count("retried.config_pull")
                    failures[node] += 1
                    if failures[node] >= MAX_PULL_FAILURES:
                        self._drop_source(node, newest)
                    await asyncio.sleep(backoff.next_delay())

    def _drop_source(self, node: str, revision: int) -> None:
        """Remove a node as a source of a revision, unless it has since announced a newer one."""
        if self._newer_revisions.get(node) == revision:
            del self._newer_revisions[node]

    def _drop_outdated(self) -> None:
        own_revision = self.record.revision
        self._newer_revisions = {
            name: rev for name, rev in self._newer_revisions.items() if rev > own_revision
        }

    def _prefer_local(self, names: list[str]) -> list[str]:
        """Return the names in this node's failure domain, or all names if there are none."""
        domain = self._mesh.identity.domain
        local = {peer.name for peer in self._mesh.peers if peer.domain == domain}
        return [name for name in names if name in local] or names
