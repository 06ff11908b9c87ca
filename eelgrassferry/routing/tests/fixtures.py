"""Builders of a small deployment, routers and requests for tests."""

from random import Random

from ...settings import Adapter, Deployment, Model, Site, Upstream, UpstreamKind
from .. import NodeIdentity, ResidentCopy, Router, RouteRequest, UpstreamState


def build_deployment(upstreams: int = 3, max_batch: int = 4, **site) -> Deployment:
    """Return a deployment of equal engines, models m1 and m2, and adapter a1 of m1."""
    return Deployment(
        site=Site("s", ("d1", "d2"), **site),
        models={name: Model(name, 1000) for name in ("m1", "m2")},
        adapters={"a1": Adapter("a1", "m1", 10)},
        upstreams={
            f"u{i}": Upstream(
                f"u{i}", UpstreamKind.ENGINE, "", f"d{i % 2 + 1}", 8, 10000, max_batch=max_batch
            )
            for i in range(1, upstreams + 1)
        },
    )


def build_router(
    upstreams: int = 3, max_batch: int = 4, node: str = "n1", seed: int = 1, **site
) -> Router:
    """Return a router with m1 resident on every upstream."""
    deployment = build_deployment(upstreams, max_batch, **site)
    router = Router(deployment, NodeIdentity(node, "d1"), Random(seed))
    for name in deployment.upstreams:
        router.update_residency(name, (ResidentCopy("m1", "1"),), UpstreamState.LIVE, 0.0)
    return router


def build_request(
    request_id: str = "r1",
    name: str = "m1",
    urgent: bool = True,
    deadline_at: float = 10.0,
    digest: str = "",
    prefix_hashes: tuple[str, ...] = (),
    repeatable: bool = True,
) -> RouteRequest:
    """Return a request with a unique digest unless one is given."""
    return RouteRequest(
        request_id,
        name,
        urgent,
        deadline_at,
        100,
        64,
        digest or f"digest-{request_id}",
        prefix_hashes,
        repeatable,
    )
