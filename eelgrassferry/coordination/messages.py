"""Messages between nodes, and their bodies in frames."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from ..dispatch import CoordinatorResidency, SlownessFactors, SlownessSample, UpstreamLoad
from ..objects import FeedUpdate, StoredObject
from ..ordering import NodeStatus, OrderUpdate, PendingDemand
from ..peers.errors import MalformedMessage

__all__ = [
    "CHANGES",
    "COPY",
    "PROMISE_S",
    "PULL",
    "RESIGN",
    "STATUS",
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

# Kinds of frames. A node sends its status to the coordinator, which answers with views, and with a
# resignation when it will give no more orders. Any node answers a pull with its copy of the
# store's objects, and the question who it is with its instance. The coordinator also passes on the
# changes of the store's objects, so that one node watches the store for all.
STATUS = "status"
VIEW = "view"
PULL = "pull"
COPY = "copy"
CHANGES = "changes"
RESIGN = "resign"
WHO = "who"

# A node that replies to a view does not take the lease for this time from the view on, in seconds.
# Nodes reply at least every half a second.
PROMISE_S = 1.6


@dataclass(frozen=True)
class FleetView:
    """What the coordinator tells all nodes. ``loads`` are the sums over all nodes, ``residency`` is
    what engines hold, ``orders`` what a successor has to know of the orders, ``paces`` how fast
    upstreams read prompts. They name what has changed since the view before; a ``complete`` view
    names everything. ``store_lost`` asks the nodes whether they reach the store. ``sent_at`` is the
    coordinator's own time, which nodes send back. On the wire, the other times are seconds before
    or after the moment of sending.
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
    paces: SlownessFactors = field(default_factory=SlownessFactors)


@dataclass(frozen=True)
class ViewReply:
    """What a node replies with its status. ``seen_at`` is the ``sent_at`` of the last view, 0 for
    none: the node promises not to take the lease for ``PROMISE_S`` from that view on.
    ``store_reached`` says that it reached the store after a view said that the coordinator did not.
    """

    seen_at: float
    store_reached: bool


@dataclass(frozen=True)
class ObjectsCopy:
    """A node's copy of the objects under one prefix, ``age_s`` after its last contact with the
    store.
    """

    prefix: str
    version: int
    age_s: float
    objects: tuple[StoredObject, ...]


def encode_status(status: NodeStatus, reply: ViewReply) -> Any:
    """Return the body of a status and of the reply to the last view."""
    return {
        "seen": reply.seen_at,
        "reached": reply.store_reached,
        "node": status.node,
        "arrivals": [[*key, *work] for key, work in status.arrivals.items()],
        "wants": [
            [w.service, w.model, w.adapter, w.count, w.remaining_s] for w in status.pending_demand
        ],
        "loads": _encode_loads(status.loads),
        "running": [[*key, count] for key, count in status.running.items()],
        "used": [list(item) for item in status.used_adapters],
        "declined": list(status.declined_by),
        "doubts": dict(status.suspicions),
        "paces": [
            [seen.instance, seen.model, round(seen.factor, 3)] for seen in status.slowness_samples
        ],
    }


def decode_status(body: Any) -> Result[tuple[NodeStatus, ViewReply], MalformedMessage]:
    """Decode the body of a status and of the reply to the last view."""
    try:
        return Ok(
            (
                NodeStatus(
                    node=str(body["node"]),
                    arrivals={
                        (service, model): (n, s) for service, model, n, s in body["arrivals"]
                    },
                    pending_demand=tuple(PendingDemand(*want) for want in body["wants"]),
                    loads=_decode_loads(body["loads"]),
                    running={(i, model, adapter): n for i, model, adapter, n in body["running"]},
                    used_adapters=tuple((i, m, a) for i, m, a in body["used"]),
                    declined_by=tuple(body["declined"]),
                    suspicions=dict(body["doubts"]),
                    slowness_samples=tuple(
                        SlownessSample(i, m, float(f)) for i, m, f in body["paces"]
                    ),
                ),
                ViewReply(float(body["seen"]), bool(body["reached"])),
            )
        )
    except (KeyError, TypeError, ValueError) as exc:
        return Err(MalformedMessage("decode_status", "", repr(exc)))


def encode_view(view: FleetView, now: float) -> Any:
    """Return the body of a view."""
    body: dict[str, Any] = {
        "epoch": view.epoch,
        "lease": view.lease_version,
        "at": now,
        "store_lost": view.store_lost,
        "complete": view.complete,
        "nodes": view.nodes,
        "loads": _encode_loads(view.loads),
    }
    if view.residency:
        body["engines"] = {
            instance: [
                known.started_ms,
                sorted(known.live),
                {model: sorted(names) for model, names in known.adapters.items()},
                {model: due - now for model, due in known.loading.items()},
            ]
            for instance, known in view.residency.items()
        }
    if view.paces:
        body["paces"] = [_round_all(view.paces.upstreams), _round_all(view.paces.models)]
    if view.orders is not None:
        news = view.orders
        body["orders"] = [
            {instance: at - now for instance, at in news.last_orders.items()},
            {name: [at - now for at in times] for name, times in news.cold_loads.items()},
            dict(news.pending_loads),
        ]
    return body


def decode_view(body: Any, now: float) -> Result[FleetView, MalformedMessage]:
    """Decode the body of a view."""
    try:
        engines = body.get("engines", {})
        residency = {
            instance: CoordinatorResidency(
                started_ms=started_ms,
                live=frozenset(live),
                adapters={model: frozenset(names) for model, names in adapters.items()},
                loading={model: now + left_s for model, left_s in loading.items()},
            )
            for instance, (started_ms, live, adapters, loading) in engines.items()
        }
        orders = None
        if "orders" in body:
            last_orders, cold_loads, open_loads = body["orders"]
            orders = OrderUpdate(
                {instance: now + ago_s for instance, ago_s in last_orders.items()},
                {name: tuple(now + ago_s for ago_s in times) for name, times in cold_loads.items()},
                {str(name): int(count) for name, count in open_loads.items()},
            )
        loads = _decode_loads(body["loads"])
        numbers = (int(body["epoch"]), int(body["lease"]), int(body["nodes"]))
        told = (bool(body["store_lost"]), bool(body["complete"]), float(body["at"]))
        paces = SlownessFactors(*body.get("paces", ()))
        return Ok(FleetView(*numbers, loads, residency, orders, *told, paces))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Err(MalformedMessage("decode_view", "", repr(exc)))


def encode_copy(copy: ObjectsCopy) -> Any:
    """Return the body of a copy."""
    return {
        "prefix": copy.prefix,
        "version": copy.version,
        "age_s": copy.age_s,
        "objects": _encode_objects(copy.objects),
    }


def decode_copy(body: Any) -> Result[ObjectsCopy, MalformedMessage]:
    """Decode the body of a copy."""
    try:
        objects = _decode_objects(body["objects"])
        return Ok(
            ObjectsCopy(str(body["prefix"]), int(body["version"]), float(body["age_s"]), objects)
        )
    except (KeyError, TypeError, ValueError) as exc:
        return Err(MalformedMessage("decode_copy", "", repr(exc)))


def encode_changes(prefix: str, update: FeedUpdate) -> Any:
    """Return the body of changes."""
    return {
        "prefix": prefix,
        "complete": update.complete,
        "base": update.base,
        "version": update.version,
        "written": _encode_objects(update.written),
        "removed": list(update.removed),
        "after_outage": update.after_outage,
    }


def decode_changes(body: Any) -> Result[tuple[str, FeedUpdate], MalformedMessage]:
    """Decode the body of changes into their prefix and the update."""
    try:
        update = FeedUpdate(
            complete=bool(body["complete"]),
            version=int(body["version"]),
            written=_decode_objects(body["written"]),
            removed=tuple(body["removed"]),
            after_outage=bool(body["after_outage"]),
            base=int(body["base"]),
        )
        return Ok((str(body["prefix"]), update))
    except (KeyError, TypeError, ValueError) as exc:
        return Err(MalformedMessage("decode_changes", "", repr(exc)))


def _encode_objects(objects: tuple[StoredObject, ...]) -> list[list[Any]]:
    return [[obj.key, obj.version, obj.value] for obj in objects]


def _decode_objects(body: Any) -> tuple[StoredObject, ...]:
    return tuple(StoredObject(key, version, value) for key, version, value in body)


def _round_all(factors: Mapping[str, float]) -> dict[str, float]:
    return {key: round(factor, 3) for key, factor in factors.items()}


def _encode_loads(loads: Mapping[str, UpstreamLoad]) -> dict[str, list[Any]]:
    """Encode loads as integers, which take a third of the bytes of floats on a link."""
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
