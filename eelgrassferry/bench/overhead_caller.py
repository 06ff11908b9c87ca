"""A load generator for streamed completions that records the arrival times of tokens."""

import asyncio
import itertools
import json
import time
from dataclasses import dataclass, field

from ..http import split_address

__all__ = ["Caller", "CallerStatistics"]

READ_BYTES = 64 * 1024
REQUEST_TIMEOUT_S = 20.0
PROMPT_WORDS = 40
# Pause of a worker between requests. It keeps the node from saturation: a saturated node polls
# less, so that its idle processor time could not be subtracted.
PAUSE_S = 0.04
END_OF_BODY = b"0\r\n\r\n"


@dataclass
class CallerStatistics:
    """Counts and times of the requests of one phase.

    ``reads`` counts socket reads that returned tokens; ``failed`` counts incomplete answers.
    """

    requests: int = 0
    tokens: int = 0
    reads: int = 0
    failed: int = 0
    first_token_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)


class Caller:
    """A client that sends requests from several workers, each over its own connection.

    All prompts differ, because a node runs at most two equal requests at a time. The parsing is
    minimal, so that the client is not the bottleneck.
    """

    def __init__(self, models: tuple[str, ...]) -> None:
        self._models = itertools.cycle(models)
        self._number = itertools.count()

    async def run(
        self, address: str, workers: int, tokens: int, seconds: float
    ) -> CallerStatistics:
        """Send requests from ``workers`` workers for ``seconds``, each for ``tokens`` tokens."""
        stats = CallerStatistics()
        until = time.perf_counter() + seconds
        await asyncio.gather(
            *(self._run_worker(address, tokens, until, stats) for _ in range(workers))
        )
        return stats

    async def _run_worker(
        self, address: str, tokens: int, until: float, stats: CallerStatistics
    ) -> None:
        while time.perf_counter() < until:
            reader, writer = await asyncio.open_connection(*split_address(address))
            try:
                while time.perf_counter() < until:
                    async with asyncio.timeout(REQUEST_TIMEOUT_S):
                        complete = await self._send_request(reader, writer, tokens, stats)
                    if not complete:
                        stats.failed += 1
                        break
                    await asyncio.sleep(PAUSE_S)
            except (OSError, TimeoutError):
                stats.failed += 1
            finally:
                writer.close()

    async def _send_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        tokens: int,
        stats: CallerStatistics,
    ) -> bool:
        """Send one request, read its answer, and return whether it was complete."""
        number = next(self._number)
        prompt = f"request {number} " + "word " * PROMPT_WORDS
        model = next(self._models)
        request = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
        body = json.dumps(request).encode()
        head = f"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
        sent_at = last_at = time.perf_counter()
        writer.write(head.encode() + body)
        tail, events, started = b"", 0, False
        while not tail.endswith(END_OF_BODY):
            data = await reader.read(READ_BYTES)
            if not data:
                return False
            now = time.perf_counter()
            if not started and not data.startswith(b"HTTP/1.1 200"):
                return False
            started = True
            event_count = data.count(b"data: {")
            if event_count:
                (stats.gaps_s if events else stats.first_token_s).append(
                    now - (last_at if events else sent_at)
                )
                last_at = now
                events += event_count
                stats.reads += 1
            tail = (tail + data)[-len(END_OF_BODY) :]
        stats.requests += 1
        stats.tokens += tokens
        return events >= tokens
