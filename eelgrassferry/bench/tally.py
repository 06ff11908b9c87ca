"""What is counted in a run."""

from collections import Counter
from dataclasses import dataclass, field

from .engine import Run
from .trace import Arrival

__all__ = ["MAX_GAP_S", "Tally"]

# Design page 1.5: at most 44 ms between tokens. A hair of tolerance for rounding.
MAX_GAP_S = 0.0441


@dataclass
class Tally:
    """Requests served within target, by class, and reasons of those that were not.

    A request is within target when its first token came in time and it completed. The tokens of
    an urgent one must also have come at most ``MAX_GAP_S`` apart on average; nobody reads along
    with a patient one.
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
        """Keep the time of a request's first token; later flights do not change it."""
        self.first_tokens.setdefault(arrival.request_id, now)

    def note_finish(self, run: Run, now: float) -> None:
        """Count a complete answer."""
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
        """Count a request that was not served."""
        self.reasons[reason] += 1
