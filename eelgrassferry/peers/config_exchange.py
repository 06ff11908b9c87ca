"""Spreading of the configuration record between peers.

A node that gets a new revision offers it to the peers of its failure domain, and gossip carries
the revision that each node has in force. A node that learns of a greater revision pulls the record
from a peer that has it. The record is opaque here.
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
# A holder that is gone must not be asked for ever; what it had reaches the node through others.
MAX_PULL_FAILURES = 5

log = structlog.get_logger()


@message("peers.config_record")
@dataclass(frozen=True)
class ConfigRecord:
    """A revision with its content. Revision 0 with no content stands for none."""

    revision: int
    payload: bytes


@message("peers.config_offer")
@dataclass(frozen=True)
class ConfigOffer:
    """The sender has this revision."""

    revision: int


@message("peers.config_pull")
@dataclass(frozen=True)
class ConfigPull:
    """Asks for the newest record if it is newer than this revision."""

    newer_than: int


class ConfigHolder:
    """The newest record of this node. An older or equal revision never replaces it."""

    def __init__(self) -> None:
        self.record = ConfigRecord(0, b"")

    def take(self, record: ConfigRecord) -> bool:
        """Hold the record if it is newer; return whether it is."""
        if record.revision <= self.record.revision:
            return False
        self.record = record
        return True


class ConfigExchange:
    """Offers, pulls and serves records.

    ``accept(record)`` checks and puts in force a newer record; where it returns False the record
    is not held and not passed on. It is called in the order of growing revisions.

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
        self._pulling: asyncio.Task[None] | None = None
        self._wanted: dict[str, int] = {}
        mesh.handle(ConfigPull, self._serve)
        mesh.handle(ConfigOffer, lambda peer, offer: self._learn(peer.name, offer.revision))
        gossiper.on_change(ConfigRevision, lambda node, value: self._learn(node, value.revision))

    @property
    def record(self) -> ConfigRecord:
        """The newest accepted record; revision 0 where there is none."""
        return self._holder.record

    def put(self, record: ConfigRecord) -> bool:
        """Take a record from the object API or an operator, and offer it to the peers."""
        if record.revision <= self._holder.record.revision or not self._accept(record):
            return False
        self._holder.take(record)
        self._gossiper.set_revision(record.revision)
        domain = self._mesh.identity.domain
        for peer in self._mesh.peers:
            if peer.domain == domain:
                self._mesh.send(peer.name, ConfigOffer(record.revision))
        return True

    async def pull_newest(self, timeout_s: float = PULL_TIMEOUT_S) -> ConfigRecord:
        """Ask all linked peers, take the newest record, and return the one now held.

        A node calls this when it starts and the object API is down.
        """
        ask = ConfigPull(self.record.revision)
        names = [peer.name for peer in self._mesh.peers]
        answers = await asyncio.gather(*(self._mesh.request(n, ask, timeout_s) for n in names))
        records = [a.ok_value for a in answers if isinstance(a, Ok)]
        for record in sorted(
            (r for r in records if isinstance(r, ConfigRecord)), key=lambda r: -r.revision
        ):
            if self.put(record):
                break
        return self.record

    async def close(self) -> None:
        """Stop a pull in progress."""
        if self._pulling is not None:
            self._pulling.cancel()
            await asyncio.wait({self._pulling})

    def _serve(self, peer: Identity, pull: ConfigPull) -> ConfigRecord:
        held = self.record
        return held if held.revision > pull.newer_than else ConfigRecord(0, b"")

    def _learn(self, node: str, revision: int) -> None:
        """Note that a peer has a revision, and pull it if it is newer."""
        if revision <= self.record.revision:
            return
        self._wanted[node] = revision
        if self._pulling is None or self._pulling.done():
            self._pulling = asyncio.ensure_future(self._pull())

    async def _pull(self) -> None:
        """Pull until nothing newer is known of; a holder is left out after some failures."""
        failures: Counter[str] = Counter()
        backoff = Backoff(self._rng)
        while True:
            self._forget_old()
            if not self._wanted:
                return
            newest = max(self._wanted.values())
            holders = sorted(n for n, revision in self._wanted.items() if revision == newest)
            fewest = min(failures[name] for name in holders)
            node = self._rng.choice(self._near([n for n in holders if failures[n] == fewest]))
            ask = ConfigPull(self.record.revision)
            match await self._mesh.request(node, ask, PULL_TIMEOUT_S):
                case Ok(ConfigRecord() as record) if self.put(record):
                    backoff.reset()
                case Ok(ConfigRecord(revision)):
                    # The holder has nothing newer after all, or its record was not accepted.
                    log.warning("record not taken", step="pull", peer=node, revision=revision)
                    self._leave_out(node, newest)
                case _:
                    self._mesh.metrics.count("retried.config_pull")
                    failures[node] += 1
                    if failures[node] >= MAX_PULL_FAILURES:
                        self._leave_out(node, newest)
                    await asyncio.sleep(backoff.next_delay())

    def _leave_out(self, node: str, revision: int) -> None:
        """Forget that a node has a revision, but not a newer one it has told of meanwhile."""
        if self._wanted.get(node) == revision:
            del self._wanted[node]

    def _forget_old(self) -> None:
        held = self.record.revision
        self._wanted = {name: rev for name, rev in self._wanted.items() if rev > held}

    def _near(self, names: list[str]) -> list[str]:
        """Return the names within the own failure domain, or all where there are none."""
        domain = self._mesh.identity.domain
        local = {peer.name for peer in self._mesh.peers if peer.domain == domain}
        return [name for name in names if name in local] or names
