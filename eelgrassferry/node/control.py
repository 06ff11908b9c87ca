"""The control duties of a node: the lease of its planning area and the area's controller."""

import asyncio
import time
from collections.abc import Callable

import structlog
from result import Ok

from ..http import HttpClient
from ..leases import LeaseKeeper, LeaseMachine, LeaseTerm
from ..objects import ObjectStore
from ..placement import AreaController, AreaDriver, Copy, Explanation, Progress
from ..routing import ResidentCopy
from ..settings import Deployment
from .residency_changes import ResidencyChanges
from .shared_hosts import SharedHosts

__all__ = ["Control"]

PUBLISH_PERIOD_S = 0.05
HOSTS_PERIOD_S = 1.0
HOLDER_PERIOD_S = 1.0
# A node that has just started hears of an unchanged upstream when its turn comes. Each turn is a
# message to every peer, so the rate does not grow with the number of upstreams.
REPEAT_PERIOD_S = 0.5
# Terms that ended without a release are rare; a holder asks about the last ones only.
MAX_RETIRED = 16

log = structlog.get_logger()


class Control:
    """Competes for the area's lease and, as its holder, decides what is loaded where.

    A process whose term has ended without a release goes on under a new instance id, so that it
    can promise the next holder that nothing more is sent under the old one. Without the promise
    the next holder would count the old one's last reservations for ever on engines that ignore
    fencing numbers. ``retired`` lists the ids given up.

    ``on_residency`` is called with an engine's copies when they have changed, ``on_holder`` with
    the epoch now and then while this node holds the lease.
    """

    def __init__(
        self,
        area: str,
        instance: str,
        lease_s: float,
        store: ObjectStore,
        hosts: SharedHosts,
        client: HttpClient,
        engine_token: str,
        on_residency: Callable[[str, tuple[ResidentCopy, ...]], None],
        on_holder: Callable[[str, int], None],
    ) -> None:
        self._area = area
        self._hosts = hosts
        self._on_residency = on_residency
        self._on_holder = on_holder
        self._instance = instance
        self._lease_s = lease_s
        self._store = store
        self._client = client
        self._engine_token = engine_token
        self._deployment: Deployment | None = None
        self._actors: list[asyncio.Task[None]] = []
        self._closing = False
        self._lapsed = False
        self.retired: tuple[str, ...] = ()
        self._generation = 0
        self._make_actors(instance)
        self._published: dict[str, tuple[ResidentCopy, ...]] = {}
        self._changes = ResidencyChanges()
        self._epoch = 0
        self._repeated_at = 0.0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_holder(self) -> bool:
        """Whether this node may act for the area at this moment."""
        return self._keeper.term() is not None

    def update_deployment(self, deployment: Deployment) -> None:
        """Take a new deployment."""
        self._deployment = deployment
        self._controller.update_deployment(deployment, time.monotonic())
        self._shell.wake()

    def want(self, name: str, urgent: bool) -> bool:
        """Ask for a copy of ``name``; False where this node does not hold the lease."""
        if not self.is_holder:
            return False
        self._controller.record_pending_demand(name, urgent, time.monotonic())
        self._shell.wake()
        return True

    def note_demand(self, demand: dict[str, tuple[int, int]]) -> None:
        """Count urgent and patient requests by name."""
        now = time.monotonic()
        for name, (urgent, patient) in demand.items():
            if urgent:
                self._controller.record_demand(name, True, now, urgent)
            if patient:
                self._controller.record_demand(name, False, now, patient)

    def note_stall(self, upstream: str, pause_s: float) -> None:
        """Note an upstream at which a node saw no progress."""
        self._controller.on_stall(upstream, pause_s, time.monotonic())
        self._shell.wake()

    def note_retired(self, instances: tuple[str, ...]) -> None:
        """Take a peer's promise that nothing more is sent under these instance ids."""
        self._controller.on_instances_retired(instances, time.monotonic())
        self._shell.wake()

    def explain(self, name: str) -> Explanation:
        """Return why a model or adapter is loaded where it is."""
        return self._controller.explain(name, time.monotonic())

    def progress(self) -> Progress:
        """Return what is under way."""
        return self._controller.progress(time.monotonic())

    def start(self) -> None:
        """Start to compete for the lease and to act."""
        self._start_actors()
        for work in (self._publish(), self._watch_hosts()):
            self._tasks.append(asyncio.ensure_future(work))

    async def close(self) -> None:
        """Give the lease back and stop."""
        self._closing = True
        await self._keeper.release()
        tasks = [*self._actors, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=1.0)

    def _make_actors(self, instance: str) -> None:
        self._controller = AreaController(instance)
        self._shell = AreaDriver(
            self._controller, self._store, self._client, token=self._engine_token
        )
        machine = LeaseMachine(self._area, instance, self._lease_s, frozenset(self.retired))
        self._keeper = LeaseKeeper(self._store, machine, on_change=self._take_term)

    def _start_actors(self) -> None:
        works = (self._keeper.run(), self._shell.run())
        self._actors = [asyncio.ensure_future(work) for work in works]

    def _retire(self) -> None:
        """Give up the instance id under which a term has ended, and go on under a new one.

        The old controller refuses to send without a term, and its shell's tasks are cancelled, so
        the promise holds from here on but for orders that are in transit already.
        """
        log.info("instance retired", step="retire", instance=self._controller.instance)
        self.retired = (*self.retired[-MAX_RETIRED + 1 :], self._controller.instance)
        self._generation += 1
        self._lapsed = False
        for task in self._actors:
            task.cancel()
        estimator = self._controller.area.estimator
        self._make_actors(f"{self._instance}.{self._generation}")
        self._controller.area.estimator = estimator
        if self._deployment is not None:
            self._controller.update_deployment(self._deployment, time.monotonic())
        self._start_actors()

    def _take_term(self, term: LeaseTerm | None) -> None:
        self._controller.update_term(term, time.monotonic())
        # The keeper that calls this cannot be replaced from here.
        self._lapsed = term is None and (self._lapsed or self._epoch > 0)
        epoch = term.epoch if term is not None else 0
        # A renewal, every 3 s, keeps the epoch. It is no reason to announce every upstream again.
        if epoch != self._epoch:
            self._epoch = epoch
            self._published.clear()
            self._changes.clear()
        self._shell.wake()
        if term is not None:
            self._on_holder(self._area, term.epoch)

    def _residency(self) -> dict[str, tuple[ResidentCopy, ...]]:
        """Return the copies of the upstreams that may have changed since the last call."""
        held_back = self._controller.unroutable_copies()
        held = {name: state.residents() for name, state in self._controller.area.upstreams.items()}
        return {
            name: tuple(
                ResidentCopy(r.item.name, r.item.version, Copy(name, r.item) not in held_back)
                for r in held[name]
                if not r.leaving
            )
            for name in self._changes.take(held, held_back)
        }

    async def _watch_hosts(self) -> None:
        while True:
            if self.is_holder:
                read = await self._hosts.read()
                if isinstance(read, Ok):
                    self._controller.on_hosts(read.ok_value, time.monotonic())
            await asyncio.sleep(HOSTS_PERIOD_S)

    def _announce(self, now: float) -> None:
        """Tell what has changed, and one unchanged upstream every ``REPEAT_PERIOD_S`` in turn."""
        if now - self._repeated_at >= REPEAT_PERIOD_S:
            self._repeated_at = now
            self._published.pop(self._changes.repeat_next(), None)
        for upstream, copies in self._residency().items():
            if self._published.get(upstream) != copies:
                self._published[upstream] = copies
                self._on_residency(upstream, copies)

    async def _publish(self) -> None:
        """Tell changes of residency soon, and the holder's name every second."""
        told_at = 0.0
        while True:
            if self._lapsed and not self._closing:
                self._retire()
            term = self._keeper.term()
            if term is not None:
                self._announce(time.monotonic())
                if time.monotonic() - told_at > HOLDER_PERIOD_S:
                    told_at = time.monotonic()
                    self._on_holder(self._area, term.epoch)
            await asyncio.sleep(PUBLISH_PERIOD_S)
