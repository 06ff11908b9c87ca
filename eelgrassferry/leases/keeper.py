"""The asyncio shell around a lease machine."""

import asyncio
import time
from collections.abc import Callable

import structlog

from ..objects import ObjectStore
from .machine import LeaseMachine, LeaseTerm, ReadLease, WriteLease

__all__ = ["LeaseKeeper"]

# The lease is looked at this often; an action is due every few seconds only.
STEP_S = 0.1

log = structlog.get_logger()


class LeaseKeeper:
    """Competes for a lease over an object store until it is cancelled or released.

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
        self._last: LeaseTerm | None = None
        self._released = asyncio.Event()

    def term(self) -> LeaseTerm | None:
        """Return the term if this process may act as the holder at this moment."""
        return self._machine.term(self._clock())

    async def run(self) -> None:
        """Read, take and renew the lease; return once a release has been completed."""
        while not self._machine.is_idle():
            self._notify()
            actions = self._machine.tick(self._clock())
            for action in actions:
                await self._perform(action)
            if not actions:
                await asyncio.sleep(STEP_S)
        self._notify()
        self._released.set()

    async def release(self, timeout_s: float = 2.0) -> None:
        """Stop acting as the holder and give the lease back, waiting up to ``timeout_s``.

        The machine refuses the term from this call on. ``run`` writes the release.
        """
        self._machine.stop(self._clock())
        self._notify()
        try:
            async with asyncio.timeout(timeout_s):
                await self._released.wait()
        except TimeoutError:
            log.warning("lease not released", step="release", peer=self._machine.key)

    async def _perform(self, action: ReadLease | WriteLease) -> None:
        match action:
            case ReadLease():
                read = await self._store.get(self._machine.key)
                self._machine.on_read(read, self._clock())
            case WriteLease(value, expected):
                wrote = await self._store.put(self._machine.key, value, expected)
                self._machine.on_write(wrote, self._clock())

    def _notify(self) -> None:
        term = self.term()
        before, self._last = self._last, term
        if (term and term.epoch) != (before and before.epoch):
            log.info("lease changed", lease=self._machine.key, epoch=term.epoch if term else None)
        if term != before and self._on_change is not None:
            self._on_change(term)
