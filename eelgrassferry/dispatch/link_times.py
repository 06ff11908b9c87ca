"""Times to reach upstreams of each failure domain, measured by the connections of this node."""

from math import ceil, log2

__all__ = ["LinkTimes"]

# Time by which another domain is assumed to be farther before a connection to it was opened.
INITIAL_EXTRA_S = 0.006
# Weight of one connection in the moving average. Connections are reused, so there are few samples,
# and one lost packet makes a sample 1 s longer.
WEIGHT = 0.2
# Bytes of the first flight of a TCP connection: ten segments (RFC 6928). Each further round trip
# doubles the flight until the link is full.
FIRST_FLIGHT_BYTES = 14_600


class LinkTimes:
    """Moving average of the time to open a connection, by failure domain.

    >>> links = LinkTimes("a")
    >>> links.record("a", 0.001)
    >>> links.record("b", 0.008)
    >>> round(links.extra_s("b", request_bytes=800, answer_bytes=800), 3)
    0.007
    >>> round(links.extra_s("b", request_bytes=800, answer_bytes=100_000), 3)
    0.028
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._connect_s: dict[str, float] = {}

    def record(self, domain: str, took_s: float) -> None:
        """Add the time that it took to open a connection to an upstream, in seconds."""
        mean_s = self._connect_s.get(domain)
        if mean_s is None:
            self._connect_s[domain] = took_s
        else:
            self._connect_s[domain] = mean_s + WEIGHT * (took_s - mean_s)

    def extra_s(self, domain: str, request_bytes: int, answer_bytes: float) -> float:
        """Return by how much a request takes longer in another domain than in the own one.

        ``answer_bytes`` counts the bytes that have to arrive until the caller's latency target is
        met: the whole answer, or 0 for a stream.
        """
        extra_s = INITIAL_EXTRA_S
        if domain in self._connect_s:
            extra_s = max(0.0, self._connect_s[domain] - self._connect_s.get(self._domain, 0.0))
        return extra_s * (1 + _further_flights(request_bytes) + _further_flights(answer_bytes))


def _further_flights(size: float) -> int:
    """Return the round trips that a message of ``size`` bytes takes beyond its first flight."""
    return ceil(log2(max(1.0, size / FIRST_FLIGHT_BYTES)))
