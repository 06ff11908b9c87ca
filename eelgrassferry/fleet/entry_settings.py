"""The settings of an entry node."""

from dataclasses import dataclass, field

__all__ = ["EntrySettings", "ServiceBounds"]


@dataclass(frozen=True)
class ServiceBounds:
    """Guarantees agreed with the users of the service. Times are in seconds.

    ``stop_grace_s`` is the time that a stopping node has for its requests in flight.
    ``order_handover_s`` is the minimum time between the orders of two successive lease holders to
    the same upstream. In any period of ``retry_window_s``, the retries to a service, summed over
    all nodes, are at most ``retry_ratio`` times its requests plus ``retry_slack``. In any period of
    ``cold_load_window_s``, at most ``cold_load_factor`` times the number of loads that the weight
    store's rate allows, plus three, may begin. In any period of ``quota_window_s``, the requests
    of a tenant that run, summed over all nodes, count at most ``1 + quota_over`` times what its
    quota allows, plus ``quota_slack`` units.
    """

    stop_grace_s: float = 8.0
    order_handover_s: float = 3.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 54.0
    cold_load_window_s: float = 5.0
    cold_load_factor: float = 1.1
    quota_window_s: float = 8.0
    quota_over: float = 0.1
    quota_slack: float = 0.0


@dataclass(frozen=True)
class EntrySettings:
    """The settings of one entry node. Addresses have the form ``ip:port``.

    ``domain`` is the node's failure domain, and ``seeds`` are peer addresses, which may be stale.
    ``first_start`` is true only if the whole system starts for the first time. ``cores`` is the
    processor time available to this node, in cores. ``memory_mb`` and ``max_fds`` are the memory
    and the descriptors that its process may use; 0 means that they are not limited.
    """

    name: str
    domain: str
    caller_listen: str
    ready_listen: str
    peer_listen: str
    object_store: str
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    cores: float = 1.0
    memory_mb: float = 0.0
    max_fds: float = 0.0
    bounds: ServiceBounds = field(default_factory=ServiceBounds)
