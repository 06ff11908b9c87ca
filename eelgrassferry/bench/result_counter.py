"""Counters of the requests of one run."""

from collections import Counter
from dataclasses import dataclass, field

from .engine import Attempt
from .trace import Arrival

__all__ = ["MAX_GAP_S", "ResultCounter"]

# The limit in docs/design.md 1.5 is 44 ms between tokens; 0.1 ms is added for rounding errors.
MAX_GAP_S = 0.0441


@dataclass
class ResultCounter:
    """Counters of requests served within target, by class, and of the reasons of the others.

    A request is within target when its first token came in time and it completed. The tokens of
    an urgent one must also have come at most ``MAX_GAP_S`` apart on average; nobody reads the
    answer to a patient one while it is produced. The class is True for urgent requests.
    """

    arrived: Counter[bool] = field(default_factory=Counter)
    attained: Counter[bool] = field(default_factory=Counter)
    late: Counter[bool] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    first_tokens: dict[str, float] = field(default_factory=dict)

    def record_arrival(self, arrival: Arrival) -> None:
        """Count a request that arrived."""
        self.arrived[arrival.urgent] += 1

    def record_first_token(self, arrival: Arrival, now: float) -> None:
        """Record the time of the first token of a request, unless an earlier attempt had one."""
        self.first_tokens.setdefault(arrival.request_id, now)

    def record_finish(self, attempt: Attempt, now: float) -> None:
        """Count a complete answer as served within target or by the reason that it was not."""
        arrival = attempt.arrival
        first = self.first_tokens.pop(arrival.request_id, now)
        gap_s = (now - first) / max(1, arrival.output_tokens - 1)
        if first > arrival.first_token_by:
            self.late[arrival.urgent] += 1
            self.reasons["first_token_late"] += 1
        elif arrival.urgent and gap_s > MAX_GAP_S:
            self.late[arrival.urgent] += 1
            self.reasons["tokens_slow"] += 1
        else:
            self.attained[arrival.urgent] += 1

    def record_refusal(self, reason: str) -> None:
        """Count a request that was refused or given up."""
        self.reasons[reason] += 1
