"""Input of one planning pass: the engines and the demand of a service at one moment."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from ..dispatch import NO_LOAD, PrefillSlownessEstimator, UpstreamLoad
from .demand_estimator import DemandEstimator
from .engine_tracker import CopyState, EngineTracker

__all__ = ["PlanState"]

# Least capacity of an engine that limits its rate, as a share of one that does not.
MIN_CAPACITY = 0.02


@dataclass(frozen=True)
class PlanState:
    """Engines and demand of one service at time ``now``.

    ``waiting`` counts, by model, the requests that no engine can serve yet; ``running`` counts the
    requests in flight by instance and model; ``loads`` is the load of each instance from all nodes;
    ``slowness`` holds the slowness factors of the engines, and ``limits_per_s`` the rates of
    requests that engines name as their limit, by instance.
    """

    service: str
    trackers: list[EngineTracker]
    waiting: Mapping[str, int]
    running: Mapping[tuple[str, str], int]
    loads: Mapping[str, UpstreamLoad]
    demand: DemandEstimator
    slowness: PrefillSlownessEstimator
    now: float
    limits_per_s: Mapping[str, float] = field(default_factory=dict)

    @cached_property
    def holders(self) -> dict[str, list[EngineTracker]]:
        """The engines that have a live or loading copy of each model."""
        found: dict[str, list[EngineTracker]] = {}
        for tracker in self.trackers:
            for model, copy in tracker.copies.items():
                if copy.state in (CopyState.LIVE, CopyState.LOADING):
                    found.setdefault(model, []).append(tracker)
        return found

    @cached_property
    def utilization(self) -> dict[str, float]:
        """Estimated fraction of each engine's capacity that reading prompts takes, by instance."""
        return {tracker.instance: self._utilization(tracker) for tracker in self.trackers}

    @cached_property
    def cold_loads_in_progress(self) -> int:
        """Number of loads from the weight store that are under way or follow a withdrawal."""
        return sum(
            tracker.is_cold(copy.replaced_by or model)
            for tracker in self.trackers
            for model, copy in tracker.copies.items()
            if copy.state is CopyState.LOADING or copy.replaced_by
        )

    @cached_property
    def local_models(self) -> set[str]:
        """Models whose weights some engine has in memory or on disk."""
        return set().union(*(tracker.on_disk | tracker.in_host_memory for tracker in self.trackers))

    def capacity(self, tracker: EngineTracker) -> float:
        """Return the capacity of an engine as a share of one that does not limit its rate."""
        limit_per_s = self.limits_per_s.get(tracker.instance)
        if limit_per_s is None:
            return 1.0
        return min(1.0, max(MIN_CAPACITY, limit_per_s * self._work_per_request_s))

    @cached_property
    def _work_per_request_s(self) -> float:
        """Mean time that an engine takes to read the prompt of a request, in seconds."""
        models = self.demand.active_models(self.service, self.now)
        rate = sum(self.rate(model) for model in models)
        load = sum(self.demand.offered_load(self.service, model, self.now) for model in models)
        return load / rate if rate > 0.0 else 0.0

    def capacity_of_copies(self, model: str) -> float:
        """Return the total capacity of the engines with a live or loading copy of a model."""
        return sum(self.capacity(tracker) for tracker in self.holders.get(model, ()))

    def copy_count(self, model: str) -> int:
        """Return the number of live and loading copies of a model."""
        return len(self.holders.get(model, ()))

    def rate(self, model: str) -> float:
        """Return the arrival rate of a model in requests per second."""
        return self.demand.rate(self.service, model, self.now)

    def running_requests(self, tracker: EngineTracker, model: str) -> int:
        """Return the number of requests that run on an engine's copy of a model."""
        return self.running.get((tracker.instance, model), 0)

    def backlog_s(self, tracker: EngineTracker) -> float:
        """Return the seconds an engine needs to read the prompts already sent to it."""
        return sum(self.loads.get(tracker.instance, NO_LOAD).backlog.values())

    def _utilization(self, tracker: EngineTracker) -> float:
        return self.slowness.upstream_factor(tracker.instance) * sum(
            self.demand.offered_load(self.service, model, self.now)
            / (self.capacity_of_copies(model) or 1.0)
            for model, copy in tracker.copies.items()
            if copy.state is CopyState.LIVE
        )
