"""The registry of nodes in the object store."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from result import Err, Ok, Result

from ..documents import MALFORMED, parse_json, to_number, to_text
from ..fleet import EntrySettings
from ..objects import FeedUpdate, MonitoredStore, ObjectFeed, StoredObject

__all__ = ["NodeRegistry"]

log = structlog.get_logger()

NODES_PREFIX = "nodes/"
# Pause after a failed registration, in seconds.
RETRY_S = 0.5
# The coordinator removes the registration of a node that has had no link to it for this long, and
# checks for such nodes at this interval, in seconds. Partitions at the current sites last up to
# 12 s, most of them less; a node whose registration was removed registers again.
REMOVE_AFTER_S = 8.0
REMOVE_CHECK_INTERVAL_S = 1.0


@dataclass(frozen=True)
class _Registration:
    """The address, failure domain and number of cores of a node."""

    address: str
    domain: str
    cores: float


UNREGISTERED = _Registration("", "", 0.0)


class NodeRegistry:
    """Registry of the addresses and failure domains of all nodes, including this one.

    Nodes whose registrations are missing after a restore of the store remain known, because they
    register again: the coordinator's promises have to come from all running nodes.

    ``members`` returns the names of the nodes that are linked to this node while it is the
    coordinator, and None while it is not.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: MonitoredStore,
        clock: Callable[[], float],
        members: Callable[[], set[str] | None],
    ) -> None:
        self.feed = ObjectFeed(store, NODES_PREFIX, self._apply_update, clock, deferrable=True)
        self.feed.is_usable = lambda stored: _decode_entry(stored).is_ok()
        self._settings = settings
        self._store = store
        self._clock = clock
        self._members = members
        self._nodes: dict[str, _Registration] = {}
        self._last_linked_at: dict[str, float] = {}
        self._has_written = False
        entry = {"address": settings.peer_listen, "domain": settings.domain}
        # The store returns values in this compact form, so that an unchanged entry is recognized.
        self._own_value = json.dumps(
            {**entry, "cores": settings.cores}, separators=(",", ":")
        ).encode()
        self._needs_registration = asyncio.Event()
        self._needs_registration.set()

    def __len__(self) -> int:
        return len(self._nodes)

    @property
    def is_listed(self) -> bool:
        """Whether the registry was read as a whole, from the store or from a peer."""
        return self.feed.version > 0

    @property
    def own_key(self) -> str:
        """The object key of this node's registration."""
        return NODES_PREFIX + self._settings.name

    @property
    def others(self) -> list[str]:
        """The names of the other nodes."""
        return [name for name in self._nodes if name != self._settings.name]

    def address(self, name: str) -> str:
        """Return the address of a node, or "" if it is not registered."""
        return self._nodes.get(name, UNREGISTERED).address

    async def find_address(self, name: str) -> str:
        """Return the address of a node, "" if there is none.

        The store is asked for a node that is not in the copy of the registry.
        """
        if name and name not in self._nodes:
            read = await self._store.get(NODES_PREFIX + name)
            if not isinstance(read, Err) and read.ok_value is not None:
                self._add_entry(read.ok_value)
        return self.address(name)

    def domain(self, name: str) -> str:
        """Return the failure domain of a node, or "" if it is not registered."""
        return self._nodes.get(name, UNREGISTERED).domain

    def cores(self, name: str) -> float:
        """Return the number of cores of a node, 0 if it is not known."""
        return self._nodes.get(name, UNREGISTERED).cores

    def domains(self) -> dict[str, str]:
        """Return a mapping from the address of each other node to its failure domain."""
        return {self._nodes[name].address: self._nodes[name].domain for name in self.others}

    def peer_addresses(self) -> list[str]:
        """Return the addresses of the other nodes, or of the seeds if no other is registered."""
        known = [self._nodes[name].address for name in self.others]
        own = self._settings.peer_listen
        return known or [address for address in self._settings.seeds if address != own]

    async def run(self) -> None:
        """Register this node, follow the registry and remove absent nodes, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register())
            group.create_task(self.feed.run())
            group.create_task(self._remove_absent_nodes())

    async def _register(self) -> None:
        """Write this node's entry to the store at startup and whenever it is missing."""
        while True:
            await self._needs_registration.wait()
            if await self._write(self._own_value):
                self._needs_registration.clear()
            else:
                await asyncio.sleep(RETRY_S)

    async def _write(self, value: bytes) -> bool:
        if self._settings.first_start and not self._has_written:
            self._has_written = True
            created = await self._store.put(self.own_key, value, 0)
            if not isinstance(created, Err):
                return True
        read = await self._store.get(self.own_key)
        if isinstance(read, Err):
            return False
        stored = read.ok_value
        if stored is not None and stored.value == value:
            return True
        written = await self._store.put(self.own_key, value, stored.version if stored else 0)
        return not isinstance(written, Err)

    async def _remove_absent_nodes(self) -> None:
        """While this node is the coordinator, remove the registrations of absent nodes.

        A node that is still running and reaches the store registers again.
        """
        while True:
            await asyncio.sleep(REMOVE_CHECK_INTERVAL_S)
            members = self._members()
            if members is None:
                self._last_linked_at.clear()
                continue
            now = self._clock()
            for name in self.others:
                if name in members:
                    self._last_linked_at[name] = now
                elif now - self._last_linked_at.setdefault(name, now) > REMOVE_AFTER_S:
                    await self._remove(name)

    async def _remove(self, name: str) -> None:
        stored = self.feed.objects.get(NODES_PREFIX + name)
        if stored is None:
            await self._forget_unregistered(name)
            return
        res = await self._store.delete(stored.key, stored.version)
        removed = not isinstance(res, Err)
        log.info("registration removed", step="remove_node", peer=name, removed=removed)

    async def _forget_unregistered(self, name: str) -> None:
        """Forget a node that has not registered again since the store was restored."""
        read = await self._store.get(NODES_PREFIX + name)
        if isinstance(read, Ok) and read.ok_value is None:
            self._nodes.pop(name, None)
            log.info("node forgotten", step="remove_node", peer=name)

    def _apply_update(self, update: FeedUpdate) -> None:
        if update.after_restore:
            own = self.feed.objects.get(self.own_key)
            if own is None or own.value != self._own_value:
                self._needs_registration.set()
        else:
            if update.complete:
                self._nodes.clear()
            for key in update.removed:
                self._nodes.pop(key.removeprefix(NODES_PREFIX), None)
        for stored in update.written:
            self._add_entry(stored)
        if self._settings.name not in self._nodes:
            self._needs_registration.set()

    def _add_entry(self, stored: StoredObject) -> None:
        match _decode_entry(stored):
            case Ok(node):
                self._nodes[stored.key.removeprefix(NODES_PREFIX)] = node
            case Err(detail):
                log.warning("node entry not used", step="decode_node", detail=detail)


def _decode_entry(stored: StoredObject) -> Result[_Registration, str]:
    """Decode the entry of a node, whose name is sent in messages and has to be encodable."""
    try:
        to_text(stored.key)
        entry = parse_json(stored.value)
        address, domain = to_text(entry["address"]), to_text(entry["domain"])
        return Ok(_Registration(address, domain, to_number(entry.get("cores", 0.0))))
    except MALFORMED as exc:
        return Err(repr(exc))
