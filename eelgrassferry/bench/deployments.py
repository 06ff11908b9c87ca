"""The two sample deployments, with the sizes of docs/design.md 1.1.

The design specifies the counts, the domains and the weight store. The number of accelerators,
which is smaller than the number of models, and the memory and speed of the engines are defined
here. The fastest engine is about six times as fast as the slowest, and the memory holds all models
once and about half of them twice.
"""

from random import Random

from ..settings import Adapter, Deployment, Model, Site, Upstream, UpstreamKind, WeightStore

__all__ = ["build_cronometria", "build_decal_works"]

ACCELERATOR_MIB = 81_920
# Decode tokens/s, maximum batch size, and number of accelerators of each engine.
CRONOMETRIA_ENGINES = (
    (2000.0, 20, 4),
    (1600.0, 20, 4),
    (1200.0, 16, 4),
    (800.0, 12, 3),
    (480.0, 10, 2),
    (320.0, 8, 2),
)
DECAL_ENGINES = (
    (1800.0, 20, 4),
    (1500.0, 18, 3),
    (1200.0, 16, 3),
    (900.0, 14, 2),
    (500.0, 10, 2),
    (300.0, 8, 2),
)
PREFILL_PER_DECODE = 10.0
MEMORY_FACTOR = 1.5


def build_cronometria() -> Deployment:
    """Return the deployment of Cronometría del Plata: 25 models, 65 adapters, 4 domains."""
    site = Site("uy-sur", ("uy-a", "uy-b", "uy-c", "uy-d"), move_cost=5.0)
    store = WeightStore(loads_per_s=1.5, slots=2, adapter_slots=16)
    return _build(site, store, CRONOMETRIA_ENGINES, 25, 65, Random(101))


def build_decal_works() -> Deployment:
    """Return the deployment of Fraser Valley Municipal Decal Works.

    It has 20 models, 75 adapters and 3 domains.
    """
    site = Site("lower-mainland", ("lm-a", "lm-b", "lm-c"), move_cost=40.0)
    store = WeightStore(loads_per_s=1.5, slots=3, adapter_slots=24)
    return _build(site, store, DECAL_ENGINES, 20, 75, Random(102))


def _build(
    site: Site,
    store: WeightStore,
    engines: tuple[tuple[float, int, int], ...],
    model_count: int,
    adapter_count: int,
    rng: Random,
) -> Deployment:
    upstreams = {}
    for index, (decode, batch, accelerators) in enumerate(engines):
        name = f"engine-{index + 1}"
        upstreams[name] = Upstream(
            name,
            UpstreamKind.ENGINE,
            "",
            site.domains[index % len(site.domains)],
            accelerators,
            accelerators * ACCELERATOR_MIB,
            PREFILL_PER_DECODE * decode,
            decode,
            batch,
        )
    total_mib = sum(upstream.memory_mib for upstream in upstreams.values())
    shares = [rng.uniform(0.4, 1.6) for _ in range(model_count)]
    unit_mib = total_mib / MEMORY_FACTOR / sum(shares)
    names = [f"model-{index + 1:02d}" for index in range(model_count)]
    models_by_name = {
        name: Model(name, int(share * unit_mib), urgent=index % 10 not in (3, 6, 9))
        for index, (name, share) in enumerate(zip(names, shares, strict=True))
    }
    adapters_by_name = {}
    for index in range(adapter_count):
        name = f"adapter-{index + 1:02d}"
        base = names[index % model_count]
        adapters_by_name[name] = Adapter(
            name, base, rng.randint(60, 300), urgent=models_by_name[base].urgent
        )
    return Deployment(site, store, models_by_name, adapters_by_name, upstreams)
