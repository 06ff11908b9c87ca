"""The choice of an upstream for one request."""

from random import Random

from ..fleet import Engine, FleetConfig, UpstreamDirectory, UpstreamEntry
from ..peers import rendezvous_owner
from ..routing import UpstreamState
from ..routing.backoff_tracker import BackoffTracker
from .fleet_residency import FleetResidency
from .gap_book import GapBook
from .health_book import HealthBook
from .job import Flight, Job
from .load_view import LoadView
from .pace_book import PaceBook
from .prefix_book import PrefixBook

__all__ = ["PLAIN_START_S", "UpstreamChoice"]

# Share of an engine's slots and memory up to which requests are sent to it; the rest absorbs what
# other nodes send at the same moment.
SLOT_SHARE = 0.9
MEMORY_SHARE = 0.92
# Requests in flight at a plain upstream, in multiples of its slots; more would only queue there.
PLAIN_LIMIT = 2.5
# Costs in seconds that are added to estimates: a request to another failure domain pays for its
# bytes, and the upstream that all nodes would choose for a prompt gets a small advantage.
OTHER_DOMAIN_COST_S = 0.006
PREFIX_OWNER_BONUS_S = 0.015
# Share of a prompt's shared parts that this upstream is expected to keep where this node has not
# sent it the prompt before: the other nodes have. The rest covers first prompts and evictions.
OWNER_KEPT_SHARE = 0.7
# Spread of equal costs, in seconds, so that nodes do not all choose the same upstream.
TIE_SPREAD_S = 0.001
# Slowing by each request that decodes beside a prefill, relative to the prefill alone.
DECODE_SHARE = 0.008
# Service time of a plain request that is assumed first, in seconds, and the weight of one answer.
PLAIN_START_S = 0.05
PLAIN_WEIGHT = 0.05


class UpstreamChoice:
    """Finds the upstream that is expected to begin its answer first.

    ``isolated`` limits the choice to the node's own failure domain.
    """

    def __init__(
        self, domain: str, directory: UpstreamDirectory, residency: FleetResidency, rng: Random
    ) -> None:
        self.isolated = False
        self.config: FleetConfig | None = None
        self.load = LoadView()
        self.pace = PaceBook()
        self.prefix = PrefixBook()
        self.gaps = GapBook()
        self.health = HealthBook()
        self.pauses = BackoffTracker()
        self._domain = domain
        self._directory = directory
        self._residency = residency
        self._rng = rng
        self._plain_s: dict[str, float] = {}

    def choose(self, job: Job, now: float) -> Flight | None:
        """Return the run with the least cost, None where no upstream has room."""
        best: tuple[float, Flight] | None = None
        found = self.candidates(job, now)
        owner = self._prefix_owner(job, found)
        for entry in found:
            planned = self._plan(job, entry, now, entry.instance == owner)
            if planned is None:
                continue
            cost_s = planned.expected_s + self.health.penalty_s(entry.instance, now)
            if entry.domain != self._domain:
                cost_s += OTHER_DOMAIN_COST_S
            if entry.instance == owner:
                cost_s -= PREFIX_OWNER_BONUS_S
            cost_s += self._gap_cost_s(job, planned)
            cost_s += TIE_SPREAD_S * self._rng.random()
            if best is None or cost_s < best[0]:
                best = (cost_s, planned)
        return best[1] if best is not None else None

    def _gap_cost_s(self, job: Job, planned: Flight) -> float:
        """Return what the chance of a gap that makes a stream late costs, in seconds: an answer
        that is sure to be late by a gap is as bad as one that begins late.
        """
        route = job.route
        chance = self.gaps.chance(planned.pace, job.max_output_tokens, route.gap_target_s)
        return chance * route.target_latency_s

    def _plan(self, job: Job, entry: UpstreamEntry, now: float, is_owner: bool) -> Flight | None:
        """Return the run of a job at an upstream, None where it has no room. ``is_owner`` says that
        all nodes send prompts that begin like this one there.
        """
        load = self.load.at(entry.instance, now)
        engine = self.engine(job.service)
        if engine is None or not job.model:
            if load.requests >= PLAIN_LIMIT * max(1, entry.slots):
                return None
            mean_s = self._plain_s.get(entry.instance, PLAIN_START_S)
            ahead = max(0.0, load.requests + 1 - entry.slots)
            expected_s = mean_s * (1.0 + 0.3 * load.requests / entry.slots + ahead / entry.slots)
            return Flight(entry.instance, now, 0.0, 0.0, expected_s)
        if load.requests >= SLOT_SHARE * engine.batch_slots:
            return None
        tokens = job.prompt_tokens + job.max_output_tokens
        if load.requests and load.cache_tokens + tokens > MEMORY_SHARE * engine.cache_tokens:
            return None
        kept = self.prefix.kept_tokens(entry.instance, job.model, job.adapter, job.parts)
        assumed = 0.0
        if is_owner:
            shared = sum(tokens for _, tokens in job.parts[:-1])
            assumed = max(0.0, OWNER_KEPT_SHARE * shared - kept)
        fresh = max(1.0, job.prompt_tokens - kept - assumed)
        prefill_s = self.pace.expected_s(entry.instance, job.model, fresh)
        busy = 1.0 + DECODE_SHARE * load.requests
        return Flight(
            entry.instance,
            now,
            prefill_s,
            float(tokens),
            (prefill_s + load.ahead_s(job.route.priority)) * busy,
            is_assumed=assumed > 0.0,
            pace=self.pace.factor(entry.instance, job.model),
        )

    def candidates(self, job: Job, now: float) -> list[UpstreamEntry]:
        """Return the upstreams that a job may be sent to, whether or not they have room."""
        found = [
            entry
            for entry in self.holders(job, now)
            if not self.pauses.is_backing_off(entry.instance, now)
        ]
        fresh = [entry for entry in found if entry.instance not in job.avoid]
        if not fresh and found and not job.may_have_run:
            # Every upstream has declined this request once; a pause keeps them apart.
            job.avoid.clear()
            return found
        return fresh

    def holders(self, job: Job, now: float) -> list[UpstreamEntry]:
        """Return the live upstreams that could run a job."""
        entries = self._directory.of_service(job.service)
        return [entry for entry in entries if self._can_run(entry, job, now)]

    def has_holder(self, job: Job, now: float) -> bool:
        """Return whether a live upstream could run a job."""
        entries = self._directory.of_service(job.service)
        return any(self._can_run(entry, job, now) for entry in entries)

    def _can_run(self, entry: UpstreamEntry, job: Job, now: float) -> bool:
        """Whether a live upstream could run a job. One that has just crashed holds nothing,
        whatever its registration says, so that a job whose models it held is waited for elsewhere.
        """
        if entry.state is not UpstreamState.LIVE:
            return False
        if self.isolated and entry.domain != self._domain:
            return False
        if not job.model:
            return True
        if self.pauses.is_crashed(entry.instance, now):
            return False
        return self._residency.holds(entry.instance, job.model, job.adapter, now)

    def _prefix_owner(self, job: Job, found: list[UpstreamEntry]) -> str | None:
        """Return the upstream that every node would choose for prompts that begin like this one."""
        if len(job.parts) < 2 or len(found) < 2:
            return None
        shared = "/".join(part for part, _ in job.parts[:-1])
        key = f"{job.model}/{job.adapter}/{shared}"
        return rendezvous_owner(key, (entry.instance for entry in found))

    def engine(self, service: str) -> Engine | None:
        """Return what the engines of a service can hold, None for a plain service."""
        found = self.config.services.get(service) if self.config else None
        return found.engine if found else None

    def note_plain(self, instance: str, took_s: float) -> None:
        """Take the time of one answer of a plain upstream, in seconds."""
        mean_s = self._plain_s.get(instance, PLAIN_START_S)
        self._plain_s[instance] = mean_s + PLAIN_WEIGHT * (took_s - mean_s)

    def forget(self, instance: str) -> None:
        """Drop what was learned about an upstream that is gone or restarted."""
        self.prefix.forget(instance)
        self.health.forget(instance)
        self.pace.forget(instance)
        self.pauses.record_live(instance)
        self._plain_s.pop(instance, None)
