"""Options and fault switches of the engine stand-in."""

from dataclasses import dataclass

__all__ = ["EngineFaults", "EngineOptions"]


@dataclass(frozen=True)
class EngineOptions:
    """One engine. Speeds are in tokens a second.

    ``store`` is the address of a weight store; without one a model takes ``load_s`` and an adapter
    ``adapter_load_s`` seconds. ``token`` is the bearer token that engine orders must carry; empty
    accepts every sender. ``preload`` names models resident from the start, as
    ``name:version:memory_mib``. A prompt that contains ``crash_marker`` (empty: none) crashes the
    engine, which refuses connections for ``restart_s``. A share ``event_gap`` of the cache events
    is never delivered.
    """

    host: str = "127.0.0.1"
    port: int = 0
    name: str = "engine"
    memory_mib: int = 65536
    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 1600.0
    stream_tokens_per_s: float = 200.0
    max_batch: int = 16
    max_queue: int = 64
    cache_blocks: int = 4096
    block_tokens: int = 64
    checks_fence: bool = True
    token: str = ""
    store: str = ""
    load_s: float = 0.5
    adapter_load_s: float = 0.005
    load_lag_s: float = 0.25
    event_lag_s: float = 0.5
    event_gap: float = 0.05
    crash_marker: str = ""
    restart_s: float = 2.0
    tick_s: float = 0.005
    seed: int = 0
    preload: tuple[str, ...] = ()


@dataclass(frozen=True)
class EngineFaults:
    """Fault switches.

    ``lose_orders``: the next engine orders that are answered 202 and never take effect.
    ``delay_orders_s``: engine orders are answered at once and arrive this much later.
    ``drop_streams_after``: the next stream breaks after this many tokens (0: none does).
    ``slow_factor``: requests take this many times as long. ``leaving`` is shown in the status;
    requests that arrive more than 3 s later are counted as ``late_requests``.
    """

    lose_orders: int = 0
    delay_orders_s: float = 0.0
    drop_streams_after: int = 0
    freeze: bool = False
    slow_factor: float = 1.0
    duplicate_events: bool = False
    leaving: bool = False
