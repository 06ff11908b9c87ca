"""Order in which the waiting requests of several tenants are sent."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Protocol, TypeVar

from ..fleet import FleetConfig, QuotaUnit

__all__ = ["FairShares", "WaitingRequest"]


class WaitingRequest(Protocol):
    """What the order depends on. A request of no tenant has an empty ``tenant``."""

    tenant: str
    service: str
    model: str
    adapter: str
    prompt_tokens: int
    max_output_tokens: int

    @property
    def priority(self) -> int:
        """Rank of the request; 0 is the most urgent."""

    @property
    def start_deadline(self) -> float:
        """Time by which the answer has to begin."""


Request = TypeVar("Request", bound=WaitingRequest)


@dataclass
class _Queue:
    """What each tenant has used since requests began to wait without a pause.

    ``used`` is the work sent, divided by the tenant's weight. ``floor`` is what the tenant whose
    request was sent last had used before: a tenant that has not sent requests for a while
    continues from there, so that idle tenants do not save up claims.
    """

    floor: float = 0.0
    used: dict[str, float] = field(default_factory=dict)

    def start(self, tenant: str) -> float:
        """Return what a tenant has used, at least the floor."""
        return max(self.floor, self.used.get(tenant, 0.0))


class FairShares:
    """Start-time fair queueing of the requests that wait for a service, by tenant.

    Of the requests with equal priority, that of the tenant which has used the least in proportion
    to its weight goes first. The weight is the rate of the tenant's quota, relative to the other
    tenants with the same unit, and 1 for a tenant without a quota. Only requests that are sent
    count, so that a tenant whose surplus is refused keeps its claim; and they count only while
    requests wait, so that a tenant may use what the others leave.

    Which requests are refused follows from the order, because requests are refused once they
    cannot be answered in time: these are the last ones, of the tenants that ask for more than
    their share.

    Without tenants in the configuration, nothing is reordered or recorded.
    """

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._queues: dict[tuple[str, int], _Queue] = {}

    def set_config(self, config: FleetConfig) -> None:
        """Replace the tenants and their weights."""
        self._weights = dict.fromkeys(config.tenants, 1.0)
        for unit in QuotaUnit:
            rates = {
                tenant.name: tenant.rate_per_s
                for tenant in config.tenants.values()
                if tenant.unit is unit and tenant.rate_per_s > 0.0
            }
            for name, rate in rates.items():
                self._weights[name] = rate * len(rates) / sum(rates.values())
        if not self._weights:
            self._queues.clear()

    def order(self, waiting: list[Request]) -> list[Request]:
        """Return the waiting requests in the order in which to send them.

        A request comes at the point at which its tenant's earlier requests have been sent.
        """
        if not self._weights:
            return waiting
        keys = {_queue_key(request) for request in waiting}
        self._queues = {key: self._queues.get(key) or _Queue() for key in keys}
        positions: dict[tuple[tuple[str, int], str], float] = {}
        ranked = []
        for request in sorted(waiting, key=attrgetter("start_deadline")):
            queue_key = _queue_key(request)
            key = (queue_key, request.tenant)
            start = positions.get(key)
            if start is None:
                start = self._queues[queue_key].start(request.tenant)
            positions[key] = start + self._charge(request)
            ranked.append((request.priority, start, request))
        # The sort is stable: equal requests stay in the order of their deadlines.
        ranked.sort(key=lambda entry: entry[:2])
        return [request for _, _, request in ranked]

    def must_wait(self, request: WaitingRequest, waiting: Sequence[WaitingRequest]) -> bool:
        """Return whether a new request has to let waiting requests of other tenants go first.

        Without this, the tenant that sends most often takes most of the capacity that becomes free
        between two rounds of dispatch.
        """
        queue = self._queues.get(_queue_key(request))
        if queue is None or not self._weights:
            return False
        start = queue.start(request.tenant)
        return any(
            other.tenant != request.tenant
            and _competes(other, request)
            and queue.start(other.tenant) < start
            for other in waiting
        )

    def record_sent(self, request: WaitingRequest) -> None:
        """Count a request that is sent, if requests wait for its service."""
        queue = self._queues.get(_queue_key(request))
        if queue is None:
            return
        queue.floor = queue.start(request.tenant)
        queue.used[request.tenant] = queue.floor + self._charge(request)

    def forget_idle(self, waiting: Iterable[WaitingRequest]) -> None:
        """Forget what was used where no request waits any more."""
        if self._queues:
            keys = {_queue_key(request) for request in waiting}
            self._queues = {key: queue for key, queue in self._queues.items() if key in keys}

    def _charge(self, request: WaitingRequest) -> float:
        """Return the work of a request, divided by the weight of its tenant."""
        tokens = request.prompt_tokens + request.max_output_tokens if request.model else 0
        return max(1, tokens) / self._weights.get(request.tenant, 1.0)


def _queue_key(request: WaitingRequest) -> tuple[str, int]:
    """Return the service and priority of a request: only equals compete for their turn."""
    return (request.service, request.priority)


def _competes(one: WaitingRequest, other: WaitingRequest) -> bool:
    """Return whether the same upstreams can run both requests, and neither is more urgent."""
    return (one.service, one.priority, one.model, one.adapter) == (
        other.service,
        other.priority,
        other.model,
        other.adapter,
    )
