"""Measurement of the processor time of routing decisions."""

from dataclasses import dataclass
from random import Random
from time import process_time

from ..routing import (
    LoadReport,
    NodeIdentity,
    ResidentCopy,
    Router,
    RouteRequest,
    UpstreamState,
)
from ..settings import Deployment, Model, Site, Upstream, UpstreamKind

__all__ = ["DecisionCost", "measure_decision_cost"]

MODELS = 20
COPIES_SHARE = 0.5


@dataclass(frozen=True)
class DecisionCost:
    """Mean processor times of a router, in microseconds.

    The calls are the submission, the first token and the finish of a request.
    """

    upstreams: int
    submit_us: float
    first_token_us: float
    finish_us: float


def measure_decision_cost(upstreams: int, requests: int = 4000) -> DecisionCost:
    """Measure a router with ``upstreams`` engines, each of which holds half of the models."""
    rng = Random(5)
    deployment = _build(upstreams)
    router = Router(deployment, NodeIdentity("node-0", "d0"), rng)
    for name in deployment.upstreams:
        resident = rng.sample(sorted(deployment.models), int(MODELS * COPIES_SHARE))
        copies = tuple(ResidentCopy(model, "1") for model in resident)
        router.update_residency(name, copies, UpstreamState.LIVE, 0.0)
    spent = [0.0, 0.0, 0.0]
    running: list[str] = []
    for index in range(requests):
        now = index * 0.002
        if index % 125 == 0:
            for name in deployment.upstreams:
                router.update_load(LoadReport(name, rng.randrange(12), 0, now - 0.2), now)
            router.update_peer_dispatches("node-1", dict.fromkeys(deployment.upstreams, 2.0), now)
        name = f"model-{rng.randrange(MODELS)}"
        blocks = tuple(f"{name}/{rng.randrange(4)}/{i}" for i in range(4))
        request = RouteRequest(f"r{index}", name, True, now + 1.0, 400, 100, f"r{index}", blocks)
        started = process_time()
        router.submit(request, now)
        submitted = process_time()
        router.record_first_token(request.request_id, now)
        recorded = process_time()
        running.append(request.request_id)
        spent[0] += submitted - started
        spent[1] += recorded - submitted
        if len(running) > 4 * upstreams:
            started = process_time()
            router.finish(running.pop(0), now)
            spent[2] += process_time() - started
    finished = max(1, requests - len(running))
    return DecisionCost(
        upstreams,
        1e6 * spent[0] / requests,
        1e6 * spent[1] / requests,
        1e6 * spent[2] / finished,
    )


def _build(upstreams: int) -> Deployment:
    engines = {
        f"u{i}": Upstream(f"u{i}", UpstreamKind.ENGINE, "", f"d{i % 4}", 8, 10**6)
        for i in range(upstreams)
    }
    models = {f"model-{i}": Model(f"model-{i}", 1000) for i in range(MODELS)}
    return Deployment(Site("s", ("d0", "d1", "d2", "d3")), models=models, upstreams=engines)
