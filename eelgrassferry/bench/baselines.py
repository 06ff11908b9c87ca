"""The two baselines of docs/design.md 1.3, the second with two definitions of a miss.

The baselines read the exact current state of every engine, which a real node can't. They load a
missing model on demand and evict the least recently used idle models. Callers give up if they have
no first token after ``GIVE_UP_S`` seconds, or after their own target if that is longer.
"""

from .engine import Engine, Run
from .fleet import Fleet
from .trace import Arrival

__all__ = ["LeastOutstanding", "LeastOutstandingSpill", "RoundRobin"]

GIVE_UP_S = 10.0


class _LoadOnMiss:
    """Base class: sends requests, resends those that lost their engine, and loads models on a miss.

    Idle models are evicted in the order of their last use, the least recently used first.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._at: dict[str, Engine] = {}
        self._runs: dict[str, Run] = {}

    def start(self, until: float) -> None:
        """Do nothing: baselines have no periodic work."""

    def arrive(self, arrival: Arrival) -> None:
        """Send a request and schedule the caller's timeout."""
        self._send(arrival)
        clock = self.fleet.clock
        patience_s = max(GIVE_UP_S, arrival.first_token_by - arrival.at)
        clock.at(arrival.at + patience_s, lambda: self._give_up(arrival))

    def engines_lost(self, engines: list[Engine]) -> None:
        """Resend the requests that ran or waited there, from their first token."""
        for engine in engines:
            for run in (*engine.queue, *engine.running.values()):
                engine.cancel(run.arrival.request_id)
                self._forget(run)
                self._send(run.arrival)

    def engines_back(self, engines: list[Engine]) -> None:
        """Do nothing: each choice of an engine reads the current state."""

    def pick(self, arrival: Arrival) -> Engine | None:
        """Return the engine for a request, or None, after starting a load if one is needed."""
        raise NotImplementedError

    def load(self, engine: Engine, model: str) -> bool:
        """Load a model, evicting idle models, the least recently used first.

        Return False, without evicting any, if the memory does not suffice or moves are disabled.
        """
        if not self.fleet.moves_allowed:
            return False
        need = self.fleet.deployment.models[model].memory_mib
        idle = sorted(
            (name for name in engine.models if not engine.uses(name)), key=engine.models.get
        )
        used = sum(
            self.fleet.deployment.models[name].memory_mib
            for name in (*engine.models, *engine.loading)
        )
        evicted = []
        while used + need > engine.upstream.memory_mib and idle:
            evicted.append(idle.pop(0))
            used -= self.fleet.deployment.models[evicted[-1]].memory_mib
        if used + need > engine.upstream.memory_mib:
            return False
        for name in evicted:
            engine.unload(name)
        return engine.load(model)

    def _send(self, arrival: Arrival) -> None:
        engine = self.pick(arrival)
        if engine is None:
            self.fleet.tally.note_refusal("not_resident")
            return
        run = Run(arrival, 0, self._first_token, self._finish)
        self._at[arrival.request_id] = engine
        self._runs[arrival.request_id] = run
        engine.submit(run)

    def _give_up(self, arrival: Arrival) -> None:
        run = self._runs.get(arrival.request_id)
        if run is not None and run.first_token_at is None:
            self._at[arrival.request_id].cancel(arrival.request_id)
            self._forget(run)
            self.fleet.tally.note_refusal("caller_gave_up")

    def _forget(self, run: Run) -> None:
        self._runs.pop(run.arrival.request_id, None)
        self._at.pop(run.arrival.request_id, None)

    def _first_token(self, run: Run) -> None:
        self.fleet.tally.note_first_token(run.arrival, self.fleet.clock.now)

    def _finish(self, run: Run) -> None:
        self._forget(run)
        self.fleet.tally.note_finish(run, self.fleet.clock.now)


class RoundRobin(_LoadOnMiss):
    """Selects the engines in turn and loads the model where it is missing.

    An engine that can't free enough memory for the model, because its models are in use, is
    skipped.
    """

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._turn = 0

    def pick(self, arrival: Arrival) -> Engine | None:
        """Return the next engine that has the model or can load it."""
        engines = list(self.fleet.engines.values())
        for _ in engines:
            engine = engines[self._turn % len(engines)]
            self._turn += 1
            if not engine.reachable:
                continue
            here = arrival.base in engine.models or arrival.base in engine.loading
            if here or self.load(engine, arrival.base):
                return engine
        return None


class LeastOutstanding(_LoadOnMiss):
    """Selects the resident copy with the fewest outstanding requests.

    A miss is a request whose model is resident on no engine. Every model is resident once at the
    start and stays so, so this baseline moves models only after the loss of an engine.
    """

    def pick(self, arrival: Arrival) -> Engine | None:
        """Return the engine with the least busy copy, or else one that loads the model."""
        live = self.fleet.live()
        holding = [engine for engine in live if arrival.base in engine.models]
        coming = [engine for engine in live if arrival.base in engine.loading]
        if not coming and self.is_miss(holding):
            others = [engine for engine in live if engine not in holding]
            for engine in sorted(others, key=lambda engine: engine.outstanding):
                if self.load(engine, arrival.base):
                    coming.append(engine)
                    break
        return min(holding or coming, key=lambda engine: engine.outstanding, default=None)

    def is_miss(self, holding: list[Engine]) -> bool:
        """Return whether a load should be started, given the engines with a copy."""
        return not holding


class LeastOutstandingSpill(LeastOutstanding):
    """A variant of ``LeastOutstanding`` that adds copies under load.

    A request also counts as a miss if the batches of all copies are full. A miss starts a load on
    the least busy engine without the model.
    """

    def is_miss(self, holding: list[Engine]) -> bool:
        """Return whether the batches of all copies are full."""
        return not any(engine.outstanding < engine.upstream.max_batch for engine in holding)
