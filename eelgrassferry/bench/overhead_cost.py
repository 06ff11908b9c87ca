"""Functions that compute costs from the readings of the overhead benchmark, without I/O."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

__all__ = ["Cost", "Phase", "median_cost", "quantile", "slope", "solve_cost"]


@dataclass(frozen=True)
class Phase:
    """The readings of one process while requests of one length were sent through it.

    ``processor_s`` is the processor time that the process used, and ``idle_share`` the share of a
    core that it uses without requests. ``reads`` counts the caller's socket reads that returned
    tokens.
    """

    requests: int
    tokens: int
    reads: int
    failed: int
    wall_s: float
    processor_s: float
    idle_share: float = 0.0
    first_token_s: tuple[float, ...] = ()
    gaps_s: tuple[float, ...] = ()

    @property
    def busy_s(self) -> float:
        """The processor time spent on the requests, which excludes the idle share."""
        return max(0.0, self.processor_s - self.idle_share * self.wall_s)


@dataclass(frozen=True)
class Cost:
    """The processor time of one process per request and per token, in microseconds."""

    request_us: float
    token_us: float


def solve_cost(short: Phase, long: Phase) -> Cost:
    """Return the cost of a request without tokens and of each token.

    Both follow from phases with requests of two lengths. They are NaN if a phase had no requests.

    >>> short = Phase(100, 100, 100, 0, 1.0, 0.2)
    >>> long = Phase(10, 1000, 1000, 0, 1.0, 0.119)
    >>> cost = solve_cost(short, long)
    >>> round(cost.request_us), round(cost.token_us)
    (1900, 100)
    """
    if not short.requests or not long.requests:
        return Cost(float("nan"), float("nan"))
    tokens = (short.tokens / short.requests, long.tokens / long.requests)
    request_us = (1e6 * short.busy_s / short.requests, 1e6 * long.busy_s / long.requests)
    token_us = slope(tokens, request_us)
    return Cost(request_us[0] - token_us * tokens[0], token_us)


def median_cost(costs: Iterable[Cost]) -> Cost:
    """Return the medians over several rounds, separately for requests and tokens."""
    collected = list(costs)
    return Cost(median(c.request_us for c in collected), median(c.token_us for c in collected))


def slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the least-squares slope of values over sizes, or NaN if all sizes are equal.

    >>> slope((10, 100, 200), (1.0, 10.0, 20.0))
    0.1
    """
    mean_size, mean_value = sum(sizes) / len(sizes), sum(values) / len(values)
    squares = sum((size - mean_size) ** 2 for size in sizes)
    if not squares:
        return float("nan")
    pairs = zip(sizes, values, strict=True)
    return sum((size - mean_size) * (value - mean_value) for size, value in pairs) / squares


def quantile(values: Iterable[float], share: float) -> float:
    """Return the smallest value that at least ``share`` of all values do not exceed.

    The share is truncated to thousandths. The result is NaN if there are no values.

    >>> quantile((3.0, 1.0, 2.0, 4.0), 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[max(0, -(-int(share * 1000) * len(ordered) // 1000) - 1)]
