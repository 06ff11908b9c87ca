"""What one plan is made from: the engines of a service at one moment."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from ..dispatch import NO_LOAD, PrefillSlownessEstimator, UpstreamLoad
from .demand_book import DemandBook
from .engine_book import CopyState, EngineBook

__all__ = ["PlanState"]


@dataclass(frozen=True)
class PlanState:
    """``waiting`` counts requests by model that no engine can take, ``running`` requests by
    instance and model, ``loads`` all work by instance. ``pace`` is what is known of the speed of
    engines.
    """

    service: str
    books: list[EngineBook]
    waiting: Mapping[str, int]
    running: Mapping[tuple[str, str], int]
    loads: Mapping[str, UpstreamLoad]
    demand: DemandBook
    pace: PrefillSlownessEstimator
    now: float

    @cached_property
    def holders(self) -> dict[str, list[EngineBook]]:
        """The engines with a copy of each model, live or being loaded."""
        found: dict[str, list[EngineBook]] = {}
        for book in self.books:
            for model, copy in book.copies.items():
                if copy.state in (CopyState.LIVE, CopyState.LOADING):
                    found.setdefault(model, []).append(book)
        return found

    @cached_property
    def busy(self) -> dict[str, float]:
        """The share of each engine's time that the prompts of its models take."""
        return {book.instance: self._busy(book) for book in self.books}

    def copies(self, model: str) -> int:
        """Return the number of copies of a model."""
        return len(self.holders.get(model, ()))

    def rate(self, model: str) -> float:
        """Return the requests a second for a model."""
        return self.demand.rate(self.service, model, self.now)

    def runs(self, book: EngineBook, model: str) -> int:
        """Return the requests that run on a copy."""
        return self.running.get((book.instance, model), 0)

    def backlog_s(self, book: EngineBook) -> float:
        """Return the time in which an engine reads the prompts sent to it, in seconds."""
        return sum(self.loads.get(book.instance, NO_LOAD).backlog.values())

    def _busy(self, book: EngineBook) -> float:
        return self.pace.upstream_factor(book.instance) * sum(
            self.demand.busy(self.service, model, self.now) / max(1, self.copies(model))
            for model, copy in book.copies.items()
            if copy.state is CopyState.LIVE
        )
