"""The two baselines of docs/design.md 1.3, the second with two definitions of a miss.

The baselines read the exact current state of every engine, which a real node can't. They load a
missing model on demand and evict the least recently used idle models. Callers give up if they have
no first token after ``CALLER_TIMEOUT_S`` seconds, or after their own target if that is longer.
"""

from .engine import Attempt, Engine
from .fleet import Fleet
from .trace import Arrival

__all__ = ["LeastOutstanding", "LeastOutstandingSpill", "RoundRobin"]

CALLER_TIMEOUT_S = 10.0


class _LoadOnMissPolicy:
    """Base class: sends requests, resends those that lost their engine, and loads models on a miss.

    Idle models are evicted in the order of their last use, the least recently used first.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._engine_of: dict[str, Engine] = {}
        self._attempts: dict[str, Attempt] = {}

    def start(self, until: float) -> None:
        """Do nothing: baselines have no periodic work."""

    def on_arrival(self, arrival: Arrival) -> None:
        """Send a request and schedule the caller's timeout."""
        self._send(arrival)
        clock = self.fleet.clock
        timeout_s = max(CALLER_TIMEOUT_S, arrival.first_token_by - arrival.at)
        clock.at(arrival.at + timeout_s, lambda: self._on_caller_timeout(arrival))

    def on_engines_lost(self, engines: list[Engine]) -> None:
        """Resend the requests that ran or waited there, from their first token."""
        for engine in engines:
            for attempt in (*engine.queue, *engine.running.values()):
                engine.cancel(attempt.arrival.request_id)
                self._forget(attempt)
                self._send(attempt.arrival)

    def on_engines_recovered(self, engines: list[Engine]) -> None:
        """Do nothing: each choice of an engine reads the current state."""

    def select_engine(self, arrival: Arrival) -> Engine | None:
        """Return the engine for a request, or None, after starting a load if one is needed."""
        raise NotImplementedError

    def load(self, engine: Engine, model: str) -> bool:
        """Load a model, evicting idle models, the least recently used first.

        Return False, without evicting any, if the memory does not suffice or moves are disabled.
        """
        if not self.fleet.moves_allowed:
            return False
        needed_mib = self.fleet.deployment.models[model].memory_mib
        idle = sorted(
            (name for name in engine.models if not engine.uses(name)), key=engine.models.get
        )
        used = sum(
            self.fleet.deployment.models[name].memory_mib
            for name in (*engine.models, *engine.loading)
        )
        evicted = []
        while used + needed_mib > engine.upstream.memory_mib and idle:
            evicted.append(idle.pop(0))
            used -= self.fleet.deployment.models[evicted[-1]].memory_mib
        if used + needed_mib > engine.upstream.memory_mib:
            return False
        for name in evicted:
            engine.unload(name)
        return engine.load(model)

    def _send(self, arrival: Arrival) -> None:
        engine = self.select_engine(arrival)
        if engine is None:
            self.fleet.results.record_refusal("not_resident")
            return
        attempt = Attempt(arrival, 0, self._on_first_token, self._on_finished)
        self._engine_of[arrival.request_id] = engine
        self._attempts[arrival.request_id] = attempt
        engine.submit(attempt)

    def _on_caller_timeout(self, arrival: Arrival) -> None:
        attempt = self._attempts.get(arrival.request_id)
        if attempt is not None and attempt.first_token_at is None:
            self._engine_of[arrival.request_id].cancel(arrival.request_id)
            self._forget(attempt)
            self.fleet.results.record_refusal("caller_gave_up")

    def _forget(self, attempt: Attempt) -> None:
        self._attempts.pop(attempt.arrival.request_id, None)
        self._engine_of.pop(attempt.arrival.request_id, None)

    def _on_first_token(self, attempt: Attempt) -> None:
        self.fleet.results.record_first_token(attempt.arrival, self.fleet.clock.now)

    def _on_finished(self, attempt: Attempt) -> None:
        self._forget(attempt)
        self.fleet.results.record_finish(attempt, self.fleet.clock.now)


class RoundRobin(_LoadOnMissPolicy):
    """Selects the engines in turn and loads the model where it is missing.

    An engine that can't free enough memory for the model, because its models are in use, is
    skipped.
    """

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._next_index = 0

    def select_engine(self, arrival: Arrival) -> Engine | None:
        """Return the next engine that has the model or can load it."""
        engines = list(self.fleet.engines.values())
        for _ in engines:
            engine = engines[self._next_index % len(engines)]
            self._next_index += 1
            if not engine.reachable:
                continue
            has_model = arrival.base in engine.models or arrival.base in engine.loading
            if has_model or self.load(engine, arrival.base):
                return engine
        return None


class LeastOutstanding(_LoadOnMissPolicy):
    """Selects the resident copy with the fewest outstanding requests.

    A miss is a request whose model is resident on no engine. Every model is resident once at the
    start and stays so, so this baseline moves models only after the loss of an engine.
    """

    def select_engine(self, arrival: Arrival) -> Engine | None:
        """Return the engine with the least busy copy, or else one that loads the model."""
        reachable = self.fleet.reachable_engines()
        resident = [engine for engine in reachable if arrival.base in engine.models]
        loading = [engine for engine in reachable if arrival.base in engine.loading]
        if not loading and self.is_miss(resident):
            others = [engine for engine in reachable if engine not in resident]
            for engine in sorted(others, key=lambda engine: engine.outstanding):
                if self.load(engine, arrival.base):
                    loading.append(engine)
                    break
        return min(resident or loading, key=lambda engine: engine.outstanding, default=None)

    def is_miss(self, resident: list[Engine]) -> bool:
        """Return whether a load should be started, given the engines with a copy."""
        return not resident


class LeastOutstandingSpill(LeastOutstanding):
    """A variant of ``LeastOutstanding`` that adds copies under load.

    A request also counts as a miss if the batches of all copies are full. A miss starts a load on
    the least busy engine without the model.
    """

    def is_miss(self, resident: list[Engine]) -> bool:
        """Return whether the batches of all copies are full."""
        return not any(engine.outstanding < engine.upstream.max_batch for engine in resident)
