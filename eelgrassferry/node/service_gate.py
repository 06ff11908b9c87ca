"""The asyncio side of the pools of plain services."""

import asyncio
import time
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from dataclasses import dataclass

from result import Err, Ok, Result

from ..settings import Deployment, Service
from .service_pool import Granted, PoolRefusal, ServicePool, Waiting

__all__ = ["ServiceGate", "Slot"]

TICK_S = 0.05


@dataclass
class Slot:
    """A place at an upstream. The holder sets ``refused`` where no connection was accepted."""

    name: str
    refused: bool = False


class ServiceGate:
    """Lets calls through to the upstreams of services, urgent ones first."""

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._pools: dict[str, ServicePool] = {}
        self._waiters: dict[str, asyncio.Future[str]] = {}
        self._deployment: Deployment | None = None
        self._leaving: frozenset[str] = frozenset()

    def update_deployment(self, deployment: Deployment) -> None:
        """Make pools for new or changed services; unchanged ones keep their state."""
        before = self._deployment.services if self._deployment else {}
        home = [u.name for u in deployment.upstreams.values() if u.domain == self._domain]
        for name, service in deployment.services.items():
            if before.get(name) != service or name not in self._pools:
                self._pools[name] = ServicePool(name, service.upstreams, home)
                self._pools[name].set_leaving(self._leaving)
        self._deployment = deployment

    def set_leaving(self, leaving: Collection[str]) -> None:
        """Set the upstreams that get no new calls."""
        self._leaving = frozenset(leaving)
        for pool in self._pools.values():
            pool.set_leaving(self._leaving)

    @asynccontextmanager
    async def enter(
        self, service: Service, call_id: str, urgent: bool, avoid: Collection[str]
    ) -> AsyncIterator[Result[Slot, PoolRefusal]]:
        """Wait for a place at an upstream, at most the service's timeout."""
        pool = self._pools[service.name]
        asked = pool.ask(call_id, urgent=urgent, avoid=tuple(avoid), now=time.monotonic())
        match asked:
            case Err():
                yield asked
                return
            case Ok(Granted(upstream=upstream)):
                slot = Slot(upstream)
            case Ok(Waiting()):
                waited = await self._wait(pool, call_id, service.timeout_s)
                if waited is None:
                    detail = f"no upstream of {service.name} had room in time"
                    yield Err(PoolRefusal("deadline_unreachable", detail))
                    return
                slot = Slot(waited)
        try:
            yield Ok(slot)
        finally:
            pool.finish(slot.name, time.monotonic(), refused=slot.refused)
            self._advance(pool)

    async def run(self) -> None:
        """Retry upstreams that were down, until cancelled."""
        while True:
            for pool in self._pools.values():
                self._advance(pool)
            await asyncio.sleep(TICK_S)

    async def _wait(self, pool: ServicePool, call_id: str, timeout_s: float) -> str | None:
        fut = asyncio.get_running_loop().create_future()
        self._waiters[call_id] = fut
        taken: str | None = None
        try:
            async with asyncio.timeout(timeout_s):
                taken = await asyncio.shield(fut)
        except TimeoutError:
            pass
        finally:
            pool.leave(call_id)
            del self._waiters[call_id]
            # A place granted in the very step in which the wait ended is given back.
            if taken is None and fut.done():
                pool.finish(fut.result(), time.monotonic())
        return taken

    def _advance(self, pool: ServicePool) -> None:
        for granted in pool.advance(time.monotonic()):
            fut = self._waiters.get(granted.call_id)
            if fut is None or fut.done():
                pool.finish(granted.upstream, time.monotonic())
            else:
                fut.set_result(granted.upstream)
