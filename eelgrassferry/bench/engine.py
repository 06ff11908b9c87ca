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

__all__ = ["Attempt", "Engine"]

CACHE_BLOCKS = 400


@dataclass(eq=False)
class Attempt:
    """One attempt to run a request at an engine.

    ``tokens_before`` is the number of tokens that earlier attempts produced; these are not
    produced again. ``reported_tokens`` is the number of further tokens reported to the router.
    ``gap_s`` is the time between tokens.
    """

    arrival: Arrival
    tokens_before: int
    on_first_token: Callable[["Attempt"], None]
    on_finish: Callable[["Attempt"], None]
    started: bool = False
    first_token_at: float | None = None
    gap_s: float = 0.0
    ended: bool = False
    reported_tokens: int = 0

    def tokens_at(self, now: float) -> int:
        """Return the number of tokens produced until ``now``, including earlier attempts."""
        if self.first_token_at is None:
            return self.tokens_before
        new_tokens = 1 + int((now - self.first_token_at) / self.gap_s + 1e-9)
        return min(self.arrival.output_tokens, self.tokens_before + new_tokens)


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
        self.running: dict[str, Attempt] = {}
        self.queue: deque[Attempt] = deque()
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
        attempts = (*self.running.values(), *self.queue)
        return any(attempt.arrival.base == model for attempt in attempts)

    def place(self, model: str) -> None:
        """Make a model resident before the measurement starts."""
        self.models[model] = 0.0

    def load(self, model: str) -> bool:
        """Start to load a model, evicting idle adapters where memory is short.

        Return False, without starting the load, if the memory does not suffice.
        """
        needed_mib = self._deployment.models[model].memory_mib
        for name in list(self.adapters):
            if self.used_mib() + needed_mib <= self.upstream.memory_mib:
                break
            if not any(attempt.arrival.name == name for attempt in self.running.values()):
                del self.adapters[name]
        if self.used_mib() + needed_mib > self.upstream.memory_mib:
            return False
        self.loads += 1
        self.loading.add(model)
        self._store.load(lambda: self._complete_load(model))
        return True

    def unload(self, model: str) -> None:
        """Unload a model that no request uses, together with its adapters."""
        assert not self.uses(model)
        self.unloads += 1
        del self.models[model]
        for name in [n for n in self.adapters if self._deployment.adapters[n].base == model]:
            del self.adapters[name]

    def submit(self, attempt: Attempt) -> None:
        """Queue a request, whose model must be resident or loading."""
        self.queue.append(attempt)
        self._start_queued()

    def cancel(self, request_id: str) -> int:
        """Cancel a running or queued request and return the number of tokens produced so far."""
        attempt = self.running.pop(request_id, None)
        if attempt is None:
            attempt = next(
                attempt for attempt in self.queue if attempt.arrival.request_id == request_id
            )
            self.queue.remove(attempt)
        attempt.ended = True
        self._start_queued()
        return attempt.tokens_at(self._clock.now)

    def _complete_load(self, model: str) -> None:
        self.loading.discard(model)
        self.models[model] = self._clock.now
        self._start_queued()
        self.on_loaded(model)

    def _start_queued(self) -> None:
        waiting: deque[Attempt] = deque()
        while self.queue and len(self.running) < self.upstream.max_batch:
            attempt = self.queue.popleft()
            if attempt.arrival.base in self.models:
                self._start_attempt(attempt)
            else:
                waiting.append(attempt)
        self.queue.extendleft(reversed(waiting))

    def _start_attempt(self, attempt: Attempt) -> None:
        now = self._clock.now
        arrival = attempt.arrival
        self.running[arrival.request_id] = attempt
        self.models[arrival.base] = now
        adapter_s = self._use_adapter(arrival)
        uncached_tokens = arrival.prompt_tokens + attempt.tokens_before - self._use_cache(arrival)
        prefill_s = self.slowness * max(1, uncached_tokens) / self.upstream.prefill_tokens_per_s
        self._prefill_free_at = max(now + adapter_s, self._prefill_free_at) + prefill_s
        attempt.started = True
        self._clock.at(self._prefill_free_at, lambda: self._on_first_token(attempt))

    def _use_adapter(self, arrival: Arrival) -> float:
        adapter = self._deployment.adapters.get(arrival.name)
        if adapter is None:
            return 0.0
        if adapter.name in self.adapters:
            self.adapters.move_to_end(adapter.name)
            return 0.0
        self.adapter_loads += 1
        busy = {attempt.arrival.name for attempt in self.running.values()}
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
            self._record_cache_event(CacheEventKind.STORED, stored)
        removed = []
        while len(self._cache) > CACHE_BLOCKS:
            removed.append(self._cache.popitem(last=False)[0])
        if removed:
            self._record_cache_event(CacheEventKind.REMOVED, tuple(removed))
        return min(cached * PREFIX_BLOCK_TOKENS, arrival.prompt_tokens - 1)

    def _record_cache_event(self, kind: CacheEventKind, hashes: tuple[str, ...]) -> None:
        number = self.events[-1].number + 1 if self.events else 1
        self.events.append(CacheEvent(number, kind, hashes))

    def _on_first_token(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        attempt.first_token_at = self._clock.now
        upstream = self.upstream
        attempt.gap_s = self.slowness * upstream.max_batch / upstream.decode_tokens_per_s
        remaining = attempt.arrival.output_tokens - attempt.tokens_before - 1
        self._clock.after(max(0, remaining) * attempt.gap_s, lambda: self._on_finished(attempt))
        attempt.on_first_token(attempt)

    def _on_finished(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self.running.pop(attempt.arrival.request_id, None)
        self._start_queued()
        attempt.on_finish(attempt)
