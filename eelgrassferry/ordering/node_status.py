"""Status that each node sends to the coordinator."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..dispatch import CrashEvidence, ProcessNotice, SlownessSample, UpstreamLoad

__all__ = ["NodeStatus", "PendingDemand"]


@dataclass(frozen=True)
class PendingDemand:
    """Requests of one node that wait because no engine has their model or adapter.

    ``remaining_s`` is the least time for which one of these requests may still wait, in
    seconds.
    """

    service: str
    model: str
    adapter: str
    count: int
    remaining_s: float


@dataclass(frozen=True)
class NodeStatus:
    """Demand, load and observations of one node.

    ``arrivals`` maps (service, model) to the number of requests since the previous status and the
    seconds an engine needs to read their prompts. ``loads`` is the node's load by instance, and
    ``running`` counts its requests in flight by instance, model and adapter. ``used_adapters``
    lists the (instance, model, adapter) triples to which requests were sent since the previous
    status. ``declined_by`` lists the instances that refused a request because the model or adapter
    was not loaded there. ``suspicions`` maps instances to the weight of the evidence that they have
    failed. ``slowness_samples`` are samples of the prefill slowness of upstreams. ``crashes`` are
    the new observations on crashed upstreams, and ``notices`` what upstreams have newly said of
    themselves.
    """

    node: str
    arrivals: Mapping[tuple[str, str], tuple[int, float]] = field(default_factory=dict)
    pending_demand: tuple[PendingDemand, ...] = ()
    loads: Mapping[str, UpstreamLoad] = field(default_factory=dict)
    running: Mapping[tuple[str, str, str], int] = field(default_factory=dict)
    used_adapters: tuple[tuple[str, str, str], ...] = ()
    declined_by: tuple[str, ...] = ()
    suspicions: Mapping[str, int] = field(default_factory=dict)
    slowness_samples: tuple[SlownessSample, ...] = ()
    crashes: CrashEvidence = field(default_factory=CrashEvidence)
    notices: tuple[ProcessNotice, ...] = ()
