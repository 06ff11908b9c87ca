"""What an entry node is told about itself and its surroundings."""

from dataclasses import dataclass, field

__all__ = ["EntrySettings", "ServiceBounds"]


@dataclass(frozen=True)
class ServiceBounds:
    """Figures agreed with the users that the decisions have to keep. Times in seconds.

    ``order_handover_s`` is the least time between the orders of two holders to one upstream.
    Over any ``retry_window_s``, the repeats to a service are at most ``retry_ratio`` times its
    requests plus ``retry_slack``, over all nodes. In any ``cold_load_window_s``, at most
    ``cold_load_factor`` times the weight store's rate, plus three, loads may begin.
    """

    stop_grace_s: float = 8.0
    order_handover_s: float = 3.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 54.0
    cold_load_window_s: float = 5.0
    cold_load_factor: float = 1.1


@dataclass(frozen=True)
class EntrySettings:
    """Addresses are ``ip:port``. ``seeds`` are peer addresses that may be stale.

    ``first_start`` is true only when the whole system starts for the first time. ``cores`` is the
    processor time that this node has, in cores.
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
    bounds: ServiceBounds = field(default_factory=ServiceBounds)
