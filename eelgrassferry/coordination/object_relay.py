"""Passes the store's objects on between nodes, so that one node watches the store for all."""

import asyncio
import random
from collections.abc import Callable
from functools import partial

import structlog
from result import Err

from ..logs import to_whole_ms
from ..objects import FeedUpdate, ObjectFeed
from ..peers.frame import Frame
from .connect_peer import CONNECT_TIMEOUT_S, connect_peer
from .messages import (
    CHANGES,
    COPY,
    PULL,
    ObjectsCopy,
    decode_changes,
    decode_copy,
    encode_changes,
    encode_copy,
)
from .peer_link import PeerLink

__all__ = ["ObjectRelay"]

log = structlog.get_logger()

# A node copies from a peer once the store has been away for this long, and again at this pace, in
# seconds.
PULL_AFTER_S = 0.4
PULL_EVERY_S = 0.4


class ObjectRelay:
    """Keeps feeds up to date over links.

    ``send_members`` sends a frame to all nodes that follow this coordinator, ``leader`` returns the
    link to a coordinator that is heard, ``peers`` the addresses of other nodes.
    """

    def __init__(
        self,
        feeds: list[ObjectFeed],
        clock: Callable[[], float],
        send_members: Callable[[str, object], None],
        leader: Callable[[], PeerLink | None],
        peers: Callable[[], list[str]],
    ) -> None:
        self._feeds = {feed.prefix: feed for feed in feeds}
        self._clock = clock
        self._send_members = send_members
        self._leader = leader
        self._peers = peers
        self._relayed: set[str] = set()
        self._rng = random.Random()
        for feed in feeds:
            feed.is_relayed = partial(self._is_relayed, feed)
            feed.on_version_update = partial(self._relay, feed)

    def follow(self, link: PeerLink) -> None:
        """Follow a coordinator: ask for what this node lacks, then take its changes."""
        for feed in self._feeds.values():
            self._ask(link, feed)

    def stop_following(self) -> None:
        """Ask the store itself again."""
        self._relayed.clear()

    def answer_pull(self, link: PeerLink, body: object) -> None:
        """Answer a node that asks for the objects under a prefix."""
        feed = self._feeds.get(body.get("prefix", "")) if isinstance(body, dict) else None
        if feed is None:
            link.send(COPY, None)
            return
        newer = feed.version > int(body.get("version", 0))
        objects = tuple(feed.objects.values()) if newer else ()
        link.send(COPY, encode_copy(ObjectsCopy(feed.prefix, feed.version, feed.age_s, objects)))

    def take_changes(self, link: PeerLink, frame: Frame) -> None:
        """Take changes that the coordinator passes on."""
        decoded = decode_changes(frame.body)
        if isinstance(decoded, Err):
            log.warning("changes not used", step="decode_changes", detail=decoded.err_value.detail)
            return
        prefix, update = decoded.ok_value
        feed = self._feeds.get(prefix)
        if feed is not None and not feed.apply_relayed_update(update):
            self._ask(link, feed)

    def take_leader_copy(self, frame: Frame) -> None:
        """Take the coordinator's copy, after which its changes are enough."""
        copy = self._decode(frame)
        feed = self._feeds.get(copy.prefix) if copy is not None else None
        if copy is None or feed is None:
            return
        if copy.version >= feed.version:
            feed.apply_relayed_update(FeedUpdate(True, copy.version, copy.objects, ()), copy.age_s)
        self._relayed.add(copy.prefix)

    async def run(self) -> None:
        """Copy from peers while the store is away, until cancelled."""
        while True:
            await asyncio.sleep(PULL_EVERY_S)
            stale = [feed for feed in self._feeds.values() if feed.unavailable_s >= PULL_AFTER_S]
            addresses = self._peers()
            if stale and addresses:
                await self._pull(self._rng.choice(addresses), stale)

    def _is_relayed(self, feed: ObjectFeed) -> bool:
        return self._leader() is not None and feed.prefix in self._relayed

    def _relay(self, feed: ObjectFeed, update: FeedUpdate) -> None:
        self._send_members(CHANGES, encode_changes(feed.prefix, update))

    def _ask(self, link: PeerLink, feed: ObjectFeed) -> None:
        self._relayed.discard(feed.prefix)
        _send_pull(link, feed)

    async def _pull(self, address: str, feeds: list[ObjectFeed]) -> None:
        answered = asyncio.Event()
        link = PeerLink(
            lambda _link, frame: self._take_peer_copy(frame, answered),
            lambda _link: answered.set(),
        )
        if not await connect_peer(link, address):
            return
        for feed in feeds:
            answered.clear()
            _send_pull(link, feed)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await answered.wait()
            except TimeoutError:
                log.info("no copy from peer", step="pull_objects", peer=address)
                break
        link.close()

    def _take_peer_copy(self, frame: Frame, answered: asyncio.Event) -> None:
        answered.set()
        copy = self._decode(frame)
        feed = self._feeds.get(copy.prefix) if copy is not None else None
        if copy is None or feed is None:
            return
        if not feed.apply_peer_copy(copy.version, copy.objects, copy.age_s):
            return
        log.info(
            "objects copied from peer",
            step="pull_objects",
            prefix=copy.prefix,
            version=copy.version,
            age_ms=to_whole_ms(copy.age_s),
        )

    def _decode(self, frame: Frame) -> ObjectsCopy | None:
        if frame.kind != COPY or frame.body is None:
            return None
        decoded = decode_copy(frame.body)
        if isinstance(decoded, Err):
            log.warning("copy not used", step="decode_copy", detail=decoded.err_value.detail)
            return None
        return decoded.ok_value


def _send_pull(link: PeerLink, feed: ObjectFeed) -> None:
    """Ask a node for the objects of a feed that are newer than this node's."""
    link.send(PULL, {"prefix": feed.prefix, "version": feed.version})
