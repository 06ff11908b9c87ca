"""An engine that can take the next step of a plan."""

from dataclasses import dataclass

from .engine_tracker import EngineTracker

__all__ = ["EngineOption", "Victim"]


@dataclass(frozen=True, order=True)
class Victim:
    """A copy that may be evicted; ``loss`` is its value in requests per second."""

    loss: float
    model: str
    weights_mb: float


@dataclass(frozen=True)
class EngineOption:
    """An engine that can take an order now.

    The fields are the same for all models that need a copy, so they are computed once in a plan:
    ``free_mb`` is the free memory, ``cost_s`` the cost of a copy on this engine in seconds of load
    time, and ``victims`` the copies that may be evicted, by increasing loss.
    """

    tracker: EngineTracker
    free_mb: float
    cost_s: float
    victims: tuple[Victim, ...]

    def find_victim(self, weights_mb: float) -> Victim | None:
        """Return the victim of least loss whose eviction makes room for a model, if any."""
        for victim in self.victims:
            if self.free_mb + victim.weights_mb >= weights_mb:
                return victim
        return None
