"""A simulated engine.

It models a limited batch, serial prefill, decoding at a constant rate, memory for models and
adapters, and a prefix cache.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from ..routing import PREFIX_BLOCK_TOKENS, CacheEvent, CacheEventKind
from ..settings import Deployment, Upstream
from .clock import Clock
from .store import FakeStore
from .trace import Arrival

__all__ = ["Engine", "Run"]

CACHE_BLOCKS = 400


@dataclass(eq=False)
class Run:
    """One attempt to run a request at an engine.

    ``tokens_before`` is the number of tokens that earlier attempts produced; these are not
    produced again. ``told`` is the number of further tokens reported to the router. ``gap_s`` is
    the time between tokens.
    """

    arrival: Arrival
    tokens_before: int
    on_first_token: Callable[["Run"], None]
    on_finish: Callable[["Run"], None]
    started: bool = False
    first_token_at: float | None = None
    gap_s: float = 0.0
    ended: bool = False
    told: int = 0

    def tokens(self, now: float) -> int:
        """Return the number of tokens produced until ``now``, including earlier attempts."""
        if self.first_token_at is None:
            return self.tokens_before
        fresh = 1 + int((now - self.first_token_at) / self.gap_s + 1e-9)
        return min(self.arrival.output_tokens, self.tokens_before + fresh)


class Engine:
    """An engine that runs up to ``max_batch`` requests at a time and queues the others.

    ``models`` maps each resident model to the time when it was loaded or last used. ``slowness``
    multiplies the time of prefill and decode.
    """

    def __init__(
        self, clock: Clock, store: FakeStore, deployment: Deployment, upstream: Upstream
    ) -> None:
        self.upstream = upstream
        self.slowness = 1.0
        self.reachable = True
        self.loads = 0
        self.unloads = 0
        self.adapter_loads = 0
        self.models: dict[str, float] = {}
        self.loading: set[str] = set()
        self.adapters: OrderedDict[str, None] = OrderedDict()
        self.running: dict[str, Run] = {}
        self.queue: deque[Run] = deque()
        self.events: list[CacheEvent] = []
        self.on_loaded: Callable[[str], None] = lambda name: None
        self._clock = clock
        self._store = store
        self._deployment = deployment
        self._prefill_free_at = 0.0
        self._cache: OrderedDict[str, None] = OrderedDict()

    @property
    def outstanding(self) -> int:
        """The number of running and queued requests."""
        return len(self.running) + len(self.queue)

    def used_mib(self) -> int:
        """Return the memory used by resident models, loading models and adapters, in MiB."""
        models = self._deployment.models
        used = sum(models[name].memory_mib for name in (*self.models, *self.loading))
        return used + sum(self._deployment.adapters[name].memory_mib for name in self.adapters)

    def uses(self, model: str) -> bool:
        """Return whether a running or queued request uses the model."""
        runs = (*self.running.values(), *self.queue)
        return any(run.arrival.base == model for run in runs)

    def place(self, model: str) -> None:
        """Make a model resident before the measurement starts."""
        self.models[model] = 0.0

    def load(self, model: str) -> bool:
        """Start to load a model, evicting idle adapters where memory is short.

        Return False, without starting the load, if the memory does not suffice.
        """
        need = self._deployment.models[model].memory_mib
        for name in list(self.adapters):
            if self.used_mib() + need <= self.upstream.memory_mib:
                break
            if not any(run.arrival.name == name for run in self.running.values()):
                del self.adapters[name]
        if self.used_mib() + need > self.upstream.memory_mib:
            return False
        self.loads += 1
        self.loading.add(model)
        self._store.load(lambda: self._loaded(model))
        return True

    def unload(self, model: str) -> None:
        """Unload a model that no request uses, together with its adapters."""
        assert not self.uses(model)
        self.unloads += 1
        del self.models[model]
        for name in [n for n in self.adapters if self._deployment.adapters[n].base == model]:
            del self.adapters[name]

    def submit(self, run: Run) -> None:
        """Queue a request, whose model must be resident or loading."""
        self.queue.append(run)
        self._start()

    def cancel(self, request_id: str) -> int:
        """Cancel a running or queued request and return the number of tokens produced so far."""
        run = self.running.pop(request_id, None)
        if run is None:
            run = next(run for run in self.queue if run.arrival.request_id == request_id)
            self.queue.remove(run)
        run.ended = True
        self._start()
        return run.tokens(self._clock.now)

    def _loaded(self, model: str) -> None:
        self.loading.discard(model)
        self.models[model] = self._clock.now
        self._start()
        self.on_loaded(model)

    def _start(self) -> None:
        waiting: deque[Run] = deque()
        while self.queue and len(self.running) < self.upstream.max_batch:
            run = self.queue.popleft()
            if run.arrival.base in self.models:
                self._run(run)
            else:
                waiting.append(run)
        self.queue.extendleft(reversed(waiting))

    def _run(self, run: Run) -> None:
        now = self._clock.now
        arrival = run.arrival
        self.running[arrival.request_id] = run
        self.models[arrival.base] = now
        adapter_s = self._use_adapter(arrival)
        fresh = arrival.prompt_tokens + run.tokens_before - self._use_cache(arrival)
        prefill_s = self.slowness * max(1, fresh) / self.upstream.prefill_tokens_per_s
        self._prefill_free_at = max(now + adapter_s, self._prefill_free_at) + prefill_s
        run.started = True
        self._clock.at(self._prefill_free_at, lambda: self._first_token(run))

    def _use_adapter(self, arrival: Arrival) -> float:
        adapter = self._deployment.adapters.get(arrival.name)
        if adapter is None:
            return 0.0
        if adapter.name in self.adapters:
            self.adapters.move_to_end(adapter.name)
            return 0.0
        self.adapter_loads += 1
        busy = {run.arrival.name for run in self.running.values()}
        for name in list(self.adapters):
            if self.used_mib() + adapter.memory_mib <= self.upstream.memory_mib:
                break
            if name not in busy:
                del self.adapters[name]
        self.adapters[adapter.name] = None
        return self._deployment.store.adapter_load_s

    def _use_cache(self, arrival: Arrival) -> int:
        cached = 0
        for block in arrival.prefix_hashes:
            if block not in self._cache:
                break
            cached += 1
        stored = tuple(block for block in arrival.prefix_hashes if block not in self._cache)
        for block in arrival.prefix_hashes:
            self._cache[block] = None
            self._cache.move_to_end(block)
        if stored:
            self._note(CacheEventKind.STORED, stored)
        removed = []
        while len(self._cache) > CACHE_BLOCKS:
            removed.append(self._cache.popitem(last=False)[0])
        if removed:
            self._note(CacheEventKind.REMOVED, tuple(removed))
        return min(cached * PREFIX_BLOCK_TOKENS, arrival.prompt_tokens - 1)

    def _note(self, kind: CacheEventKind, hashes: tuple[str, ...]) -> None:
        number = self.events[-1].number + 1 if self.events else 1
        self.events.append(CacheEvent(number, kind, hashes))

    def _first_token(self, run: Run) -> None:
        if run.ended:
            return
        run.first_token_at = self._clock.now
        upstream = self.upstream
        run.gap_s = self.slowness * upstream.max_batch / upstream.decode_tokens_per_s
        left = run.arrival.output_tokens - run.tokens_before - 1
        self._clock.after(max(0, left) * run.gap_s, lambda: self._finish(run))
        run.on_first_token(run)

    def _finish(self, run: Run) -> None:
        if run.ended:
            return
        run.ended = True
        self.running.pop(run.arrival.request_id, None)
        self._start()
        run.on_finish(run)
