"""Watches the upstreams: the host list, and each engine's status, load and cache events."""

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

# A leaving upstream must get no new work after 3 s. The host list lags by up to 1 s, and a poll
# may be missed once.
HOSTS_PERIOD_S = 0.7
STATUS_PERIOD_S = 0.5
EVENTS_PERIOD_S = 1.0
# One lost poll may be a slow engine; two in a row take it out of routing.
MISSES_BEFORE_GONE = 2
JITTER = 0.2
# A status request whose connection breaks proves nothing, because a crashing process may accept it
# before its listener closes. It is sent up to this many times, with a pause in seconds.
STATUS_TRIES = 3
STATUS_RETRY_S = 0.05

log = structlog.get_logger()


class UpstreamWatch:
    """Keeps the router's view of the upstreams up to date.

    ``on_leaving`` is called when the set of leaving upstreams changes. Leaving is learned from
    the host list, from an engine's own status and from peers, whichever comes first. ``on_seen``
    is called with those that this node saw leaving itself; what peers told is not passed on, or
    nodes would repeat it to each other without end.
    """

    def __init__(
        self,
        driver: RouterDriver,
        hosts: SharedHosts,
        client: HttpClient,
        metrics: Metrics,
        on_leaving: Callable[[frozenset[str]], None],
        on_seen: Callable[[frozenset[str]], None],
    ) -> None:
        self._driver = driver
        self._hosts = hosts
        self._client = client
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._on_seen = on_seen
        self._applied_leaving: frozenset[str] = frozenset()
        self._upstreams: dict[str, Upstream] = {}
        self._moved: dict[str, str] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._own_leaving: set[str] = set()
        self._drained: set[str] = set()
        self._misses: dict[str, int] = {}
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._announced: dict[str, dict[tuple[str, str], bool]] = {}
        self._resident: dict[str, frozenset[str]] = {}
        self._waiting: dict[str, list[asyncio.Future[None]]] = {}
        self._versions: dict[str, Counter[str]] = {}
        self.views: dict[str, EngineView] = {}

    @property
    def leaving(self) -> frozenset[str]:
        """The upstreams that get no new work."""
        return self._listed_leaving | self._own_leaving | self._drained

    def address_of(self, upstream: str) -> str:
        """Return ``ip:port`` of an upstream; the host list goes before the settings."""
        if upstream in self._moved:
            return self._moved[upstream]
        known = self._upstreams.get(upstream)
        return known.address if known else ""

    def state_of(self, upstream: str) -> UpstreamState:
        """Return whether an upstream is live, leaving or gone, as this node sees it."""
        if upstream in self.leaving:
            return UpstreamState.LEAVING
        gone = self._misses.get(upstream, 0) >= MISSES_BEFORE_GONE
        return UpstreamState.GONE if gone else UpstreamState.LIVE

    def update_deployment(self, deployment: Deployment) -> None:
        """Start to watch new engines and stop watching removed ones."""
        self._upstreams = dict(deployment.upstreams)
        engines = {upstream.name for upstream in deployment.engines}
        for name in set(self._pollers) - engines:
            self._pollers.pop(name).cancel()
            self._set_view(name, None)
            self._set_residency(name, (), UpstreamState.GONE)
        for name in sorted(engines - set(self._pollers)):
            self._pollers[name] = asyncio.ensure_future(self._poll_engine(name))

    async def wait_resident(self, name: str, upstream: str, timeout_s: float) -> bool:
        """Wait for a copy of ``name`` to appear anywhere; return whether ``upstream`` holds one.

        Copies held elsewhere from the start do not end the wait, since the router may have had
        a reason not to use them.
        """
        fut = asyncio.get_running_loop().create_future()
        waiting = self._waiting.setdefault(name, [])
        waiting.append(fut)
        try:
            async with asyncio.timeout(timeout_s):
                if upstream not in self.holders_of(name):
                    await fut
        except TimeoutError:
            pass
        finally:
            waiting.remove(fut)
            if not waiting:
                self._waiting.pop(name, None)
        return upstream in self.holders_of(name)

    def holders_of(self, name: str) -> frozenset[str]:
        """Return the upstreams that hold a model or adapter."""
        return frozenset(u for u, names in self._resident.items() if name in names)

    def set_drained(self, upstream: str) -> bool:
        """Give an upstream no new work on an operator's order; False for an unknown one."""
        if upstream not in self._upstreams:
            return False
        self._drained.add(upstream)
        self._apply_leaving()
        return True

    def learn_leaving(self, upstreams: tuple[str, ...]) -> None:
        """Take what a peer knows of leaving upstreams; the own poll corrects it."""
        self._own_leaving.update(upstreams)
        self._apply_leaving()

    def learn_residency(self, upstream: str, copies: tuple[ResidentCopy, ...]) -> None:
        """Take what the lease holder has just read from an engine, and which copies may serve."""
        self._announced[upstream] = {(c.name, c.version): c.serving for c in copies}
        if upstream in self._upstreams and self._misses.get(upstream, 0) == 0:
            self._set_residency(upstream, copies, self.state_of(upstream))

    def instance_of(self, upstream: str) -> str:
        """Return the instance that an upstream last reported, empty where none is known."""
        view = self.views.get(upstream)
        return view.instance if view is not None else ""

    async def is_running(self, upstream: str, instance: str) -> bool:
        """Read an upstream's status at once and return whether the same instance answers.

        An engine may have crashed and restarted before the status is read. An empty ``instance``
        matches any.
        """
        for _ in range(STATUS_TRIES):
            read = await read_engine_status(self._client, upstream, self.address_of(upstream))
            match read:
                case Ok(view) if instance and view.instance != instance:
                    self._note_view(view)
                    return False
                case Err(failure) if failure.step == "connect":
                    self._note_miss(upstream, MISSES_BEFORE_GONE)
                    return False
                case Err(failure) if failure.step != "timeout":
                    await asyncio.sleep(STATUS_RETRY_S)
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
                self._moved = {h.id: h.address for h in hosts if h.address}
                leaving = {h.id for h in hosts if h.state is HostState.LEAVING}
                listed = frozenset(leaving & set(self._upstreams))
                if listed - self._listed_leaving:
                    self._on_seen(listed - self._listed_leaving)
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
                    self._note_miss(upstream, MISSES_BEFORE_GONE if refused else 1)
                case Ok(view):
                    self._note_view(view)
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

    def _note_view(self, view: EngineView) -> None:
        self._misses[view.upstream] = 0
        self._set_view(view.upstream, view)
        known = view.upstream in self._own_leaving
        if view.leaving != known:
            if view.leaving:
                self._own_leaving.add(view.upstream)
                self._on_seen(frozenset({view.upstream}))
            else:
                self._own_leaving.discard(view.upstream)
            self._apply_leaving()
        copies = tuple(self._mark_serving(view.upstream, copy) for copy in view.copies)
        self._set_residency(view.upstream, copies, self.state_of(view.upstream))

    def _set_view(self, upstream: str, view: EngineView | None) -> None:
        """Replace or drop a view, and keep count of the versions of each name in all views.

        Without the count, each copy of each poll would be compared with every copy of the site.
        """
        before = self.views.pop(upstream, None)
        for copy in before.copies if before else ():
            versions = self._versions[copy.name]
            versions[copy.version] -= 1
            if not versions[copy.version]:
                del versions[copy.version]
            if not versions:
                del self._versions[copy.name]
        if view is not None:
            self.views[upstream] = view
            for copy in view.copies:
                self._versions.setdefault(copy.name, Counter())[copy.version] += 1

    def _mark_serving(self, upstream: str, copy: ResidentCopy) -> ResidentCopy:
        """Decide whether a copy seen by the own poll takes new requests.

        The lease holder's word counts. Until it has spoken, a second version of a name may be one
        that is not probed yet, so only names with one version are served.
        """
        serving = self._announced.get(upstream, {}).get((copy.name, copy.version))
        if serving is None:
            serving = len(self._versions.get(copy.name, ())) == 1
        return replace(copy, serving=serving)

    def _note_miss(self, upstream: str, weight: int) -> None:
        self._misses[upstream] = self._misses.get(upstream, 0) + weight
        if self._misses[upstream] >= MISSES_BEFORE_GONE:
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
        for name in names - self._resident.get(upstream, frozenset()):
            for fut in self._waiting.get(name, ()):
                if not fut.done():
                    fut.set_result(None)
        self._resident[upstream] = names
        now = time.monotonic()
        self._driver.apply(self._router.update_residency(upstream, copies, state, now))

    @property
    def _router(self) -> Router:
        return self._driver.router


def jitter(period_s: float) -> float:
    """Return the period with some randomness, so that nodes do not poll in step."""
    return period_s * random.uniform(1 - JITTER, 1 + JITTER)
