"""Small deployments and simulated areas for the tests of this package."""

from ...settings import Adapter, Deployment, Model, Site, Upstream, UpstreamKind, WeightStore
from ..simulated_area import SimulatedArea
from ..simulated_engine import SimulatedEngine

__all__ = ["make_area", "make_deployment"]


def make_deployment(
    models=("m1", "m2", "m3"),
    upstreams=2,
    memory_mib=100,
    model_mib=40,
    adapters=(),
    versions=None,
    move_cost=10.0,
    checks_fence=True,
    min_replicas=1,
    adapter_mib=5,
):
    """Return a small deployment; ``adapters`` contains pairs of a name and its base model."""
    versions = versions or {}
    return Deployment(
        site=Site("s1", ("d1", "d2"), move_cost=move_cost),
        store=WeightStore(loads_per_s=2.0, slots=2),
        models={
            m: Model(m, model_mib, versions.get(m, "1"), min_replicas=min_replicas) for m in models
        },
        adapters={a: Adapter(a, base, adapter_mib, versions.get(a, "1")) for a, base in adapters},
        upstreams={
            f"u{n}": Upstream(
                f"u{n}",
                UpstreamKind.ENGINE,
                f"127.0.0.1:{n}",
                f"d{n % 2 + 1}",
                memory_mib=memory_mib,
                checks_fence=checks_fence,
            )
            for n in range(upstreams)
        },
    )


def make_area(**options):
    """Return a simulated area with one engine for each upstream."""
    deployment = make_deployment(**options)
    engines = {
        name: SimulatedEngine(upstream.memory_mib, upstream.checks_fence)
        for name, upstream in deployment.upstreams.items()
    }
    return SimulatedArea(deployment, engines)
