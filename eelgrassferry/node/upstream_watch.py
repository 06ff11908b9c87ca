"""Polls the host list and each engine's status, load and cache events."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import structlog
from result import Err, Ok

from ..http import HttpClient
from ..metrics import Metrics
from ..objects import HostState
from ..routing import ResidentCopy, Router, UpstreamState
from ..settings import Deployment, Upstream
from .engine_poll import EngineView, read_engine_events, read_engine_status
from .router_driver import RouterDriver
from .shared_hosts import SharedHosts

__all__ = ["UpstreamWatch"]

# A leaving upstream must get no new work after 3 s, although the host list lags by up to 1 s and
# one poll may fail.
HOSTS_PERIOD_S = 0.7
STATUS_PERIOD_S = 0.5
EVENTS_PERIOD_S = 1.0
# One missed poll may be a slow engine; two in a row remove the engine from routing. A refused
# connection counts as both.
MISSES_BEFORE_GONE = 2
JITTER_FRACTION = 0.2
# A status request whose connection breaks does not show whether the engine runs, because a
# crashing process may accept a connection before its listener closes. Such a request is repeated.
STATUS_ATTEMPTS = 3
STATUS_RETRY_DELAY_S = 0.05

log = structlog.get_logger()


class UpstreamWatch:
    """Keeps the router's view of the upstreams up to date.

    An upstream is leaving if the host list, the engine's status or a peer reports it, or if an
    operator drains it. ``on_leaving`` is called with the set of leaving upstreams when it changes.
    ``on_leaving_observed`` is called with the upstreams that this node itself observed leaving.
    Reports from peers are excluded, because nodes would otherwise repeat them to each other
    endlessly.
    """

    def __init__(
        self,
        driver: RouterDriver,
        hosts: SharedHosts,
        client: HttpClient,
        metrics: Metrics,
        on_leaving: Callable[[frozenset[str]], None],
        on_leaving_observed: Callable[[frozenset[str]], None],
    ) -> None:
        self._driver = driver
        self._hosts = hosts
        self._client = client
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._on_leaving_observed = on_leaving_observed
        self._applied_leaving: frozenset[str] = frozenset()
        self._upstreams: dict[str, Upstream] = {}
        self._listed_addresses: dict[str, str] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._reported_leaving: set[str] = set()
        self._drained: set[str] = set()
        self._missed_polls: dict[str, int] = {}
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._announced_serving: dict[str, dict[tuple[str, str], bool]] = {}
        self._resident_names: dict[str, frozenset[str]] = {}
        self._residency_waiters: dict[str, list[asyncio.Future[None]]] = {}
        self._version_counts: dict[str, Counter[str]] = {}
        self.views: dict[str, EngineView] = {}

    @property
    def leaving(self) -> frozenset[str]:
        """The leaving upstreams, which get no new work."""
        return self._listed_leaving | self._reported_leaving | self._drained

    def address_of(self, upstream: str) -> str:
        """Return ``ip:port`` of an upstream, empty if it is unknown.

        An address in the host list overrides the one in the settings.
        """
        if upstream in self._listed_addresses:
            return self._listed_addresses[upstream]
        known = self._upstreams.get(upstream)
        return known.address if known else ""

    def state_of(self, upstream: str) -> UpstreamState:
        """Return whether this node considers an upstream live, leaving or gone."""
        if upstream in self.leaving:
            return UpstreamState.LEAVING
        gone = self._missed_polls.get(upstream, 0) >= MISSES_BEFORE_GONE
        return UpstreamState.GONE if gone else UpstreamState.LIVE

    def update_deployment(self, deployment: Deployment) -> None:
        """Start polling new engines and stop polling removed ones."""
        self._upstreams = dict(deployment.upstreams)
        engines = {upstream.name for upstream in deployment.engines}
        for name in set(self._pollers) - engines:
            self._pollers.pop(name).cancel()
            self._set_view(name, None)
            self._set_residency(name, (), UpstreamState.GONE)
        for name in sorted(engines - set(self._pollers)):
            self._pollers[name] = asyncio.ensure_future(self._poll_engine(name))

    async def wait_resident(self, name: str, upstream: str, timeout_s: float) -> bool:
        """Wait for a new copy of ``name`` and return whether it is resident on ``upstream``.

        The wait ends when a copy appears on any upstream, or after ``timeout_s`` seconds. Copies
        that other upstreams already have do not end it, since the router may have had a reason not
        to use them.
        """
        fut = asyncio.get_running_loop().create_future()
        waiting = self._residency_waiters.setdefault(name, [])
        waiting.append(fut)
        try:
            async with asyncio.timeout(timeout_s):
                if upstream not in self.upstreams_with(name):
                    await fut
        except TimeoutError:
            pass
        finally:
            waiting.remove(fut)
            if not waiting:
                self._residency_waiters.pop(name, None)
        return upstream in self.upstreams_with(name)

    def upstreams_with(self, name: str) -> frozenset[str]:
        """Return the upstreams on which a model or adapter is resident."""
        return frozenset(u for u, names in self._resident_names.items() if name in names)

    def set_drained(self, upstream: str) -> bool:
        """Drain an upstream at an operator's request.

        Return False if the upstream is unknown.
        """
        if upstream not in self._upstreams:
            return False
        self._drained.add(upstream)
        self._apply_leaving()
        return True

    def apply_peer_leaving(self, upstreams: tuple[str, ...]) -> None:
        """Mark upstreams as leaving on a peer's report.

        The next status that this node reads from an engine overrides the report.
        """
        self._reported_leaving.update(upstreams)
        self._apply_leaving()

    def apply_announced_residency(self, upstream: str, copies: tuple[ResidentCopy, ...]) -> None:
        """Set an engine's residency and the copies that may serve, as the lease holder read them.

        An engine whose last poll failed keeps the residency that this node determined.
        """
        self._announced_serving[upstream] = {(c.name, c.version): c.serving for c in copies}
        if upstream in self._upstreams and self._missed_polls.get(upstream, 0) == 0:
            self._set_residency(upstream, copies, self.state_of(upstream))

    def instance_of(self, upstream: str) -> str:
        """Return the instance that an upstream last reported, empty if none is known."""
        view = self.views.get(upstream)
        return view.instance if view is not None else ""

    async def is_running(self, upstream: str, instance: str) -> bool:
        """Read an upstream's status now and return whether ``instance`` is still running.

        An engine that crashed and restarted before the status is read reports another instance. An
        empty ``instance`` matches any. A timeout, or a connection that breaks at every attempt,
        counts as running.
        """
        for _ in range(STATUS_ATTEMPTS):
            read = await read_engine_status(self._client, upstream, self.address_of(upstream))
            match read:
                case Ok(view) if instance and view.instance != instance:
                    self._record_view(view)
                    return False
                case Err(failure) if failure.step == "connect":
                    self._record_miss(upstream, MISSES_BEFORE_GONE)
                    return False
                case Err(failure) if failure.step != "timeout":
                    await asyncio.sleep(STATUS_RETRY_DELAY_S)
                case _:
                    return True
        return True

    async def run(self) -> None:
        """Poll the host list until cancelled."""
        try:
            while True:
                await self._poll_hosts()
                await asyncio.sleep(jitter(HOSTS_PERIOD_S))
        finally:
            for task in self._pollers.values():
                task.cancel()

    async def _poll_hosts(self) -> None:
        match await self._hosts.read():
            case Err(error):
                self._metrics.count("hosts.read_failed")
                log.debug("host list not read", step="hosts", peer=error.peer)
            case Ok(hosts):
                self._listed_addresses = {h.id: h.address for h in hosts if h.address}
                leaving = {h.id for h in hosts if h.state is HostState.LEAVING}
                listed = frozenset(leaving & set(self._upstreams))
                if listed - self._listed_leaving:
                    self._on_leaving_observed(listed - self._listed_leaving)
                self._listed_leaving = listed
                self._apply_leaving()

    async def _poll_engine(self, upstream: str) -> None:
        after, events_at = 0, 0.0
        while True:
            address = self.address_of(upstream)
            status = await read_engine_status(self._client, upstream, address)
            match status:
                case Err():
                    refused = status.err_value.step == "connect"
                    self._record_miss(upstream, MISSES_BEFORE_GONE if refused else 1)
                case Ok(view):
                    self._record_view(view)
            if isinstance(status, Ok):
                load = status.ok_value.load
                self._driver.apply(self._router.update_load(load, time.monotonic()))
                if time.monotonic() - events_at > EVENTS_PERIOD_S:
                    after = await self._poll_events(upstream, address, after)
                    events_at = time.monotonic()
            await asyncio.sleep(jitter(STATUS_PERIOD_S))

    async def _poll_events(self, upstream: str, address: str, after: int) -> int:
        read = await read_engine_events(self._client, address, after)
        if isinstance(read, Err) or not read.ok_value:
            return after
        events = read.ok_value
        self._driver.apply(self._router.update_cache_events(upstream, events, time.monotonic()))
        return max(after, *(event.number for event in events))

    def _record_view(self, view: EngineView) -> None:
        self._missed_polls[view.upstream] = 0
        self._set_view(view.upstream, view)
        was_leaving = view.upstream in self._reported_leaving
        if view.leaving != was_leaving:
            if view.leaving:
                self._reported_leaving.add(view.upstream)
                self._on_leaving_observed(frozenset({view.upstream}))
            else:
                self._reported_leaving.discard(view.upstream)
            self._apply_leaving()
        copies = tuple(self._with_serving_flag(view.upstream, copy) for copy in view.copies)
        self._set_residency(view.upstream, copies, self.state_of(view.upstream))

    def _set_view(self, upstream: str, view: EngineView | None) -> None:
        """Replace or remove a view and update the number of copies of each version of each name.

        Without these counts, each poll would compare each of its copies with every copy of the
        site.
        """
        before = self.views.pop(upstream, None)
        for copy in before.copies if before else ():
            versions = self._version_counts[copy.name]
            versions[copy.version] -= 1
            if not versions[copy.version]:
                del versions[copy.version]
            if not versions:
                del self._version_counts[copy.name]
        if view is not None:
            self.views[upstream] = view
            for copy in view.copies:
                self._version_counts.setdefault(copy.name, Counter())[copy.version] += 1

    def _with_serving_flag(self, upstream: str, copy: ResidentCopy) -> ResidentCopy:
        """Return a copy read by this node's poll, marked whether it accepts new requests.

        The lease holder's announcement decides. Until it arrives, one of two versions of a name
        may not have been probed yet, so only names with a single version are served.
        """
        serving = self._announced_serving.get(upstream, {}).get((copy.name, copy.version))
        if serving is None:
            serving = len(self._version_counts.get(copy.name, ())) == 1
        return replace(copy, serving=serving)

    def _record_miss(self, upstream: str, weight: int) -> None:
        self._missed_polls[upstream] = self._missed_polls.get(upstream, 0) + weight
        if self._missed_polls[upstream] >= MISSES_BEFORE_GONE:
            self._set_view(upstream, None)
            self._set_residency(upstream, (), UpstreamState.GONE)

    def _apply_leaving(self) -> None:
        if self.leaving == self._applied_leaving:
            return
        self._applied_leaving = self.leaving
        for upstream in self.leaving & set(self._pollers):
            view = self.views.get(upstream)
            self._set_residency(upstream, view.copies if view else (), UpstreamState.LEAVING)
        self._on_leaving(self.leaving)

    def _set_residency(
        self, upstream: str, copies: tuple[ResidentCopy, ...], state: UpstreamState
    ) -> None:
        names = frozenset(copy.name for copy in copies)
        for name in names - self._resident_names.get(upstream, frozenset()):
            for fut in self._residency_waiters.get(name, ()):
                if not fut.done():
                    fut.set_result(None)
        self._resident_names[upstream] = names
        now = time.monotonic()
        self._driver.apply(self._router.update_residency(upstream, copies, state, now))

    @property
    def _router(self) -> Router:
        return self._driver.router


def jitter(period_s: float) -> float:
    """Return the period with random jitter, so that nodes do not poll at the same time."""
    return period_s * random.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
