"""The asyncio driver of a lease state machine."""

import asyncio
import time
from collections.abc import Callable

import structlog

from ..objects import ObjectStore
from .actions import LeaseTerm, ReadLease, WriteLease
from .machine import LeaseMachine

__all__ = ["LeaseKeeper"]

# Pause between two ticks of the state machine, in seconds. An action is due only every few seconds.
STEP_S = 0.1

log = structlog.get_logger()


class LeaseKeeper:
    """Driver that runs a lease state machine against an object store.

    It competes for the lease until ``run`` is cancelled or the lease is released. ``on_change`` is
    called with each new term, and with None when the term ends.

    >>> # keeper = LeaseKeeper(store, LeaseMachine("uy-sur", "n1:a"))
    >>> # task = asyncio.create_task(keeper.run())
    """

    def __init__(
        self,
        store: ObjectStore,
        machine: LeaseMachine,
        clock: Callable[[], float] = time.monotonic,
        on_change: Callable[[LeaseTerm | None], None] | None = None,
    ) -> None:
        self._store = store
        self._machine = machine
        self._clock = clock
        self._on_change = on_change
        self._last_term: LeaseTerm | None = None
        self._released = asyncio.Event()

    def term(self) -> LeaseTerm | None:
        """Return the current term, or None while this process may not act as the holder."""
        return self._machine.term(self._clock())

    async def run(self) -> None:
        """Acquire and renew the lease; return once a release has been completed."""
        while not self._machine.is_release_complete():
            self._notify_change()
            actions = self._machine.tick(self._clock())
            for action in actions:
                await self._perform(action)
            if not actions:
                await asyncio.sleep(STEP_S)
        self._notify_change()
        self._released.set()

    async def release(self, timeout_s: float = 2.0) -> None:
        """Stop acting as the holder and release the lease.

        ``term`` returns None from this call on. ``run`` writes the release; this method waits up to
        ``timeout_s`` seconds for it and logs a warning on timeout.
        """
        self._machine.stop(self._clock())
        self._notify_change()
        try:
            async with asyncio.timeout(timeout_s):
                await self._released.wait()
        except TimeoutError:
            log.warning("lease not released", step="release", peer=self._machine.key)

    async def _perform(self, action: ReadLease | WriteLease) -> None:
        match action:
            case ReadLease():
                read = await self._store.get(self._machine.key)
                self._machine.on_read(read, self._clock(), self._store.era)
            case WriteLease(value, expected):
                wrote = await self._store.put(self._machine.key, value, expected)
                self._machine.on_write(wrote, self._clock())

    def _notify_change(self) -> None:
        term = self.term()
        previous, self._last_term = self._last_term, term
        if (term and term.epoch) != (previous and previous.epoch):
            log.info("lease changed", lease=self._machine.key, epoch=term.epoch if term else None)
        if term != previous and self._on_change is not None:
            self._on_change(term)
