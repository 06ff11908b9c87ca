"""Options and fault switches of the engine stand-in."""

from dataclasses import dataclass

__all__ = ["EngineFaults", "EngineOptions"]


@dataclass(frozen=True)
class EngineOptions:
    """Options of one engine.

    ``store`` is the address of the weight store from which the engine loads. If it is empty, a
    load takes ``load_s`` seconds for a model and ``adapter_load_s`` for an adapter. Engine orders
    must carry the bearer token ``token``, unless it is empty. ``preload`` lists the models that
    are resident from the start, as ``name:version:memory_mib``.

    ``load_lag_s`` is the age of the load report and ``event_lag_s`` the delay of cache events. A
    fraction ``event_gap`` of the cache events is never delivered. A prompt that contains
    ``crash_marker`` crashes the engine, unless the marker is empty; the engine then refuses
    connections for ``restart_s`` seconds. ``checks_fence`` makes the engine refuse orders with a
    stale fencing number. The batch advances every ``tick_s`` seconds.
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
    """Fault switches of the engine.

    The next ``lose_orders`` engine orders are answered with 202 and never take effect. Engine
    orders are answered at once and executed ``delay_orders_s`` seconds later. The next stream
    breaks after ``drop_streams_after`` tokens; 0 breaks none. ``freeze`` stops all progress of
    requests and loads. Requests take ``slow_factor`` times as long. ``duplicate_events`` delivers
    each cache event twice. ``leaving`` appears in the status; requests that arrive more than 3 s
    after it is set are counted as ``late_requests``.
    """

    lose_orders: int = 0
    delay_orders_s: float = 0.0
    drop_streams_after: int = 0
    freeze: bool = False
    slow_factor: float = 1.0
    duplicate_events: bool = False
    leaving: bool = False
