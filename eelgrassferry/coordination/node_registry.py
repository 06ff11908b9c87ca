"""The nodes of the system, as they register in the store."""

import asyncio
import json
from collections.abc import Callable

import structlog
from result import Err

from ..fleet import EntrySettings
from ..objects import FeedUpdate, MonitoredStore, ObjectFeed

__all__ = ["NodeRegistry"]

log = structlog.get_logger()

NODES_PREFIX = "nodes/"
RETRY_S = 0.5
# A node that was not on a link of the coordinator for this long is gone, in seconds, and how often
# that is looked at. Partitions of the present sites last up to 12 s, and end sooner mostly.
NODE_GONE_S = 8.0
GONE_CHECK_S = 1.0


class NodeRegistry:
    """Registers this node and knows the others.

    ``members`` returns the names of the nodes on this node's links while it coordinates, None
    while it does not.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: MonitoredStore,
        clock: Callable[[], float],
        members: Callable[[], set[str] | None],
    ) -> None:
        self.feed = ObjectFeed(store, NODES_PREFIX, self._take, clock)
        self._settings = settings
        self._store = store
        self._clock = clock
        self._members = members
        self._addresses: dict[str, str] = {}
        self._domains: dict[str, str] = {}
        self._heard: dict[str, float] = {}
        self._missing = asyncio.Event()
        self._missing.set()

    def __len__(self) -> int:
        return len(self._addresses)

    @property
    def own_key(self) -> str:
        """The key of this node's registration."""
        return NODES_PREFIX + self._settings.name

    @property
    def others(self) -> list[str]:
        """The names of the other nodes."""
        return [name for name in self._addresses if name != self._settings.name]

    def address(self, name: str) -> str:
        """Return a node's address, empty where it is not known."""
        return self._addresses.get(name, "")

    def domains(self) -> dict[str, str]:
        """Return the failure domain of each other node by its address."""
        return {self._addresses[name]: self._domains[name] for name in self.others}

    def peer_addresses(self) -> list[str]:
        """Return the addresses of the other nodes, or the seeds while none is known."""
        known = [self._addresses[name] for name in self.others]
        own = self._settings.peer_listen
        return known or [address for address in self._settings.seeds if address != own]

    async def run(self) -> None:
        """Register, follow the registrations and remove those of gone nodes, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register())
            group.create_task(self.feed.run())
            group.create_task(self._remove_gone())

    async def _register(self) -> None:
        """Write this node's address to the store, at the start and whenever it is missing."""
        entry = {"address": self._settings.peer_listen, "domain": self._settings.domain}
        value = json.dumps(entry).encode()
        while True:
            await self._missing.wait()
            if await self._write(value):
                self._missing.clear()
            else:
                await asyncio.sleep(RETRY_S)

    async def _write(self, value: bytes) -> bool:
        read = await self._store.get(self.own_key)
        if isinstance(read, Err):
            return False
        held = read.ok_value
        if held is not None and held.value == value:
            return True
        wrote = await self._store.put(self.own_key, value, held.version if held else 0)
        return not isinstance(wrote, Err)

    async def _remove_gone(self) -> None:
        """Remove the registrations of nodes that are gone for good, as the coordinator. A node that
        lives and reaches the store registers again.
        """
        while True:
            await asyncio.sleep(GONE_CHECK_S)
            members = self._members()
            if members is None:
                self._heard.clear()
                continue
            now = self._clock()
            for name in self.others:
                if name in members:
                    self._heard[name] = now
                elif now - self._heard.setdefault(name, now) > NODE_GONE_S:
                    await self._remove(name)

    async def _remove(self, name: str) -> None:
        stored = self.feed.objects.get(NODES_PREFIX + name)
        if stored is None:
            return
        res = await self._store.delete(stored.key, stored.version)
        removed = not isinstance(res, Err)
        log.info("registration removed", step="remove_node", peer=name, removed=removed)

    def _take(self, update: FeedUpdate) -> None:
        if update.complete:
            self._addresses.clear()
            self._domains.clear()
        for key in update.removed:
            self._addresses.pop(key.removeprefix(NODES_PREFIX), None)
            self._domains.pop(key.removeprefix(NODES_PREFIX), None)
        for stored in update.written:
            try:
                entry = json.loads(stored.value)
                address, domain = str(entry["address"]), str(entry["domain"])
            except (ValueError, KeyError, TypeError) as exc:
                log.warning("node entry not used", step="decode_node", detail=repr(exc))
                continue
            name = stored.key.removeprefix(NODES_PREFIX)
            self._addresses[name], self._domains[name] = address, domain
        if self._settings.name not in self._addresses:
            self._missing.set()
