"""The figures of the overhead benchmark and their output as text and JSON."""

import json
import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from statistics import median

from .overhead_cost import Cost, Phase, median_cost, quantile, slope, solve_cost
from .overhead_run import PathRound, SizeReading

__all__ = ["OverheadReport", "SizeFigures", "format_json", "format_report", "make_report"]

REFERENCE_MODELS = 100


@dataclass(frozen=True)
class SizeFigures:
    """The figures of the node for one size of the site.

    The ``holder`` figures belong to the node that holds the lease of the planning area.
    """

    upstreams: int
    models: int
    idle_percent: float
    rss_mib: float
    holder_idle_percent: float
    holder_rss_mib: float
    request_us: float
    failed: int


@dataclass(frozen=True)
class OverheadReport:
    """All figures of a run.

    Times are medians over the rounds. The ``per_upstream`` and ``per_model`` figures are slopes
    over the sizes, or NaN if too few sizes were measured.
    """

    rounds: int
    requests: int
    failed: int
    tokens_per_read: float
    relay_first_token_ms: float
    node_first_token_ms: float
    relay_token_gap_ms: float
    node_token_gap_ms: float
    relay_token_gap_p95_ms: float
    node_token_gap_p95_ms: float
    relay: Cost
    node: Cost
    sizes: tuple[SizeFigures, ...]
    idle_percent_per_upstream: float
    rss_kib_per_upstream: float
    request_us_per_upstream: float
    rss_kib_per_model: float
    request_us_per_model: float

    @property
    def request_ratio(self) -> float:
        """The processor time of the node per request, divided by that of the relay."""
        return self.node.request_us / self.relay.request_us if self.relay.request_us else math.nan

    @property
    def token_ratio(self) -> float:
        """The processor time of the node per token, divided by that of the relay."""
        return self.node.token_us / self.relay.token_us if self.relay.token_us else math.nan

    @property
    def first_token_ratio(self) -> float:
        """The time to first token through the node, divided by that through the relay."""
        return self.node_first_token_ms / self.relay_first_token_ms


def make_report(rounds: Sequence[PathRound], sizes: Sequence[SizeReading]) -> OverheadReport:
    """Return the figures computed from the readings."""
    phases = [
        phase
        for r in rounds
        for phase in (
            r.relay_alone, r.node_alone, r.relay_short, r.node_short, r.relay_long, r.node_long
        )
    ]  # fmt: skip
    figures = tuple(_size_figures(reading) for reading in sizes)
    by_upstream = [f for f in figures if f.models == REFERENCE_MODELS]
    by_model = [f for f in figures if f.upstreams == 100]
    long = [r.node_long for r in rounds]
    return OverheadReport(
        rounds=len(rounds),
        requests=sum(p.requests for p in phases),
        failed=sum(p.failed for p in phases) + sum(f.failed for f in figures),
        tokens_per_read=sum(p.tokens for p in long) / max(1, sum(p.reads for p in long)),
        relay_first_token_ms=_first_token_ms([r.relay_alone for r in rounds]),
        node_first_token_ms=_first_token_ms([r.node_alone for r in rounds]),
        relay_token_gap_ms=_gap_ms([r.relay_long for r in rounds]),
        node_token_gap_ms=_gap_ms(long),
        relay_token_gap_p95_ms=_gap_p95_ms([r.relay_long for r in rounds]),
        node_token_gap_p95_ms=_gap_p95_ms(long),
        relay=median_cost(solve_cost(r.relay_short, r.relay_long) for r in rounds),
        node=median_cost(solve_cost(r.node_short, r.node_long) for r in rounds),
        sizes=figures,
        idle_percent_per_upstream=_slope(by_upstream, "upstreams", "idle_percent"),
        rss_kib_per_upstream=1024 * _slope(by_upstream, "upstreams", "rss_mib"),
        request_us_per_upstream=_slope(by_upstream, "upstreams", "request_us"),
        rss_kib_per_model=1024 * _slope(by_model, "models", "rss_mib"),
        request_us_per_model=_slope(by_model, "models", "request_us"),
    )


def format_report(report: OverheadReport) -> str:
    """Return the report as text."""
    r = report
    lines = [
        f"{r.requests} requests in {r.rounds} rounds, {r.failed} failed; "
        f"{r.tokens_per_read:.2f} tokens per read at the caller",
        f"{'':<34}{'relay':>10}{'node':>10}{'ratio':>8}",
        _format_row("first token alone, median ms", r.relay_first_token_ms, r.node_first_token_ms),
        _format_row("time between tokens, mean ms", r.relay_token_gap_ms, r.node_token_gap_ms),
        _format_row(
            "time between tokens, p95 ms", r.relay_token_gap_p95_ms, r.node_token_gap_p95_ms
        ),
        _format_row("processor time per request, us", r.relay.request_us, r.node.request_us),
        _format_row("processor time per token, us", r.relay.token_us, r.node.token_us),
    ]
    if r.sizes:
        lines.append(
            f"{'upstreams':>9}{'models':>8}{'idle %':>8}{'RSS MiB':>9}{'holder %':>10}"
            f"{'holder MiB':>12}{'request us':>12}{'failed':>8}"
        )
    lines += [
        f"{f.upstreams:>9}{f.models:>8}{f.idle_percent:>8.1f}{f.rss_mib:>9.1f}"
        f"{f.holder_idle_percent:>10.1f}{f.holder_rss_mib:>12.1f}{f.request_us:>12.0f}{f.failed:>8}"
        for f in r.sizes
    ]
    if r.sizes:
        lines.append(
            f"slopes: idle {r.idle_percent_per_upstream:.4f} % of a core, memory "
            f"{r.rss_kib_per_upstream:.1f} KiB and {r.request_us_per_upstream:.2f} us a request "
            f"for each upstream; {r.rss_kib_per_model:.1f} KiB and "
            f"{r.request_us_per_model:.3f} us a request for each model"
        )
    return "\n".join(lines)


def format_json(report: OverheadReport) -> str:
    """Return the report as one JSON object, in which NaN figures are null."""
    ratios = {
        "request_ratio": report.request_ratio,
        "token_ratio": report.token_ratio,
        "first_token_ratio": report.first_token_ratio,
    }
    return json.dumps(_replace_nan({**asdict(report), **ratios}), indent=2)


def _size_figures(reading: SizeReading) -> SizeFigures:
    short = reading.short
    request_us = 1e6 * short.busy_s / short.requests if short.requests else math.nan
    return SizeFigures(
        reading.size.upstreams,
        reading.size.models,
        100 * reading.idle_share,
        reading.rss_mib,
        100 * reading.holder_idle_share,
        reading.holder_rss_mib,
        request_us,
        short.failed,
    )


def _first_token_ms(phases: Sequence[Phase]) -> float:
    return 1000 * median([quantile(phase.first_token_s, 0.5) for phase in phases])


def _gap_ms(phases: Sequence[Phase]) -> float:
    gaps = [sum(p.gaps_s) / max(1, p.tokens - p.requests) for p in phases]
    return 1000 * median(gaps)


def _gap_p95_ms(phases: Sequence[Phase]) -> float:
    return 1000 * median([quantile(phase.gaps_s, 0.95) for phase in phases])


def _slope(figures: Sequence[SizeFigures], size: str, value: str) -> float:
    if len(figures) < 2:
        return math.nan
    return slope([getattr(f, size) for f in figures], [getattr(f, value) for f in figures])


def _format_row(label: str, relay: float, node: float) -> str:
    ratio = node / relay if relay else math.nan
    return f"{label:<34}{relay:>10.2f}{node:>10.2f}{ratio:>8.2f}"


def _replace_nan(value: object) -> object:
    match value:
        case dict():
            return {key: _replace_nan(item) for key, item in value.items()}
        case list() | tuple():
            return [_replace_nan(item) for item in value]
        case float() if math.isnan(value):
            return None
    return value
