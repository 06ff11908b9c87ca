"""Relaying of the store's objects between nodes, so that only one node has to watch the store."""

import asyncio
import random
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import structlog
from result import Err

from ..documents import MALFORMED, to_count
from ..logs import to_whole_ms
from ..objects import FeedUpdate, ObjectFeed, StoredObject
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

# A node copies objects from a peer once the store has been unreachable for ``PULL_AFTER_S``
# seconds, and again every ``PULL_INTERVAL_S`` seconds.
PULL_AFTER_S = 0.4
PULL_INTERVAL_S = 0.4
# A copy that the coordinator has not sent this long after it was requested is requested again, in
# seconds.
COPY_TIMEOUT_S = 0.3


class ObjectRelay:
    """Relay that keeps object feeds up to date over links between nodes.

    The coordinator sends the changes it reads from the store to its members. While the store is
    unreachable, a node copies objects from other nodes.

    ``send_members`` sends a frame to all nodes that follow this node as the coordinator. ``leader``
    returns the link to the current coordinator, or None. ``peers`` returns the addresses of other
    nodes.
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
        self._relayed_prefixes: set[str] = set()
        self._copy_requested_at: dict[str, float] = {}
        self._rng = random.Random()
        for feed in feeds:
            feed.is_relayed = partial(self._is_relayed, feed)
            feed.on_version_update = partial(self._send_update, feed)

    def follow(self, link: PeerLink) -> None:
        """Follow a coordinator: request newer objects from it, then apply its changes."""
        for feed in self._feeds.values():
            self._request_copy(link, feed)

    def stop_following(self) -> None:
        """Read from the store itself again."""
        self._relayed_prefixes.clear()
        self._copy_requested_at.clear()

    @property
    def versions(self) -> dict[str, int]:
        """The versions of this node's copies, by prefix."""
        return {prefix: feed.version for prefix, feed in self._feeds.items()}

    def request_missing_changes(self, link: PeerLink, versions: Mapping[str, int]) -> None:
        """Request a copy of each prefix of which the coordinator has sent changes up to a version
        that this node does not have.
        """
        now = self._clock()
        for prefix, version in versions.items():
            feed = self._feeds.get(prefix)
            requested_at = self._copy_requested_at.get(prefix, float("-inf"))
            if feed is None or now - requested_at < COPY_TIMEOUT_S:
                continue
            is_missing_copy = requested_at > float("-inf")
            if is_missing_copy or feed.version < version:
                log.warning(
                    "changes missed",
                    step="relay_changes",
                    prefix=prefix,
                    version=feed.version,
                    missing=version,
                )
                self._request_copy(link, feed)

    def on_pull(self, link: PeerLink, body: Any) -> tuple[str, int] | None:
        """Respond to a node's request for the objects under a prefix.

        Return the prefix and the version of the copy that was sent, None if there is none.
        """
        try:
            feed, version = self._feeds[body["prefix"]], to_count(body.get("version", 0))
        except MALFORMED:
            link.send(COPY, None)
            return None
        link.send(COPY, encode_copy(_make_copy(feed, version)))
        return feed.prefix, feed.version

    def send_changes_since(self, link: PeerLink, prefix: str, version: int) -> None:
        """Send a further copy to a node that has a version, if there is a newer one."""
        feed = self._feeds[prefix]
        if feed.version > version:
            link.send(COPY, encode_copy(_make_copy(feed, version)))

    def on_changes(self, link: PeerLink, frame: Frame) -> None:
        """Apply changes that the coordinator relays; request a copy if earlier ones are missing."""
        decoded = decode_changes(frame.body)
        if isinstance(decoded, Err):
            log.warning("changes not used", step="decode_changes", detail=decoded.err_value.detail)
            return
        prefix, update = decoded.ok_value
        feed = self._feeds.get(prefix)
        if feed is not None and not feed.apply_relayed_update(update):
            self._request_copy(link, feed)

    def on_leader_copy(self, link: PeerLink, frame: Frame) -> None:
        """Apply the coordinator's copy, after which its changes keep the feed up to date."""
        copy = self._decode_frame(frame)
        feed = self._feeds.get(copy.prefix) if copy is not None else None
        if copy is None or feed is None:
            return
        if copy.version >= feed.version:
            objects = _all_objects(feed, copy)
            if objects is None:
                _send_pull(link, feed, 0)
                return
            update = FeedUpdate(True, copy.version, objects, (), copy.outage_ended_s_ago)
            feed.apply_relayed_update(update, copy.age_s)
        # A copy that arrives after the coordinator has lost the store is not followed by changes.
        if self._copy_requested_at.pop(copy.prefix, None) is not None:
            self._relayed_prefixes.add(copy.prefix)

    async def run(self) -> None:
        """Copy objects from peers while the store is unreachable, until cancelled."""
        while True:
            await asyncio.sleep(PULL_INTERVAL_S)
            unreachable = [
                feed for feed in self._feeds.values() if feed.unavailable_s >= PULL_AFTER_S
            ]
            addresses = self._peers()
            if unreachable and addresses:
                await self._pull(self._rng.choice(addresses), unreachable)

    def _is_relayed(self, feed: ObjectFeed) -> bool:
        return self._leader() is not None and feed.prefix in self._relayed_prefixes

    def _send_update(self, feed: ObjectFeed, update: FeedUpdate) -> None:
        self._send_members(CHANGES, encode_changes(feed.prefix, update))

    def _request_copy(self, link: PeerLink, feed: ObjectFeed) -> None:
        self._relayed_prefixes.discard(feed.prefix)
        self._copy_requested_at[feed.prefix] = self._clock()
        _send_pull(link, feed, feed.version)

    async def _pull(self, address: str, feeds: list[ObjectFeed]) -> None:
        received = asyncio.Event()
        link = PeerLink(
            lambda link, frame: self._on_peer_copy(link, frame, received),
            lambda _link: received.set(),
        )
        if not await connect_peer(link, address):
            return
        for feed in feeds:
            received.clear()
            _send_pull(link, feed, feed.version)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await received.wait()
            except TimeoutError:
                log.info("no copy from peer", step="pull_objects", peer=address)
                break
        link.close()

    def _on_peer_copy(self, link: PeerLink, frame: Frame, received: asyncio.Event) -> None:
        copy = self._decode_frame(frame)
        feed = self._feeds.get(copy.prefix) if copy is not None else None
        if copy is None or feed is None:
            received.set()
            return
        objects = _all_objects(feed, copy) if copy.version > feed.version else ()
        if objects is None:
            _send_pull(link, feed, 0)
            return
        received.set()
        if not feed.apply_peer_copy(copy.version, objects, copy.age_s, copy.outage_ended_s_ago):
            return
        log.info(
            "objects copied from peer",
            step="pull_objects",
            prefix=copy.prefix,
            version=copy.version,
            age_ms=to_whole_ms(copy.age_s),
        )

    def _decode_frame(self, frame: Frame) -> ObjectsCopy | None:
        if frame.kind != COPY or frame.body is None:
            return None
        decoded = decode_copy(frame.body)
        if isinstance(decoded, Err):
            log.warning("copy not used", step="decode_copy", detail=decoded.err_value.detail)
            return None
        return decoded.ok_value


def _send_pull(link: PeerLink, feed: ObjectFeed, version: int) -> None:
    """Request a copy of a feed's objects if the peer has a newer version than ``version``."""
    link.send(PULL, {"prefix": feed.prefix, "version": version})


def _make_copy(feed: ObjectFeed, version: int) -> ObjectsCopy:
    """Return the objects for a node that has the given version of all objects.

    Only objects that have changed since are sent whole: when a coordinator changes, hundreds of
    nodes ask its successor at once.
    """
    changed, unchanged = [], []
    if feed.version > version:
        for stored in feed.objects.values():
            if stored.version > version:
                changed.append(stored)
            else:
                unchanged.append(stored.key)
    return ObjectsCopy(
        feed.prefix,
        feed.version,
        feed.age_s,
        tuple(changed),
        tuple(unchanged),
        feed.outage_ended_s_ago,
    )


def _all_objects(feed: ObjectFeed, copy: ObjectsCopy) -> tuple[StoredObject, ...] | None:
    """Return all objects of a copy, None if one that has not changed is missing here."""
    if any(key not in feed.objects for key in copy.unchanged):
        return None
    return (*copy.objects, *(feed.objects[key] for key in copy.unchanged))
