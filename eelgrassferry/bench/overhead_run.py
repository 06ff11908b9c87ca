"""The measurements of the overhead benchmark on running processes."""

import asyncio
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from .overhead_caller import Caller
from .overhead_cost import Phase
from .overhead_site import OverheadSite, SiteSize, read_processor_s, read_rss_mib

__all__ = ["OverheadSettings", "PathRound", "SizeReading", "run_path", "run_size"]


@dataclass(frozen=True)
class OverheadSettings:
    """The extent of a measurement. Times are in seconds.

    Each phase sends requests for ``phase_s`` seconds. Before the first one, the site runs
    ``warm_up_s`` seconds to warm up and its idle processor time is read over ``idle_s`` seconds.
    """

    rounds: int
    phase_s: float
    idle_s: float
    warm_up_s: float
    workers: int
    long_tokens: int
    path_size: SiteSize
    sizes: tuple[SiteSize, ...]


@dataclass(frozen=True)
class PathRound:
    """The phases of one round, which runs the relay and the node in turn.

    The ``alone`` phases have one worker, the others several. Requests of the ``alone`` and
    ``short`` phases have one token, those of the ``long`` phases ``long_tokens``.
    """

    relay_alone: Phase
    node_alone: Phase
    relay_short: Phase
    node_short: Phase
    relay_long: Phase
    node_long: Phase


@dataclass(frozen=True)
class SizeReading:
    """The readings of the node for one size of the site: idle, and with requests of one token.

    ``holder_idle_share`` and ``holder_rss_mib`` belong to the other node, which also holds the
    lease of the planning area.
    """

    size: SiteSize
    idle_share: float
    rss_mib: float
    holder_idle_share: float
    holder_rss_mib: float
    short: Phase


async def run_path(settings: OverheadSettings) -> tuple[PathRound, ...]:
    """Compare the node with the relay in several rounds."""
    with tempfile.TemporaryDirectory() as directory:
        site = OverheadSite(settings.path_size, Path(directory))
        try:
            await site.start()
            await asyncio.sleep(settings.warm_up_s)
            idle_share, _ = await read_idle(site, settings.idle_s)
            caller = Caller(settings.path_size.model_names)
            return tuple(
                [
                    await run_round(site, caller, settings, idle_share)
                    for _ in range(settings.rounds)
                ]
            )
        finally:
            await site.close()


async def run_size(size: SiteSize, settings: OverheadSettings) -> SizeReading:
    """Measure the node for one size of the site."""
    with tempfile.TemporaryDirectory() as directory:
        site = OverheadSite(size, Path(directory))
        try:
            await site.start()
            await asyncio.sleep(settings.warm_up_s)
            idle, holder_idle = await read_idle(site, settings.idle_s)
            rss, holder_rss = read_rss_mib(site.node.pid), read_rss_mib(site.lease_holder.pid)
            caller = Caller(size.model_names)
            short = await run_phase(
                caller,
                site.node_address,
                site.node.pid,
                settings.workers,
                1,
                settings.phase_s,
                idle,
            )
            return SizeReading(size, idle, rss, holder_idle, holder_rss, short)
        finally:
            await site.close()


async def read_idle(site: OverheadSite, seconds: float) -> tuple[float, float]:
    """Return the shares of a core that the node and the lease holder use without requests."""
    pids = (site.node.pid, site.lease_holder.pid)
    before = [read_processor_s(pid) for pid in pids]
    started = time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed = time.perf_counter() - started
    node, holder = (
        (read_processor_s(pid) - b) / elapsed for pid, b in zip(pids, before, strict=True)
    )
    return node, holder


async def run_round(
    site: OverheadSite, caller: Caller, settings: OverheadSettings, idle_share: float
) -> PathRound:
    """Run the phases of the relay and the node in turn, so that both run under similar load."""
    phases = []
    for workers, tokens in (
        (1, 1),
        (settings.workers, 1),
        (settings.workers, settings.long_tokens),
    ):
        for address, pid, idle in (
            (site.relay_address, site.relay.pid, 0.0),
            (site.node_address, site.node.pid, idle_share),
        ):
            seconds = settings.phase_s
            phases.append(await run_phase(caller, address, pid, workers, tokens, seconds, idle))
    return PathRound(*phases)


async def run_phase(
    caller: Caller,
    address: str,
    pid: int,
    workers: int,
    tokens: int,
    seconds: float,
    idle_share: float,
) -> Phase:
    """Send requests through one process and return the readings."""
    before, started = read_processor_s(pid), time.perf_counter()
    stats = await caller.run(address, workers, tokens, seconds)
    wall_s, processor_s = time.perf_counter() - started, read_processor_s(pid) - before
    return Phase(
        stats.requests,
        stats.tokens,
        stats.reads,
        stats.failed,
        wall_s,
        processor_s,
        idle_share,
        tuple(stats.first_token_s),
        tuple(stats.gaps_s),
    )
