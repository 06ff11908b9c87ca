"""State of a caller's request and of its attempts at upstreams."""

from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from ..fleet import RequestKind, Route
from .fingerprints import part_fingerprints

__all__ = ["Attempt", "Job"]

# A caller abandons a stream that has no event yet after the longest of three times: a minimum in
# seconds, a multiple of the latency target, and a multiple of the gap target.
MIN_PATIENCE_S = 2.0
PATIENCE_PER_TARGET = 4.0
PATIENCE_PER_GAP = 8.0


@dataclass
class Attempt:
    """One attempt to run a request at an upstream.

    All times are in seconds. ``prefill_s`` is the expected time to prefill the prompt,
    ``cache_tokens`` the number of tokens that the attempt occupies in the KV cache, and
    ``expected_s`` the expected time to the first event. ``assumes_cached_prefix`` is set if the
    estimate relies on prompt parts that other nodes are assumed to have sent there. ``slowness`` is
    the slowness factor used for the estimate. ``process_id`` is the id of the upstream's process,
    and ``turn_wait_s`` the expected time until it takes a request, if it limits its rate.
    ``on_wire`` is set once bytes may have reached the upstream, and ``answered`` once it has sent
    an event or a whole answer. ``load_share`` is the share of the upstream's capacity that was in
    use before, and ``leave_cause`` why the attempt leaves the failure domain, "" if it does not.
    """

    instance: str
    sent_at: float
    prefill_s: float
    cache_tokens: float
    expected_s: float
    assumes_cached_prefix: bool = False
    slowness: float = 1.0
    first_event_at: float | None = None
    process_id: str = ""
    turn_wait_s: float = 0.0
    on_wire: bool = False
    answered: bool = False
    load_share: float = 0.0
    leave_cause: str = ""


@dataclass(eq=False)
class Job:
    """One request of a caller, from its arrival to its final answer.

    All times are in seconds unless the name ends in ``_ms``.

    - ``give_up_at``: time by which a final answer is due.
    - ``prompt_parts``: keys and token counts of the prompt parts. All but the last may be shared
      with other requests.
    - ``fingerprint``: fingerprint of the whole request, "" if it is not known.
    - ``request_bytes``: size of the request's body.
    - ``exchange``: the exchange that carries out the actions for this request.
    - ``tenant``: name of the tenant whose key the caller has sent, "" if there is none.
    - ``tenant_priority``: priority of that tenant, which replaces the priority of the route, or
      None.
    - ``awaits_turn``: whether the request can be sent in time at its next turn at an upstream.
    - ``is_trial``: whether the request is sent although its content is blocked.
    - ``may_have_run_on``: upstreams that may have run the request.
    - ``excluded``: upstreams that the request is not sent to again.
    - ``declined_attempts``: number of attempts that an upstream declined to run.
    - ``stored_answer``: failure response of an upstream, sent if no other attempt succeeds.
    - ``first_event_ms``: time from the start of the last attempt to its first event.
    - ``longest_pause_ms``: longest time between two events of a stream.
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
    prompt_parts: tuple[tuple[str, int], ...] = ()
    fingerprint: str = ""
    tenant: str = ""
    tenant_priority: int | None = None
    request_bytes: int = 0
    exchange: Any = None
    attempt: Attempt | None = None
    waiting: bool = False
    closed: bool = False
    answer_begun: bool = False
    awaits_turn: bool = False
    is_trial: bool = False
    may_have_run_on: list[str] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    declined_attempts: int = 0
    last_event_id: str = ""
    stored_answer: Any = None
    first_event_ms: int | None = None
    longest_pause_ms: int = 0

    @property
    def priority(self) -> int:
        """Rank of the job; 0 is the most urgent."""
        return self.route.priority if self.tenant_priority is None else self.tenant_priority

    @property
    def target_at(self) -> float:
        """Time by which the answer meets its latency target."""
        return self.arrived_at + self.route.target_latency_s

    @property
    def start_deadline(self) -> float:
        """Time by which the answer has to begin, because the caller disconnects then."""
        if self.route.kind is not RequestKind.STREAM:
            return self.give_up_at
        patience_s = max(
            MIN_PATIENCE_S,
            PATIENCE_PER_TARGET * self.route.target_latency_s,
            PATIENCE_PER_GAP * self.route.gap_target_s,
        )
        return min(self.give_up_at, self.arrived_at + patience_s)

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have begun to run the request."""
        return bool(self.may_have_run_on)

    @property
    def has_forwardable_answer(self) -> bool:
        """Whether the stored failure response can be sent: no other answer has begun."""
        return self.stored_answer is not None and not self.answer_begun

    @cached_property
    def fingerprints(self) -> tuple[str, ...]:
        """Fingerprints of the shared prompt parts, in order, then of the whole request."""
        whole = (self.fingerprint,) if self.fingerprint else ()
        return (*part_fingerprints(self.prompt_parts), *whole)

    @property
    def queue_key(self) -> tuple[int, float]:
        """Sort key of waiting jobs: priority, then start deadline."""
        return (self.priority, self.start_deadline)
