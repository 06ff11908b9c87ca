"""Which upstream a waiting request goes to, and when.

Keeps for each upstream the estimated load, the in-flight limit, the real speed and the prefix
cache, and places jobs where there is room.
"""

from collections.abc import Iterable, Iterator
from random import Random

from ..settings import Deployment, Model, Upstream
from .actions import Dispatch
from .choice import Candidate, Conditions, choose, estimate_first_token_s, keep_timely
from .job import Flight, Job
from .limit import InflightLimit
from .load import LoadBook
from .messages import NodeIdentity
from .pauses import PauseBook
from .prefix import PrefixView
from .residency import Placement, ResidencyView
from .speed import SpeedBook
from .waiting import ModelQueue

__all__ = ["Scheduler"]

# Candidates looked at for one choice; more would cost time and add nothing to a draw of two.
MAX_CANDIDATES = 16
# Keeps requests of an adapter on the upstreams that have it, unless they are much busier.
ADAPTER_PENALTY_S = 0.05
# After this many urgent requests in a row, an upstream's next place goes to patient work if any
# waits, so that it keeps a sixteenth of the capacity however long the urgent demand lasts.
URGENT_RUN = 15
# An upstream whose tokens come too slowly gets one request of this node in this time, to notice
# when it has recovered.
PROBE_EVERY_S = 15.0
# A waiting request is sent to such an upstream after this share of the time to its deadline: a
# slow answer is better than none.
WAIT_FOR_FAST = 0.5
# Tokens after which the time between them is noted, over and over during a stream.
GAP_TOKENS = 16
DEFAULT_OUTPUT_TOKENS = 128.0
OUTPUT_WEIGHT = 0.02


class Scheduler:
    """Places jobs on upstreams. Times are in seconds."""

    def __init__(self, deployment: Deployment, node: NodeIdentity, rng: Random) -> None:
        self.deployment = deployment
        self.residency = ResidencyView(deployment)
        self.load = LoadBook()
        self.speed = SpeedBook()
        self.prefix = PrefixView()
        self.limits: dict[str, InflightLimit] = {}
        self.queues: dict[str, ModelQueue] = {}
        self.nodes = 1
        self._node = node
        self._rng = rng
        self._prefill: dict[str, float] = {}
        self.pauses = PauseBook()
        self._reserved: dict[str, Job] = {}
        self._urgent_run: dict[str, int] = {}
        self._output_tokens: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        # Early refusal, placing and making room ask for the same candidates within one input.
        self._last: tuple[Job, tuple[float, ...], list[Candidate]] | None = None
        self._holds = 0

    def set_deployment(self, deployment: Deployment) -> None:
        """Use another revision of the deployment."""
        for name, upstream in deployment.upstreams.items():
            if self.deployment.upstreams.get(name) != upstream:
                self.limits.pop(name, None)
        self.deployment = deployment
        self.residency.set_deployment(deployment)

    def model(self, name: str) -> Model | None:
        """Return the settings of the base model of a model or adapter."""
        return self.deployment.models.get(self.deployment.base_model_of(name) or "")

    def queue(self, job: Job) -> ModelQueue:
        """Return the queue that a job waits in."""
        key = job.queue_key
        if key not in self.queues:
            limit = self.deployment.site.queue_limit
            self.queues[key] = ModelQueue(job.request.name, limit)
        return self.queues[key]

    def forget(self, upstream: str) -> None:
        """Drop what was learned about an upstream that is gone or crashed."""
        self.load.forget_upstream(upstream)
        self.prefix.forget(upstream)
        self.speed.forget(upstream)
        self.limits.pop(upstream, None)

    def candidates(self, job: Job, now: float) -> list[Candidate]:
        """Return the upstreams that can serve a job, with estimates, whether or not they have
        room."""
        holds = self._holds + self.pauses.changes
        stamp = (now, self.load.changes, self.residency.changes, holds, len(job.avoid))
        if self._last is None or self._last[0] is not job or self._last[1] != stamp:
            self._last = job, stamp, self._find_candidates(job, now)
        return self._last[2]

    def _find_candidates(self, job: Job, now: float) -> list[Candidate]:
        request = job.request
        pinned = job.version if job.tokens_done else None
        places = self.residency.placements(request.name, pinned)
        if len(places) > MAX_CANDIDATES:
            places = self._rng.sample(places, MAX_CANDIDATES)
        output = self._output_tokens.get(request.name, DEFAULT_OUTPUT_TOKENS)
        model = self.model(request.name)
        target_gap_s = model.token_gap_s if model else float("inf")
        found = []
        for place in places:
            upstream = self.deployment.upstreams.get(place.upstream)
            if upstream is None or not self._may_use(job, place.upstream, now):
                continue
            in_flight = self.load.in_flight(place.upstream, now)
            slowness = self.speed.factor(place.upstream, now)
            conditions = self._conditions(job, place, upstream, in_flight, slowness, output)
            room = self._room(job, upstream, in_flight, now)
            found.append(
                Candidate(
                    place.upstream,
                    place.version,
                    place.load_adapter,
                    estimate_first_token_s(request.prompt_tokens + job.tokens_done, conditions),
                    room,
                    self._is_slow(upstream, target_gap_s),
                )
            )
        if not found and job.avoid and now >= job.avoid_until:
            # Nothing else is left, so upstreams that failed this job may be tried again.
            job.avoid.clear()
        return found

    def place(self, job: Job, now: float, granted: str | None = None) -> Dispatch | None:
        """Send a job to an upstream with room, or return None.

        ``granted`` names an upstream whose next place goes to patient work.
        """
        known = self.candidates(job, now)
        open_now = [c for c in known if c.room >= 1 or c.upstream == granted]
        if job.alone:
            open_now = [c for c in open_now if not self.load.own(c.upstream)]
            if not open_now:
                self._reserve(job, known)
                return None
        if not job.tokens_done:
            open_now = keep_timely(known, open_now, job.deadline_at - now)
        open_now = self._prefer_fast(job, known, open_now, now)
        if not open_now:
            return None
        chosen = choose(open_now, self._rng)
        self._launch(job, chosen, now)
        explanation = (
            f"{chosen.upstream}: estimate {chosen.estimate_s * 1000:.0f} ms, room {chosen.room:.0f}"
            f", {len(open_now)} of {len(known)} candidates had room"
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

    def pump(self, names: Iterable[str], now: float) -> Iterator[Dispatch]:
        """Place waiting jobs of the given names, urgent ones and early deadlines first."""
        waiting = [name for name in names if name in self.queues]
        while waiting:
            waiting = [name for name in waiting if name in self.queues and self.queues[name].next()]
            if not waiting:
                return
            name = min(waiting, key=self._turn)
            job = self.queues[name].next()
            dispatch = self.place(job, now) if job else None
            if job is None or dispatch is None:
                waiting.remove(name)
                continue
            self.take_out(job)
            yield dispatch

    def pump_upstream(self, upstream: str, now: float) -> Iterator[Dispatch]:
        """Place waiting jobs after room appeared at an upstream."""
        names = self.waiting_at(upstream)
        if self._urgent_run.get(upstream, 0) >= URGENT_RUN:
            heads = (self.queues[name].head(False) for name in names)
            patient = [job for job in heads if job is not None]
            if patient:
                job = min(patient, key=lambda job: job.deadline_at)
                limit = self._limit(self.deployment.upstreams[upstream])
                has_room = limit.room(True, self.load.in_flight(upstream, now), now) >= 1
                dispatch = self.place(job, now, granted=upstream if has_room else None)
                if dispatch is not None:
                    self.take_out(job)
                    yield dispatch
        yield from self.pump(names, now)

    def waiting_at(self, upstream: str) -> list[str]:
        """Return the names with waiting jobs that the upstream could serve."""
        held = {copy.name for copy in self.residency.residents(upstream)}
        return [
            key
            for key, queue in self.queues.items()
            if queue.name in held or self.deployment.base_model_of(queue.name) in held
        ]

    def wait_s(self, job: Job, known: list[Candidate]) -> float:
        """Return how long a job that joins the queue now is expected to wait for its turn."""
        queue = self.queues.get(job.queue_key)
        if queue is None:
            return 0.0
        ahead = queue.size(True) + (0 if job.request.urgent else queue.size(False))
        output = self._output_tokens.get(job.request.name, DEFAULT_OUTPUT_TOKENS)
        upstreams = self.deployment.upstreams
        rate = sum(upstreams[c.upstream].decode_tokens_per_s for c in known) / output
        return ahead * self.nodes / max(rate, 0.001)

    def land(self, job: Job, now: float) -> None:
        """Count the end of a job's flight."""
        flight = job.flight
        if flight is None:
            return
        self.load.change_own(flight.upstream, -1, now)
        if flight.first_token_at is None:
            self._add_prefill(flight, -1)
        if self._reserved.get(flight.upstream) is job:
            del self._reserved[flight.upstream]

    def note_first_token(self, job: Job, flight: Flight, now: float) -> None:
        """Learn from one time to first token."""
        flight.first_token_at = now
        self.pauses.note_progress(flight.upstream, flight.sent_at)
        self._add_prefill(flight, -1)
        upstream = self.deployment.upstreams.get(flight.upstream)
        model = self.model(job.request.name)
        if upstream is None or model is None:
            return
        took_s = now - flight.sent_at
        lone_s = flight.prefill_tokens / upstream.prefill_tokens_per_s
        target_s = max(model.first_token_s, 2 * lone_s)
        in_flight = self.load.in_flight(flight.upstream, now)
        self._limit(upstream).note(took_s, target_s, in_flight, now)
        self.speed.note(flight.upstream, flight.expected_s, took_s, now)

    def note_tokens(self, flight: Flight, count: int, now: float) -> None:
        """Learn from the time between tokens, during a stream and not only at its end."""
        flight.tokens += count
        fresh = flight.tokens - flight.gap_noted_at
        upstream = self.deployment.upstreams.get(flight.upstream)
        if flight.first_token_at is None or fresh < GAP_TOKENS or upstream is None:
            return
        flight.gap_noted_at = flight.tokens
        observed_s = (now - flight.first_token_at) / max(1, flight.tokens - 1)
        expected_s = upstream.max_batch / upstream.decode_tokens_per_s
        self.speed.note_gap(flight.upstream, expected_s, observed_s)

    def note_output(self, name: str, tokens: int) -> None:
        """Learn the length of a complete answer."""
        mean = self._output_tokens.get(name, DEFAULT_OUTPUT_TOKENS)
        self._output_tokens[name] = mean + OUTPUT_WEIGHT * (max(1, tokens) - mean)

    def take_out(self, job: Job) -> None:
        """Remove a job from its queue."""
        queue = self.queues.get(job.queue_key)
        if queue is not None:
            queue.remove(job)
            if not len(queue):
                del self.queues[job.queue_key]

    def release(self, job: Job) -> None:
        """Give up an upstream that was kept free for a suspect that no longer needs it."""
        for upstream in [name for name, held in self._reserved.items() if held is job]:
            del self._reserved[upstream]
            self._holds += 1

    def _turn(self, name: str) -> tuple[bool, float]:
        job = self.queues[name].next()
        return (True, 0.0) if job is None else (not job.request.urgent, job.deadline_at)

    def _may_use(self, job: Job, upstream: str, now: float) -> bool:
        if upstream in job.avoid or self._reserved.get(upstream, job) is not job:
            return False
        return not self.pauses.is_paused(upstream, now)

    def _is_slow(self, upstream: Upstream, target_gap_s: float) -> bool:
        gap_s = upstream.max_batch / upstream.decode_tokens_per_s
        return gap_s * self.speed.gap_factor(upstream.name) > target_gap_s

    def _prefer_fast(
        self, job: Job, known: list[Candidate], open_now: list[Candidate], now: float
    ) -> list[Candidate]:
        """Keep urgent requests from upstreams whose tokens come too slowly, as far as there are
        others. Patient ones, which do not mind, go there first and leave the fast ones free."""
        slow = [c for c in open_now if c.slow]
        if not slow:
            return open_now
        if not job.request.urgent:
            return slow
        for candidate in slow:
            name = candidate.upstream
            if self.load.own(name) or now - self._probed_at.get(name, 0.0) < PROBE_EVERY_S:
                continue
            self._probed_at[name] = now
            return [candidate]
        fast = [c for c in open_now if not c.slow]
        if fast or all(c.slow for c in known):
            return fast or slow
        patience_s = WAIT_FOR_FAST * (job.deadline_at - job.submitted_at)
        return slow if now - job.submitted_at >= patience_s else []

    def _limit(self, upstream: Upstream) -> InflightLimit:
        if upstream.name not in self.limits:
            self.limits[upstream.name] = InflightLimit(upstream.max_batch)
        return self.limits[upstream.name]

    def _room(self, job: Job, upstream: Upstream, in_flight: float, now: float) -> float:
        return self._limit(upstream).room(job.request.urgent, in_flight, now)

    def _conditions(
        self,
        job: Job,
        place: Placement,
        upstream: Upstream,
        in_flight: float,
        slowness: float,
        output: float,
    ) -> Conditions:
        return Conditions(
            upstream,
            in_flight,
            self._prefill.get(place.upstream, 0.0),
            self.prefix.cached_tokens(place.upstream, job.request.prefix_hashes),
            slowness,
            upstream.domain == self._node.domain,
            ADAPTER_PENALTY_S + self.deployment.store.adapter_load_s if place.load_adapter else 0.0,
            output,
        )

    def _launch(self, job: Job, chosen: Candidate, now: float) -> None:
        request = job.request
        upstream = self.deployment.upstreams[chosen.upstream]
        cached = self.prefix.cached_tokens(chosen.upstream, request.prefix_hashes)
        fresh = max(1.0, request.prompt_tokens + job.tokens_done - cached)
        place = Placement(chosen.upstream, chosen.version, chosen.load_adapter)
        output = self._output_tokens.get(request.name, DEFAULT_OUTPUT_TOKENS)
        in_flight = self.load.in_flight(chosen.upstream, now)
        expected = estimate_first_token_s(
            request.prompt_tokens + job.tokens_done,
            self._conditions(job, place, upstream, in_flight, 1.0, output),
        )
        job.flight = Flight(chosen.upstream, chosen.version, now, expected, fresh, job.alone)
        self._add_prefill(job.flight, 1)
        self.load.change_own(chosen.upstream, 1, now)
        self.prefix.note_dispatch(chosen.upstream, request.prefix_hashes)
        self.release(job)
        if job.alone:
            self._reserved[chosen.upstream] = job
        run = self._urgent_run.get(chosen.upstream, 0)
        self._urgent_run[chosen.upstream] = run + 1 if request.urgent else 0

    def _reserve(self, job: Job, known: list[Candidate]) -> None:
        """Keep the upstream with the fewest own requests free for a suspect."""
        if known and not any(held is job for held in self._reserved.values()):
            emptiest = min(known, key=lambda c: (self.load.own(c.upstream), c.estimate_s))
            self._reserved[emptiest.upstream] = job
            self._holds += 1

    def _add_prefill(self, flight: Flight, sign: int) -> None:
        backlog = self._prefill.get(flight.upstream, 0.0) + sign * flight.prefill_tokens
        self._prefill[flight.upstream] = max(0.0, backlog)
