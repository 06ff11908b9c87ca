"""Selection of the upstream for a request."""

from random import Random

from ..fleet import EngineSpec, FleetConfig, UpstreamDirectory, UpstreamEntry
from ..peers import rendezvous_owner
from ..routing import UpstreamState
from ..routing.backoff_tracker import BackoffTracker
from .failure_rate_estimator import FailureRateEstimator
from .fleet_residency import FleetResidency
from .job import Attempt, Job
from .leaving_policy import DomainOption, LeavingPolicy
from .load_view import LoadView
from .prefill_slowness_estimator import PrefillSlownessEstimator
from .prefix_cache_tracker import PrefixCacheTracker
from .token_gap_estimator import TokenGapEstimator
from .upstream_notices import UpstreamNotices
from .upstream_turns import UpstreamTurns

__all__ = ["INITIAL_PLAIN_LATENCY_S", "UpstreamSelector"]

# Shares of an engine's batch slots and KV cache up to which requests are sent to it. The rest is a
# reserve for requests that other nodes send at the same time.
SLOT_SHARE = 0.9
MEMORY_SHARE = 0.92
# Limit of the requests in flight at a plain upstream (one that runs no models), as a multiple of
# its slots. Further requests would only queue there.
PLAIN_REQUESTS_PER_SLOT = 2.5
# Bonus in seconds, subtracted from the estimated time: the prefix owner of a prompt, on which all
# nodes agree, is preferred.
PREFIX_OWNER_BONUS_S = 0.015
# Share of the shared prompt parts that is assumed to be cached at the prefix owner if this node has
# not sent them there, because other nodes have. The rest accounts for first prompts and evictions.
OWNER_CACHED_SHARE = 0.7
# Range of the random tie-breaker, in seconds. It prevents all nodes from selecting the same one of
# several equal upstreams.
TIE_SPREAD_S = 0.001
# Relative slowdown of a prefill for each request that decodes at the same time.
DECODE_SLOWDOWN_PER_REQUEST = 0.008
# Latency of a plain request that is assumed before the first answer, in seconds, and the weight of
# one answer in the moving average.
INITIAL_PLAIN_LATENCY_S = 0.05
PLAIN_LATENCY_WEIGHT = 0.05


class UpstreamSelector:
    """Selector of the upstream that is expected to begin its answer first.

    ``isolated`` limits the selection to the node's own failure domain.
    """

    def __init__(
        self,
        domain: str,
        directory: UpstreamDirectory,
        residency: FleetResidency,
        rng: Random,
        notices: UpstreamNotices,
        turns: UpstreamTurns,
    ) -> None:
        self.isolated = False
        self.config: FleetConfig | None = None
        self.load = LoadView()
        self.slowness = PrefillSlownessEstimator()
        self.prefix_caches = PrefixCacheTracker()
        self.token_gaps = TokenGapEstimator()
        self.failure_rates = FailureRateEstimator()
        self.backoffs = BackoffTracker()
        self.leaving = LeavingPolicy(domain)
        self._domain = domain
        self._directory = directory
        self._residency = residency
        self._rng = rng
        self._notices = notices
        self._turns = turns
        self._plain_latency_s: dict[str, float] = {}

    def choose(self, job: Job, now: float) -> Attempt | None:
        """Return an attempt at the upstream with the lowest cost, None if none has capacity.

        An upstream that limits its rate has none if it cannot take the job in time. The attempt has
        to wait for a turn if ``turn_wait_s`` is above 0.
        """
        options: list[DomainOption] = []
        candidates = self.candidates(job, now)
        owner = self._prefix_owner(job, candidates)
        for entry in candidates:
            attempt = self._plan_attempt(job, entry, now, entry.instance == owner)
            if attempt is None:
                continue
            if self._notices.has_restrictions:
                attempt.turn_wait_s = self._turns.wait_s(entry.process_id, now)
                attempt.expected_s += attempt.turn_wait_s
            if attempt.turn_wait_s > 0.0 and now + attempt.expected_s > job.target_at:
                continue
            cost_s = attempt.expected_s + self.failure_rates.penalty_s(entry.instance, now)
            if entry.instance == owner:
                cost_s -= PREFIX_OWNER_BONUS_S
            cost_s += self._gap_cost_s(job, attempt)
            cost_s += TIE_SPREAD_S * self._rng.random()
            options.append(DomainOption(cost_s, attempt, entry.domain))
        has_copy = any(entry.domain == self._domain for entry in candidates)
        return self.leaving.choose(job, options, has_copy, now)

    def _gap_cost_s(self, job: Job, attempt: Attempt) -> float:
        """Return the cost of the expected token gaps of a stream, in seconds.

        A stream that is certain to miss its gap target costs as much as a whole latency target,
        because it is as bad as one that begins late.
        """
        route = job.route
        probability = self.token_gaps.late_probability(
            attempt.slowness, job.max_output_tokens, route.gap_target_s
        )
        return probability * route.target_latency_s

    def _plan_attempt(
        self, job: Job, entry: UpstreamEntry, now: float, is_owner: bool
    ) -> Attempt | None:
        """Return an attempt to run a job at an upstream, None if the upstream has no capacity.

        ``is_owner`` marks the prefix owner of the prompt, to which all nodes send prompts with the
        same shared parts.
        """
        load = self.load.total_at(entry.instance, now)
        engine = self.engine(job.service)
        if engine is None or not job.model:
            if load.requests >= PLAIN_REQUESTS_PER_SLOT * max(1, entry.slots):
                return None
            mean_s = self._plain_latency_s.get(entry.instance, INITIAL_PLAIN_LATENCY_S)
            ahead = max(0.0, load.requests + 1 - entry.slots)
            expected_s = mean_s * (1.0 + 0.3 * load.requests / entry.slots + ahead / entry.slots)
            return Attempt(
                entry.instance,
                now,
                0.0,
                0.0,
                expected_s,
                process_id=entry.process_id,
                load_share=load.requests / (PLAIN_REQUESTS_PER_SLOT * max(1, entry.slots)),
            )
        if load.requests >= SLOT_SHARE * engine.batch_slots:
            return None
        tokens = job.prompt_tokens + job.max_output_tokens
        if load.requests and load.cache_tokens + tokens > MEMORY_SHARE * engine.cache_tokens:
            return None
        cached = self.prefix_caches.cached_tokens(
            entry.instance, job.model, job.adapter, job.prompt_parts
        )
        assumed = 0.0
        if is_owner:
            shared = sum(tokens for _, tokens in job.prompt_parts[:-1])
            assumed = max(0.0, OWNER_CACHED_SHARE * shared - cached)
        uncached = max(1.0, job.prompt_tokens - cached - assumed)
        prefill_s = self.slowness.expected_s(entry.instance, job.model, uncached)
        slowdown = 1.0 + DECODE_SLOWDOWN_PER_REQUEST * load.requests
        return Attempt(
            entry.instance,
            now,
            prefill_s,
            float(tokens),
            (prefill_s + load.prefill_ahead_s(job.priority)) * slowdown,
            assumes_cached_prefix=assumed > 0.0,
            slowness=self.slowness.factor(entry.instance, job.model),
            process_id=entry.process_id,
            load_share=max(
                load.requests / (SLOT_SHARE * engine.batch_slots),
                load.cache_tokens / (MEMORY_SHARE * engine.cache_tokens),
            ),
        )

    def candidates(self, job: Job, now: float) -> list[UpstreamEntry]:
        """Return the upstreams that a job may be sent to, regardless of their load."""
        available = [
            entry
            for entry in self.capable_upstreams(job, now)
            if not self.backoffs.is_backing_off(entry.instance, now)
        ]
        if self._notices.has_restrictions:
            available = [
                entry for entry in available if now >= self._notices.paused_until(entry.process_id)
            ]
        untried = [entry for entry in available if entry.instance not in job.excluded]
        if not untried and available and not job.may_have_run:
            # Every upstream has declined this request once. The backoff of each upstream prevents
            # an immediate retry.
            job.excluded.clear()
            return available
        return untried

    def capable_upstreams(self, job: Job, now: float) -> list[UpstreamEntry]:
        """Return the live upstreams that can run a job."""
        entries = self._directory.of_service(job.service)
        return [entry for entry in entries if self._is_capable(entry, job, now)]

    def has_capable_upstream(self, job: Job, now: float) -> bool:
        """Return whether a live upstream can run a job."""
        entries = self._directory.of_service(job.service)
        return any(self._is_capable(entry, job, now) for entry in entries)

    def available_at(self, job: Job, now: float) -> float:
        """Return when the first upstream that can run a job accepts requests again, in seconds.

        That is ``now`` unless all of them have asked this node for a pause, or limit their rate and
        have no turn for the job.
        """
        if not self._notices.has_restrictions:
            return now
        times = [
            max(
                now + self._turns.wait_s(entry.process_id, now),
                self._notices.paused_until(entry.process_id),
            )
            for entry in self.capable_upstreams(job, now)
        ]
        return min(times, default=now)

    def is_limited(self, job: Job, now: float) -> bool:
        """Return whether the upstreams that can run a job limit their rate, unless they pause."""
        accepting = [
            entry
            for entry in self.capable_upstreams(job, now)
            if now >= self._notices.paused_until(entry.process_id)
        ]
        return bool(accepting) and all(
            self._notices.limit_per_s(entry.process_id) is not None for entry in accepting
        )

    def _is_capable(self, entry: UpstreamEntry, job: Job, now: float) -> bool:
        """Return whether an upstream is live and can run a job.

        An upstream that has just crashed has no models, although it is still registered with them.
        The jobs for its models therefore wait for another copy.
        """
        if entry.state is not UpstreamState.LIVE:
            return False
        if self.isolated and entry.domain != self._domain:
            return False
        if not job.model:
            return True
        if self.backoffs.is_crashed(entry.instance, now):
            return False
        return self._residency.is_resident(entry.instance, job.model, job.adapter, now)

    def _prefix_owner(self, job: Job, candidates: list[UpstreamEntry]) -> str | None:
        """Return the upstream that all nodes prefer for prompts with the same shared parts."""
        if len(job.prompt_parts) < 2 or len(candidates) < 2:
            return None
        shared = "/".join(part for part, _ in job.prompt_parts[:-1])
        key = f"{job.model}/{job.adapter}/{shared}"
        return rendezvous_owner(key, (entry.instance for entry in candidates))

    def engine(self, service: str) -> EngineSpec | None:
        """Return the engine parameters of a service, None for a plain service."""
        spec = self.config.services.get(service) if self.config else None
        return spec.engine if spec else None

    def record_plain_latency(self, instance: str, took_s: float) -> None:
        """Update the mean latency of a plain upstream from one answer, in seconds."""
        mean_s = self._plain_latency_s.get(instance, INITIAL_PLAIN_LATENCY_S)
        self._plain_latency_s[instance] = mean_s + PLAIN_LATENCY_WEIGHT * (took_s - mean_s)

    def forget(self, instance: str) -> None:
        """Remove all statistics of an upstream that has stopped or restarted."""
        self.prefix_caches.forget(instance)
        self.failure_rates.forget(instance)
        self.slowness.forget(instance)
        self.backoffs.record_live(instance)
        self._plain_latency_s.pop(instance, None)
