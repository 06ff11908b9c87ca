"""Selection of the upstream and the time for dispatching each waiting request.

The scheduler combines, per upstream, the estimated load, the in-flight limit, the observed
slowness and the cached prompt prefixes, and dispatches jobs to upstreams with free slots.
"""

from collections.abc import Iterable, Iterator
from random import Random

from ..settings import Deployment, Model, Upstream
from .actions import Dispatch
from .backoff_tracker import BackoffTracker
from .choice import Candidate, EstimateInputs, choose, estimate_first_token_s, filter_timely
from .job import Attempt, Job
from .limit import InflightLimit
from .load import LoadEstimator
from .messages import NodeIdentity
from .model_queue import ModelQueue
from .prefix import PrefixView
from .residency import Placement, ResidencyView
from .slowness import SlownessEstimator

__all__ = ["Scheduler"]

# Candidates evaluated per decision. More would cost time without improving a draw of two.
MAX_CANDIDATES = 16
# Added to the estimate of an upstream that has to load the adapter first, in seconds. Keeps
# requests of an adapter on the upstreams where it is resident, unless these are much busier.
ADAPTER_PENALTY_S = 0.05
# After this many consecutive urgent requests, the next free slot of an upstream goes to a waiting
# patient request. This reserves a sixteenth of the capacity for patient requests under lasting
# urgent demand.
MAX_URGENT_STREAK = 15
# Interval at which this node sends a single request to an upstream whose token gap exceeds the
# target, to detect its recovery.
SLOW_PROBE_INTERVAL_S = 15.0
# Share of the time to its deadline that an urgent request waits for an upstream within the token
# gap target. Afterwards it goes to a slow one, because a slow answer is better than none.
FAST_WAIT_SHARE = 0.5
# Number of tokens of a stream between two samples of the token gap.
GAP_SAMPLE_TOKENS = 16
# Mean output length in tokens until answers of a model or adapter have completed.
DEFAULT_OUTPUT_TOKENS = 128.0
# Weight of one complete answer in the moving average of the output length.
OUTPUT_LENGTH_WEIGHT = 0.02


class Scheduler:
    """Dispatcher of the jobs of one node to upstreams. Times are in seconds."""

    def __init__(self, deployment: Deployment, node: NodeIdentity, rng: Random) -> None:
        self.deployment = deployment
        self.residency = ResidencyView(deployment)
        self.load = LoadEstimator()
        self.slowness = SlownessEstimator()
        self.prefix = PrefixView()
        self.limits: dict[str, InflightLimit] = {}
        self.queues: dict[str, ModelQueue] = {}
        self.node_count = 1
        self._node = node
        self._rng = rng
        self._prefill_backlog: dict[str, float] = {}
        self.backoffs = BackoffTracker()
        self._reserved: dict[str, Job] = {}
        self._urgent_streak: dict[str, int] = {}
        self._output_tokens: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        # Candidates of the last job. Early refusal, dispatch and preemption need the same list
        # while one input is handled.
        self._last_candidates: tuple[Job, tuple[float, ...], list[Candidate]] | None = None
        self._reservation_revision = 0

    def set_deployment(self, deployment: Deployment) -> None:
        """Replace the deployment.

        The in-flight limits of upstreams whose settings changed are reset.
        """
        for name, upstream in deployment.upstreams.items():
            if self.deployment.upstreams.get(name) != upstream:
                self.limits.pop(name, None)
        self.deployment = deployment
        self.residency.set_deployment(deployment)

    def base_model(self, name: str) -> Model | None:
        """Return the settings of a model, or of the base model of an adapter; None if unknown."""
        return self.deployment.models.get(self.deployment.base_model_of(name) or "")

    def queue_of(self, job: Job) -> ModelQueue:
        """Return the queue for a job, created if it does not exist."""
        key = job.queue_key
        if key not in self.queues:
            limit = self.deployment.site.queue_limit
            self.queues[key] = ModelQueue(job.request.name, limit)
        return self.queues[key]

    def remove_upstream(self, upstream: str) -> None:
        """Discard the estimates and the in-flight limit of an upstream that left or crashed."""
        self.load.remove_upstream(upstream)
        self.prefix.remove_upstream(upstream)
        self.slowness.remove_upstream(upstream)
        self.limits.pop(upstream, None)

    def candidates(self, job: Job, now: float) -> list[Candidate]:
        """Return the upstreams that can serve a job, including those without a free slot.

        The result is cached until the time or one of the inputs changes.
        """
        reservation_revision = self._reservation_revision + self.backoffs.revision
        cache_key = (
            now,
            self.load.revision,
            self.residency.revision,
            reservation_revision,
            len(job.avoid),
        )
        if (
            self._last_candidates is None
            or self._last_candidates[0] is not job
            or self._last_candidates[1] != cache_key
        ):
            self._last_candidates = job, cache_key, self._find_candidates(job, now)
        return self._last_candidates[2]

    def _find_candidates(self, job: Job, now: float) -> list[Candidate]:
        request = job.request
        pinned = job.version if job.tokens_done else None
        placements = self.residency.placements(request.name, pinned)
        if len(placements) > MAX_CANDIDATES:
            placements = self._rng.sample(placements, MAX_CANDIDATES)
        mean_output_tokens = self._output_tokens.get(request.name, DEFAULT_OUTPUT_TOKENS)
        model = self.base_model(request.name)
        target_gap_s = model.token_gap_s if model else float("inf")
        found = []
        for placement in placements:
            upstream = self.deployment.upstreams.get(placement.upstream)
            if upstream is None or not self._is_usable(job, placement.upstream, now):
                continue
            in_flight = self.load.in_flight(placement.upstream, now)
            slowness = self.slowness.first_token_factor(placement.upstream, now)
            inputs = self._estimate_inputs(
                job, placement, upstream, in_flight, slowness, mean_output_tokens
            )
            free_slots = self._free_slots(job, upstream, in_flight, now)
            found.append(
                Candidate(
                    placement.upstream,
                    placement.version,
                    placement.load_adapter,
                    estimate_first_token_s(request.prompt_tokens + job.tokens_done, inputs),
                    free_slots,
                    self._exceeds_token_gap(upstream, target_gap_s),
                )
            )
        if not found and job.avoid and now >= job.avoid_until:
            # No other upstream remains, so those that failed this job may be tried again.
            job.avoid.clear()
        return found

    def try_dispatch(self, job: Job, now: float, granted: str | None = None) -> Dispatch | None:
        """Dispatch a job to an upstream with a free slot; return None if there is none.

        ``granted`` names an upstream whose next slot is reserved for a patient job and that is
        accepted although it offers no free slot to patient jobs.
        """
        known = self.candidates(job, now)
        available = [c for c in known if c.free_slots >= 1 or c.upstream == granted]
        if job.alone:
            available = [c for c in available if not self.load.own_count(c.upstream)]
            if not available:
                self._reserve(job, known)
                return None
        if not job.tokens_done:
            available = filter_timely(known, available, job.deadline_at - now)
        available = self._prefer_fast(job, known, available, now)
        if not available:
            return None
        chosen = choose(available, self._rng)
        self._start_attempt(job, chosen, now)
        explanation = (
            f"{chosen.upstream}: estimate {chosen.estimate_s * 1000:.0f} ms, room"
            f" {chosen.free_slots:.0f}, {len(available)} of {len(known)} candidates had room"
        )
        return Dispatch(
            job.request.request_id,
            chosen.upstream,
            job.request.name,
            chosen.version,
            chosen.load_adapter,
            job.alone,
            job.tokens_done,
            explanation,
            job.retry,
        )

    def dispatch_waiting(self, names: Iterable[str], now: float) -> Iterator[Dispatch]:
        """Dispatch waiting jobs of the given queues, urgent ones first, then by deadline."""
        waiting = [name for name in names if name in self.queues]
        while waiting:
            waiting = [name for name in waiting if name in self.queues and self.queues[name].peek()]
            if not waiting:
                return
            name = min(waiting, key=self._queue_priority)
            job = self.queues[name].peek()
            dispatch = self.try_dispatch(job, now) if job else None
            if job is None or dispatch is None:
                waiting.remove(name)
                continue
            self.dequeue(job)
            yield dispatch

    def dispatch_waiting_at(self, upstream: str, now: float) -> Iterator[Dispatch]:
        """Dispatch waiting jobs after slots became free at an upstream."""
        names = self.served_queue_keys(upstream)
        if self._urgent_streak.get(upstream, 0) >= MAX_URGENT_STREAK:
            patient_heads = (self.queues[name].peek_class(False) for name in names)
            patient = [job for job in patient_heads if job is not None]
            if patient:
                job = min(patient, key=lambda job: job.deadline_at)
                limit = self._limit_of(self.deployment.upstreams[upstream])
                has_capacity = limit.free_slots(True, self.load.in_flight(upstream, now), now) >= 1
                dispatch = self.try_dispatch(job, now, granted=upstream if has_capacity else None)
                if dispatch is not None:
                    self.dequeue(job)
                    yield dispatch
        yield from self.dispatch_waiting(names, now)

    def served_queue_keys(self, upstream: str) -> list[str]:
        """Return the keys of the queues whose jobs the upstream can serve."""
        resident_names = {copy.name for copy in self.residency.residents(upstream)}
        return [
            key
            for key, queue in self.queues.items()
            if queue.name in resident_names
            or self.deployment.base_model_of(queue.name) in resident_names
        ]

    def estimate_wait_s(self, job: Job, candidates: list[Candidate]) -> float:
        """Return the expected queueing time in seconds of a job that is queued now."""
        queue = self.queues.get(job.queue_key)
        if queue is None:
            return 0.0
        ahead = queue.size(True) + (0 if job.request.urgent else queue.size(False))
        mean_output_tokens = self._output_tokens.get(job.request.name, DEFAULT_OUTPUT_TOKENS)
        upstreams = self.deployment.upstreams
        rate = (
            sum(upstreams[c.upstream].decode_tokens_per_s for c in candidates) / mean_output_tokens
        )
        return ahead * self.node_count / max(rate, 0.001)

    def on_attempt_ended(self, job: Job, now: float) -> None:
        """Remove the job's attempt from the load, the prefill backlog and the reservations."""
        attempt = job.attempt
        if attempt is None:
            return
        self.load.adjust_own_count(attempt.upstream, -1, now)
        if attempt.first_token_at is None:
            self._adjust_prefill_backlog(attempt, -1)
        if self._reserved.get(attempt.upstream) is job:
            del self._reserved[attempt.upstream]

    def record_first_token(self, job: Job, attempt: Attempt, now: float) -> None:
        """Update the in-flight limit and the slowness with the time to the first token."""
        attempt.first_token_at = now
        self.backoffs.record_progress(attempt.upstream, attempt.sent_at)
        self._adjust_prefill_backlog(attempt, -1)
        upstream = self.deployment.upstreams.get(attempt.upstream)
        model = self.base_model(job.request.name)
        if upstream is None or model is None:
            return
        took_s = now - attempt.sent_at
        idle_prefill_s = attempt.prefill_tokens / upstream.prefill_tokens_per_s
        target_s = max(model.first_token_s, 2 * idle_prefill_s)
        in_flight = self.load.in_flight(attempt.upstream, now)
        self._limit_of(upstream).record_first_token(took_s, target_s, in_flight, now)
        self.slowness.record_first_token(
            attempt.upstream, attempt.expected_first_token_s, took_s, now
        )

    def record_tokens(self, attempt: Attempt, count: int, now: float) -> None:
        """Add received tokens and sample the token gap every ``GAP_SAMPLE_TOKENS`` tokens.

        Samples are taken during a stream, so that a slow upstream is detected before streams end.
        """
        attempt.tokens += count
        new_tokens = attempt.tokens - attempt.gap_sampled_tokens
        upstream = self.deployment.upstreams.get(attempt.upstream)
        if attempt.first_token_at is None or new_tokens < GAP_SAMPLE_TOKENS or upstream is None:
            return
        attempt.gap_sampled_tokens = attempt.tokens
        observed_s = (now - attempt.first_token_at) / max(1, attempt.tokens - 1)
        expected_s = upstream.max_batch / upstream.decode_tokens_per_s
        self.slowness.record_token_gap(attempt.upstream, expected_s, observed_s)

    def record_output_length(self, name: str, tokens: int) -> None:
        """Update the mean output length of a model or adapter with a complete answer."""
        mean = self._output_tokens.get(name, DEFAULT_OUTPUT_TOKENS)
        self._output_tokens[name] = mean + OUTPUT_LENGTH_WEIGHT * (max(1, tokens) - mean)

    def dequeue(self, job: Job) -> None:
        """Remove a job from its queue."""
        queue = self.queues.get(job.queue_key)
        if queue is not None:
            queue.remove(job)
            if not len(queue):
                del self.queues[job.queue_key]

    def release_reservation(self, job: Job) -> None:
        """Release the upstreams that are reserved for a suspect."""
        for upstream in [
            name for name, reserved_for in self._reserved.items() if reserved_for is job
        ]:
            del self._reserved[upstream]
            self._reservation_revision += 1

    def _queue_priority(self, name: str) -> tuple[bool, float]:
        job = self.queues[name].peek()
        return (True, 0.0) if job is None else (not job.request.urgent, job.deadline_at)

    def _is_usable(self, job: Job, upstream: str, now: float) -> bool:
        if upstream in job.avoid or self._reserved.get(upstream, job) is not job:
            return False
        return not self.backoffs.is_backing_off(upstream, now)

    def _exceeds_token_gap(self, upstream: Upstream, target_gap_s: float) -> bool:
        expected_gap_s = upstream.max_batch / upstream.decode_tokens_per_s
        return expected_gap_s * self.slowness.token_gap_factor(upstream.name) > target_gap_s

    def _prefer_fast(
        self, job: Job, candidates: list[Candidate], available: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the available upstreams filtered by token gap.

        Urgent jobs avoid upstreams whose token gap exceeds the target while there are others, apart
        from single probes. Patient jobs go to slow upstreams first and leave the fast ones free.
        """
        slow = [c for c in available if c.slow]
        if not slow:
            return available
        if not job.request.urgent:
            return slow
        for candidate in slow:
            name = candidate.upstream
            if (
                self.load.own_count(name)
                or now - self._probed_at.get(name, 0.0) < SLOW_PROBE_INTERVAL_S
            ):
                continue
            self._probed_at[name] = now
            return [candidate]
        fast = [c for c in available if not c.slow]
        if fast or all(c.slow for c in candidates):
            return fast or slow
        max_wait_s = FAST_WAIT_SHARE * (job.deadline_at - job.submitted_at)
        return slow if now - job.submitted_at >= max_wait_s else []

    def _limit_of(self, upstream: Upstream) -> InflightLimit:
        if upstream.name not in self.limits:
            self.limits[upstream.name] = InflightLimit(upstream.max_batch)
        return self.limits[upstream.name]

    def _free_slots(self, job: Job, upstream: Upstream, in_flight: float, now: float) -> float:
        return self._limit_of(upstream).free_slots(job.request.urgent, in_flight, now)

    def _estimate_inputs(
        self,
        job: Job,
        placement: Placement,
        upstream: Upstream,
        in_flight: float,
        slowness: float,
        mean_output_tokens: float,
    ) -> EstimateInputs:
        return EstimateInputs(
            upstream,
            in_flight,
            self._prefill_backlog.get(placement.upstream, 0.0),
            self.prefix.cached_tokens(placement.upstream, job.request.prefix_hashes),
            slowness,
            upstream.domain == self._node.domain,
            (
                ADAPTER_PENALTY_S + self.deployment.store.adapter_load_s
                if placement.load_adapter
                else 0.0
            ),
            mean_output_tokens,
        )

    def _start_attempt(self, job: Job, chosen: Candidate, now: float) -> None:
        request = job.request
        upstream = self.deployment.upstreams[chosen.upstream]
        cached_tokens = self.prefix.cached_tokens(chosen.upstream, request.prefix_hashes)
        uncached_tokens = max(1.0, request.prompt_tokens + job.tokens_done - cached_tokens)
        placement = Placement(chosen.upstream, chosen.version, chosen.load_adapter)
        mean_output_tokens = self._output_tokens.get(request.name, DEFAULT_OUTPUT_TOKENS)
        in_flight = self.load.in_flight(chosen.upstream, now)
        expected_s = estimate_first_token_s(
            request.prompt_tokens + job.tokens_done,
            self._estimate_inputs(job, placement, upstream, in_flight, 1.0, mean_output_tokens),
        )
        job.attempt = Attempt(
            chosen.upstream, chosen.version, now, expected_s, uncached_tokens, job.alone
        )
        self._adjust_prefill_backlog(job.attempt, 1)
        self.load.adjust_own_count(chosen.upstream, 1, now)
        self.prefix.record_dispatch(chosen.upstream, request.prefix_hashes)
        self.release_reservation(job)
        if job.alone:
            self._reserved[chosen.upstream] = job
        streak = self._urgent_streak.get(chosen.upstream, 0)
        self._urgent_streak[chosen.upstream] = streak + 1 if request.urgent else 0

    def _reserve(self, job: Job, candidates: list[Candidate]) -> None:
        """Reserve the upstream with the fewest requests of this node for a suspect."""
        if candidates and not any(reserved_for is job for reserved_for in self._reserved.values()):
            least_loaded = min(
                candidates, key=lambda c: (self.load.own_count(c.upstream), c.estimate_s)
            )
            self._reserved[least_loaded.upstream] = job
            self._reservation_revision += 1

    def _adjust_prefill_backlog(self, attempt: Attempt, sign: int) -> None:
        backlog = self._prefill_backlog.get(attempt.upstream, 0.0) + sign * attempt.prefill_tokens
        self._prefill_backlog[attempt.upstream] = max(0.0, backlog)
