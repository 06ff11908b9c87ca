"""The control plane of a node: the lease of its planning area and the area's controller."""

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

__all__ = ["ControlPlane"]

PUBLISH_PERIOD_S = 0.05
HOSTS_PERIOD_S = 1.0
HOLDER_PERIOD_S = 1.0
# Unchanged upstreams are announced in turn, one per period, for nodes that have just started. Each
# announcement is a message to every peer, so its rate must not grow with the number of upstreams.
REPEAT_PERIOD_S = 0.5
# Maximum number of retired instance ids in a notice. Terms rarely end without a release, and the
# lease holder needs only the most recent ids.
MAX_RETIRED = 16

log = structlog.get_logger()


class ControlPlane:
    """Competes for the area's lease and, as its holder, decides which engine loads which model.

    A process whose term ended without a release continues under a new instance id and retires the
    old one: it guarantees the next holder that it sends nothing more under that id. Otherwise the
    next holder would have to count the last reservations of the old one forever on engines that
    ignore fencing tokens. ``retired_instances`` lists the retired ids, oldest first.

    While this node holds the lease, ``on_residency`` is called with an upstream and its copies when
    they change, and one unchanged upstream every ``REPEAT_PERIOD_S`` seconds. ``on_holder`` is
    called with the area and the epoch about every ``HOLDER_PERIOD_S`` seconds and at each renewal.
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
        self._instance_tasks: list[asyncio.Task[None]] = []
        self._closing = False
        self._lapsed = False
        self.retired_instances: tuple[str, ...] = ()
        self._generation = 0
        self._create_controller(instance)
        self._published: dict[str, tuple[ResidentCopy, ...]] = {}
        self._changes = ResidencyChanges()
        self._epoch = 0
        self._repeated_at = 0.0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_holder(self) -> bool:
        """Whether this node currently holds the area's lease."""
        return self._keeper.term() is not None

    def update_deployment(self, deployment: Deployment) -> None:
        """Apply a new deployment."""
        self._deployment = deployment
        self._controller.update_deployment(deployment, time.monotonic())
        self._driver.wake()

    def request_copy(self, name: str, urgent: bool) -> bool:
        """Record that requests wait for a copy of ``name``.

        Return False if this node does not hold the lease.
        """
        if not self.is_holder:
            return False
        self._controller.record_pending_demand(name, urgent, time.monotonic())
        self._driver.wake()
        return True

    def record_demand(self, demand: dict[str, tuple[int, int]]) -> None:
        """Record the numbers of urgent and patient requests of each name."""
        now = time.monotonic()
        for name, (urgent, patient) in demand.items():
            if urgent:
                self._controller.record_demand(name, True, now, urgent)
            if patient:
                self._controller.record_demand(name, False, now, patient)

    def on_stall(self, upstream: str, pause_s: float) -> None:
        """React to an upstream at which a node observed a stalled request."""
        self._controller.on_stall(upstream, pause_s, time.monotonic())
        self._driver.wake()

    def on_instances_retired(self, instances: tuple[str, ...]) -> None:
        """Record a peer's guarantee that it sends nothing more under these instance ids."""
        self._controller.on_instances_retired(instances, time.monotonic())
        self._driver.wake()

    def explain(self, name: str) -> Explanation:
        """Return the reasons for the current placement of a model or adapter."""
        return self._controller.explain(name, time.monotonic())

    def progress(self) -> Progress:
        """Return the controller's operations in progress."""
        return self._controller.progress(time.monotonic())

    def start(self) -> None:
        """Start competing for the lease."""
        self._start_controller()
        for work in (self._publish(), self._watch_hosts()):
            self._tasks.append(asyncio.ensure_future(work))

    async def close(self) -> None:
        """Release the lease and stop."""
        self._closing = True
        await self._keeper.release()
        tasks = [*self._instance_tasks, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=1.0)

    def _create_controller(self, instance: str) -> None:
        self._controller = AreaController(instance)
        self._driver = AreaDriver(
            self._controller, self._store, self._client, token=self._engine_token
        )
        machine = LeaseMachine(
            self._area, instance, self._lease_s, frozenset(self.retired_instances)
        )
        self._keeper = LeaseKeeper(self._store, machine, on_change=self._on_term_change)

    def _start_controller(self) -> None:
        works = (self._keeper.run(), self._driver.run())
        self._instance_tasks = [asyncio.ensure_future(work) for work in works]

    def _retire(self) -> None:
        """Retire the instance id whose term has lapsed and continue under a new one.

        From here on nothing is sent under the old id, except for orders that are already in
        transit: the old controller sends nothing without a term, and its driver's tasks are
        cancelled.
        """
        log.info("instance retired", step="retire", instance=self._controller.instance)
        self.retired_instances = (
            *self.retired_instances[-MAX_RETIRED + 1 :],
            self._controller.instance,
        )
        self._generation += 1
        self._lapsed = False
        for task in self._instance_tasks:
            task.cancel()
        estimator = self._controller.area.estimator
        self._create_controller(f"{self._instance}.{self._generation}")
        self._controller.area.estimator = estimator
        if self._deployment is not None:
            self._controller.update_deployment(self._deployment, time.monotonic())
        self._start_controller()

    def _on_term_change(self, term: LeaseTerm | None) -> None:
        self._controller.update_term(term, time.monotonic())
        # Only a flag is set, because the lease keeper cannot be replaced during its own callback.
        self._lapsed = term is None and (self._lapsed or self._epoch > 0)
        epoch = term.epoch if term is not None else 0
        # A renewal, every 3 s, keeps the epoch and must not announce every upstream again.
        if epoch != self._epoch:
            self._epoch = epoch
            self._published.clear()
            self._changes.clear()
        self._driver.wake()
        if term is not None:
            self._on_holder(self._area, term.epoch)

    def _changed_residency(self) -> dict[str, tuple[ResidentCopy, ...]]:
        """Return the copies of the upstreams that may have changed since the last call."""
        unroutable = self._controller.unroutable_copies()
        residents = {n: state.residents() for n, state in self._controller.area.upstreams.items()}
        return {
            name: tuple(
                ResidentCopy(r.item.name, r.item.version, Copy(name, r.item) not in unroutable)
                for r in residents[name]
                if not r.leaving
            )
            for name in self._changes.pop_changed(residents, unroutable)
        }

    async def _watch_hosts(self) -> None:
        while True:
            if self.is_holder:
                read = await self._hosts.read()
                if isinstance(read, Ok):
                    self._controller.on_hosts(read.ok_value, time.monotonic())
            await asyncio.sleep(HOSTS_PERIOD_S)

    def _announce(self, now: float) -> None:
        """Announce changed upstreams, and one other in turn every ``REPEAT_PERIOD_S`` seconds."""
        if now - self._repeated_at >= REPEAT_PERIOD_S:
            self._repeated_at = now
            self._published.pop(self._changes.mark_next_changed(), None)
        for upstream, copies in self._changed_residency().items():
            if self._published.get(upstream) != copies:
                self._published[upstream] = copies
                self._on_residency(upstream, copies)

    async def _publish(self) -> None:
        """Announce residency changes and the lease holder until cancelled.

        Residency changes are sent within ``PUBLISH_PERIOD_S`` and the holder every second. A lapsed
        term retires the instance first.
        """
        holder_announced_at = 0.0
        while True:
            if self._lapsed and not self._closing:
                self._retire()
            term = self._keeper.term()
            if term is not None:
                self._announce(time.monotonic())
                if time.monotonic() - holder_announced_at > HOLDER_PERIOD_S:
                    holder_announced_at = time.monotonic()
                    self._on_holder(self._area, term.epoch)
            await asyncio.sleep(PUBLISH_PERIOD_S)
