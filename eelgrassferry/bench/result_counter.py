"""Counters of the requests of one run."""

from collections import Counter
from dataclasses import dataclass, field

from .engine import Run
from .trace import Arrival

__all__ = ["MAX_GAP_S", "Tally"]

# The limit in docs/design.md 1.5 is 44 ms between tokens; 0.1 ms is added for rounding errors.
MAX_GAP_S = 0.0441


@dataclass
class Tally:
    """Counts requests served within target by class, and the others by reason.

    A request is served within target if its first token was in time and its answer complete. The
    mean time between the tokens of an urgent request must also be at most ``MAX_GAP_S``; for a
    patient request it doesn't count, because nobody reads the answer while it is produced.
    The keys of the counters by class are True for urgent and False for patient requests.
    """

    arrived: Counter[bool] = field(default_factory=Counter)
    attained: Counter[bool] = field(default_factory=Counter)
    late: Counter[bool] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    first_tokens: dict[str, float] = field(default_factory=dict)

    def note_arrival(self, arrival: Arrival) -> None:
        """Count a request that arrived."""
        self.arrived[arrival.urgent] += 1

    def note_first_token(self, arrival: Arrival, now: float) -> None:
        """Record the time of the first token of a request, unless an earlier attempt had one."""
        self.first_tokens.setdefault(arrival.request_id, now)

    def note_finish(self, run: Run, now: float) -> None:
        """Count a complete answer as served within target or by the reason that it was not."""
        arrival = run.arrival
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

    def note_refusal(self, reason: str) -> None:
        """Count a request that was refused or given up."""
        self.reasons[reason] += 1
