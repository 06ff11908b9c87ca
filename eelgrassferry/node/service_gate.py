"""Asynchronous admission of calls to the upstreams of plain services."""

import asyncio
import time
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from dataclasses import dataclass

from result import Err, Ok, Result

from ..settings import Deployment, Service
from .service_pool import Granted, PoolRefusal, ServicePool, Waiting

__all__ = ["ServiceGate", "Slot"]

TICK_PERIOD_S = 0.05


@dataclass
class Slot:
    """A slot for one call at the upstream ``name``.

    The caller of ``enter`` sets ``refused`` if the upstream did not accept the connection.
    """

    name: str
    refused: bool = False


class ServiceGate:
    """Limits the calls in flight at the upstreams of services and admits urgent calls first."""

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._pools: dict[str, ServicePool] = {}
        self._waiters: dict[str, asyncio.Future[str]] = {}
        self._deployment: Deployment | None = None
        self._leaving: frozenset[str] = frozenset()

    def update_deployment(self, deployment: Deployment) -> None:
        """Create pools for new or changed services; unchanged services keep their pools."""
        before = self._deployment.services if self._deployment else {}
        local_upstreams = [
            u.name for u in deployment.upstreams.values() if u.domain == self._domain
        ]
        for name, service in deployment.services.items():
            if before.get(name) != service or name not in self._pools:
                self._pools[name] = ServicePool(name, service.upstreams, local_upstreams)
                self._pools[name].set_leaving(self._leaving)
        self._deployment = deployment

    def set_leaving(self, leaving: Collection[str]) -> None:
        """Set the upstreams that get no new calls."""
        self._leaving = frozenset(leaving)
        for pool in self._pools.values():
            pool.set_leaving(self._leaving)

    @asynccontextmanager
    async def enter(
        self, service: Service, call_id: str, urgent: bool, excluded: Collection[str]
    ) -> AsyncIterator[Result[Slot, PoolRefusal]]:
        """Wait for a slot at an upstream outside ``excluded``, at most the service's timeout.

        The slot is released on exit from the context.
        """
        pool = self._pools[service.name]
        admitted = pool.admit(
            call_id, urgent=urgent, excluded=tuple(excluded), now=time.monotonic()
        )
        match admitted:
            case Err():
                yield admitted
                return
            case Ok(Granted(upstream=upstream)):
                slot = Slot(upstream)
            case Ok(Waiting()):
                granted_upstream = await self._wait_for_slot(pool, call_id, service.timeout_s)
                if granted_upstream is None:
                    detail = f"no upstream of {service.name} had room in time"
                    yield Err(PoolRefusal("deadline_unreachable", detail))
                    return
                slot = Slot(granted_upstream)
        try:
            yield Ok(slot)
        finally:
            pool.finish(slot.name, time.monotonic(), refused=slot.refused)
            self._grant_waiting(pool)

    async def run(self) -> None:
        """Grant free slots periodically until cancelled.

        A waiting call may otherwise miss that an upstream that refused a connection can be tried
        again, because no call ends at that time.
        """
        while True:
            for pool in self._pools.values():
                self._grant_waiting(pool)
            await asyncio.sleep(TICK_PERIOD_S)

    async def _wait_for_slot(self, pool: ServicePool, call_id: str, timeout_s: float) -> str | None:
        fut = asyncio.get_running_loop().create_future()
        self._waiters[call_id] = fut
        upstream: str | None = None
        try:
            async with asyncio.timeout(timeout_s):
                upstream = await asyncio.shield(fut)
        except TimeoutError:
            pass
        finally:
            pool.cancel(call_id)
            del self._waiters[call_id]
            # A slot granted in the same event loop step as the timeout must be released.
            if upstream is None and fut.done():
                pool.finish(fut.result(), time.monotonic())
        return upstream

    def _grant_waiting(self, pool: ServicePool) -> None:
        for granted in pool.grant_waiting(time.monotonic()):
            fut = self._waiters.get(granted.call_id)
            if fut is None or fut.done():
                pool.finish(granted.upstream, time.monotonic())
            else:
                fut.set_result(granted.upstream)
