"""One caller's request, from its arrival to its final answer."""

from dataclasses import dataclass, field
from typing import Any

from ..fleet import RequestKind, Route

__all__ = ["Flight", "Job"]

# Callers abandon a stream without an event after the longest of these: a time in seconds, a
# multiple of the latency target, and a multiple of the longest pause between events.
LEAST_PATIENCE_S = 2.0
TARGETS_OF_PATIENCE = 4.0
GAPS_OF_PATIENCE = 8.0


@dataclass
class Flight:
    """One run, or attempted run, of a request at an upstream. Times in seconds.

    ``prefill_s`` is the time in which the upstream is expected to read the prompt, ``cache_tokens``
    what the run keeps in its memory. ``expected_s`` is the estimated time to the first event;
    ``is_assumed`` says that it rests on parts of the prompt that other nodes have sent there, and
    ``pace`` is the slowness that was assumed of the upstream.
    """

    instance: str
    sent_at: float
    prefill_s: float
    cache_tokens: float
    expected_s: float
    is_assumed: bool = False
    pace: float = 1.0
    first_event_at: float | None = None
    on_wire: bool = False


@dataclass(eq=False)
class Job:
    """``give_up_at`` is the time by which a final answer is due, ``target_at`` the time within
    which an answer is worth most. ``ran_on`` are the upstreams that may have run the request.
    ``owner`` is the exchange that the answer belongs to. ``first_event_ms`` is the time from the
    last sending to the first event, ``longest_pause_ms`` the longest time between two parts of a
    stream.
    """

    request_id: str
    service: str
    route: Route
    arrived_at: float
    give_up_at: float
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    owner: Any = None
    flight: Flight | None = None
    waiting: bool = False
    closed: bool = False
    answer_begun: bool = False
    ran_on: list[str] = field(default_factory=list)
    avoid: set[str] = field(default_factory=set)
    not_run_tries: int = 0
    last_event_id: str = ""
    stored_answer: Any = None
    first_event_ms: int | None = None
    longest_pause_ms: int = 0

    @property
    def target_at(self) -> float:
        """The time within which the answer earns its full worth."""
        return self.arrived_at + self.route.target_latency_s

    @property
    def patience_at(self) -> float:
        """The time by which an answer has to begin, because the caller leaves then."""
        if self.route.kind is not RequestKind.STREAM:
            return self.give_up_at
        patience_s = max(
            LEAST_PATIENCE_S,
            TARGETS_OF_PATIENCE * self.route.target_latency_s,
            GAPS_OF_PATIENCE * self.route.gap_target_s,
        )
        return min(self.give_up_at, self.arrived_at + patience_s)

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have begun to run the request."""
        return bool(self.ran_on)

    @property
    def order(self) -> tuple[int, float]:
        """The place among waiting jobs: urgent ones first, then early deadlines."""
        return (self.route.priority, self.patience_at)
