"""Messages between nodes and the encoding of their bodies."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from ..dispatch import (
    CoordinatorResidency,
    CrashEvidence,
    ProcessNotice,
    SlownessFactors,
    SlownessSample,
    UpstreamLoad,
)
from ..documents import MALFORMED
from ..objects import FeedUpdate, StoredObject
from ..ordering import NodeStatus, OrderUpdate, PendingDemand
from ..peers.errors import MalformedMessage
from .crash_evidence_codec import decode_crash_evidence, encode_crash_evidence
from .notice_codec import decode_notices, encode_notices

__all__ = [
    "CHANGES",
    "COPY",
    "PROMISE_S",
    "PULL",
    "RESIGN",
    "STATUS",
    "TURNS",
    "VIEW",
    "WHO",
    "FleetView",
    "ObjectsCopy",
    "ViewReply",
    "decode_changes",
    "decode_copy",
    "decode_status",
    "decode_view",
    "encode_changes",
    "encode_copy",
    "encode_status",
    "encode_view",
]

# Kinds of frames:
# - STATUS: a node's status, sent to the coordinator.
# - VIEW: the coordinator's view of the fleet, sent to all nodes.
# - PULL, COPY: a request to any node for its copy of the store's objects, and the response.
# - CHANGES: changes of the store's objects, relayed by the coordinator, so that only one node has
#   to watch the store.
# - RESIGN: sent by a coordinator that will send no more orders.
# - TURNS: a request to the coordinator for turns at upstreams that limit their rate, and the reply.
# - WHO: a request to any node for the id of its process, and the response.
STATUS = "status"
VIEW = "view"
PULL = "pull"
COPY = "copy"
CHANGES = "changes"
RESIGN = "resign"
TURNS = "turns"
WHO = "who"

# A node that replies to a view promises not to take the lease for this time after the view, in
# seconds. Nodes reply at least every half second.
PROMISE_S = 1.6


@dataclass(frozen=True)
class FleetView:
    """The coordinator's view of the fleet, which it sends to all nodes.

    ``loads`` are the sums over all nodes, ``residency`` lists the models on each engine, ``orders``
    is the order history that a successor needs, and ``slowness`` contains the prefill slowness
    factors of upstreams, ``crashes`` the observations on crashed upstreams and ``notices`` what
    upstreams say of themselves. These six contain only the changes since the previous view, except
    in a ``complete`` view.

    ``standby`` is the node that is to coordinate next, "" if there is none. ``holder`` is the
    instance that holds the lease; only a complete view contains it.

    ``versions`` are the versions of the coordinator's copies of the store's objects, by prefix. All
    changes up to them were sent before the view, so a node with an older copy has missed one.

    ``store_lost`` asks the nodes to check whether they reach the store. ``sent_at`` is a time on
    the coordinator's clock, which nodes send back. All other times are encoded as seconds relative
    to the time of sending.
    """

    epoch: int
    lease_version: int
    nodes: int
    loads: Mapping[str, UpstreamLoad] = field(default_factory=dict)
    residency: Mapping[str, CoordinatorResidency] = field(default_factory=dict)
    orders: OrderUpdate | None = None
    store_lost: bool = False
    complete: bool = False
    sent_at: float = 0.0
    slowness: SlownessFactors = field(default_factory=SlownessFactors)
    standby: str = ""
    holder: str = ""
    crashes: CrashEvidence = field(default_factory=CrashEvidence)
    versions: Mapping[str, int] = field(default_factory=dict)
    notices: tuple[ProcessNotice, ...] = ()


@dataclass(frozen=True)
class ViewReply:
    """A node's reply to the last view, sent along with its status.

    ``view_sent_at`` is the ``sent_at`` of the last view, 0 if there was none. The node promises not
    to take the lease for ``PROMISE_S`` seconds after that view. ``store_reached`` is whether the
    node reached the store after a view with ``store_lost`` set.
    """

    view_sent_at: float
    store_reached: bool


@dataclass(frozen=True)
class ObjectsCopy:
    """A node's copy of the objects under one prefix.

    ``age_s`` is the time since the copy was last confirmed by the store, in seconds. ``unchanged``
    are the keys of further objects, which have not changed since the version that the receiver has.
    ``outage_ended_s_ago`` is the time since the last outage of the store that the node knows, in
    seconds, None without one.
    """

    prefix: str
    version: int
    age_s: float
    objects: tuple[StoredObject, ...]
    unchanged: tuple[str, ...] = ()
    outage_ended_s_ago: float | None = None


def encode_status(status: NodeStatus, reply: ViewReply, now: float) -> Any:
    """Encode a status and the reply to the last view as the body of a frame sent at ``now``."""
    body = {
        "seen": reply.view_sent_at,
        "reached": reply.store_reached,
        "node": status.node,
        "arrivals": [[*key, *work] for key, work in status.arrivals.items()],
        "wants": [
            [item.service, item.model, item.adapter, item.count, item.remaining_s]
            for item in status.pending_demand
        ],
        "loads": _encode_loads(status.loads),
        "running": [[*key, count] for key, count in status.running.items()],
        "used": [list(item) for item in status.used_adapters],
        "declined": list(status.declined_by),
        "doubts": dict(status.suspicions),
        "paces": [
            [sample.instance, sample.model, round(sample.factor, 3)]
            for sample in status.slowness_samples
        ],
    }
    if status.crashes:
        body["crashes"] = encode_crash_evidence(status.crashes, now)
    if status.notices:
        body["notices"] = encode_notices(status.notices, now)
    return body


def decode_status(body: Any, now: float) -> Result[tuple[NodeStatus, ViewReply], MalformedMessage]:
    """Decode a frame's body, received at ``now``, into a status and the reply to the last view."""
    try:
        return Ok(
            (
                NodeStatus(
                    node=str(body["node"]),
                    arrivals={
                        (service, model): (n, s) for service, model, n, s in body["arrivals"]
                    },
                    pending_demand=tuple(PendingDemand(*item) for item in body["wants"]),
                    loads=_decode_loads(body["loads"]),
                    running={(i, model, adapter): n for i, model, adapter, n in body["running"]},
                    used_adapters=tuple((i, m, a) for i, m, a in body["used"]),
                    declined_by=tuple(body["declined"]),
                    suspicions=dict(body["doubts"]),
                    slowness_samples=tuple(
                        SlownessSample(i, m, float(f)) for i, m, f in body["paces"]
                    ),
                    crashes=decode_crash_evidence(body.get("crashes"), now),
                    notices=decode_notices(body.get("notices", ()), now),
                ),
                ViewReply(float(body["seen"]), bool(body["reached"])),
            )
        )
    except MALFORMED as exc:
        return Err(MalformedMessage("decode_status", "", repr(exc)))


def encode_view(view: FleetView, now: float) -> Any:
    """Encode a view as the body of a frame sent at ``now``."""
    body: dict[str, Any] = {
        "epoch": view.epoch,
        "lease": view.lease_version,
        "at": now,
        "store_lost": view.store_lost,
        "complete": view.complete,
        "nodes": view.nodes,
        "loads": _encode_loads(view.loads),
        "standby": view.standby,
        "versions": dict(view.versions),
    }
    if view.holder:
        body["holder"] = view.holder
    if view.residency:
        body["engines"] = {
            instance: [
                engine.started_ms,
                sorted(engine.live),
                {model: sorted(names) for model, names in engine.adapters.items()},
                {model: due - now for model, due in engine.loading.items()},
            ]
            for instance, engine in view.residency.items()
        }
    if view.slowness:
        body["paces"] = [
            _round_factors(view.slowness.upstreams),
            _round_factors(view.slowness.models),
        ]
    if view.crashes:
        body["crashes"] = encode_crash_evidence(view.crashes, now)
    if view.notices:
        body["notices"] = encode_notices(view.notices, now)
    if view.orders is not None:
        update = view.orders
        body["orders"] = [
            {instance: at - now for instance, at in update.last_orders.items()},
            {name: [at - now for at in times] for name, times in update.cold_loads.items()},
            dict(update.pending_loads),
        ]
    return body


def decode_view(body: Any, now: float) -> Result[FleetView, MalformedMessage]:
    """Decode a frame's body, received at ``now``, into a view."""
    try:
        engines = body.get("engines", {})
        residency = {
            instance: CoordinatorResidency(
                started_ms=started_ms,
                live=frozenset(live),
                adapters={model: frozenset(names) for model, names in adapters.items()},
                loading={model: now + remaining_s for model, remaining_s in loading.items()},
            )
            for instance, (started_ms, live, adapters, loading) in engines.items()
        }
        orders = None
        if "orders" in body:
            last_orders, cold_loads, pending_loads = body["orders"]
            orders = OrderUpdate(
                {instance: now + ago_s for instance, ago_s in last_orders.items()},
                {name: tuple(now + ago_s for ago_s in times) for name, times in cold_loads.items()},
                {str(name): int(count) for name, count in pending_loads.items()},
            )
        loads = _decode_loads(body["loads"])
        counters = (int(body["epoch"]), int(body["lease"]), int(body["nodes"]))
        flags = (bool(body["store_lost"]), bool(body["complete"]), float(body["at"]))
        slowness = SlownessFactors(*body.get("paces", ()))
        names = (str(body.get("standby", "")), str(body.get("holder", "")))
        crashes = decode_crash_evidence(body.get("crashes"), now)
        versions = {str(prefix): int(n) for prefix, n in body.get("versions", {}).items()}
        news = (crashes, versions, decode_notices(body.get("notices", ()), now))
        return Ok(FleetView(*counters, loads, residency, orders, *flags, slowness, *names, *news))
    except MALFORMED as exc:
        return Err(MalformedMessage("decode_view", "", repr(exc)))


def encode_copy(copy: ObjectsCopy) -> Any:
    """Encode a copy of objects as the body of a frame."""
    return {
        "prefix": copy.prefix,
        "version": copy.version,
        "age_s": copy.age_s,
        "objects": _encode_objects(copy.objects),
        "unchanged": list(copy.unchanged),
        "outage_ended_s_ago": copy.outage_ended_s_ago,
    }


def decode_copy(body: Any) -> Result[ObjectsCopy, MalformedMessage]:
    """Decode a frame's body into a copy of objects."""
    try:
        return Ok(
            ObjectsCopy(
                str(body["prefix"]),
                int(body["version"]),
                float(body["age_s"]),
                _decode_objects(body["objects"]),
                tuple(body["unchanged"]),
                _decode_optional_s(body["outage_ended_s_ago"]),
            )
        )
    except MALFORMED as exc:
        return Err(MalformedMessage("decode_copy", "", repr(exc)))


def encode_changes(prefix: str, update: FeedUpdate) -> Any:
    """Encode changes of the objects under a prefix as the body of a frame."""
    return {
        "prefix": prefix,
        "complete": update.complete,
        "base": update.base,
        "version": update.version,
        "written": _encode_objects(update.written),
        "removed": list(update.removed),
        "outage_ended_s_ago": update.outage_ended_s_ago,
    }


def decode_changes(body: Any) -> Result[tuple[str, FeedUpdate], MalformedMessage]:
    """Decode a frame's body into the prefix and the changes of its objects."""
    try:
        update = FeedUpdate(
            complete=bool(body["complete"]),
            version=int(body["version"]),
            written=_decode_objects(body["written"]),
            removed=tuple(body["removed"]),
            outage_ended_s_ago=_decode_optional_s(body["outage_ended_s_ago"]),
            base=int(body["base"]),
        )
        return Ok((str(body["prefix"]), update))
    except MALFORMED as exc:
        return Err(MalformedMessage("decode_changes", "", repr(exc)))


def _decode_optional_s(value: Any) -> float | None:
    return None if value is None else float(value)


def _encode_objects(objects: tuple[StoredObject, ...]) -> list[list[Any]]:
    return [[obj.key, obj.version, obj.value] for obj in objects]


def _decode_objects(body: Any) -> tuple[StoredObject, ...]:
    return tuple(StoredObject(key, version, value) for key, version, value in body)


def _round_factors(factors: Mapping[str, float]) -> dict[str, float]:
    return {key: round(factor, 3) for key, factor in factors.items()}


def _encode_loads(loads: Mapping[str, UpstreamLoad]) -> dict[str, list[Any]]:
    """Encode loads as integers, which take a third of the bytes that floats take."""
    return {
        instance: [
            round(load.requests),
            round(load.cache_tokens),
            [[level, round(wait_s * 1000)] for level, wait_s in load.backlog.items()],
        ]
        for instance, load in loads.items()
    }


def _decode_loads(body: Any) -> dict[str, UpstreamLoad]:
    return {
        instance: UpstreamLoad(
            requests, cache_tokens, {level: wait_ms / 1000 for level, wait_ms in backlog}
        )
        for instance, (requests, cache_tokens, backlog) in body.items()
    }
