"""Admission of links from peers that have not been identified."""

from collections.abc import Callable

from ..admission import DoorBudget, Holding, HoldingState
from .peer_link import PeerLink

__all__ = ["LinkAdmission"]


class LinkAdmission:
    """Limits the number and the buffers of accepted links until a status names their peer.

    ``on_turned_away`` is called with a cause for each link that is closed.
    """

    def __init__(
        self,
        budget: DoorBudget,
        clock: Callable[[], float],
        on_turned_away: Callable[[str], None],
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._on_turned_away = on_turned_away
        self._holdings: dict[PeerLink, Holding] = {}

    def make_room(self) -> bool:
        """Return whether a link can be accepted, after closing another one if necessary."""
        if self._budget.has_free_connection:
            return True
        victim = self._budget.choose_over_connections(self._clock())
        self._end(victim, "peer_links")
        return victim is not None

    def add(self, link: PeerLink) -> None:
        """Add an accepted link."""
        self._holdings[link] = self._budget.open(link, self._clock())

    def update(self, link: PeerLink) -> None:
        """Count what a link has buffered; a link whose peer is identified is no longer limited."""
        holding = self._holdings.get(link)
        if holding is None:
            return
        if link.peer:
            self.remove(link)
            return
        state = HoldingState.RECEIVING if link.buffered_bytes else HoldingState.IDLE
        self._budget.update(holding, state, link.buffered_bytes, 0, self._clock())
        while (victim := self._budget.choose_over_memory(self._clock())) is not None:
            self._end(victim, "peer_memory")

    def remove(self, link: PeerLink) -> None:
        """Stop to count a link."""
        holding = self._holdings.pop(link, None)
        if holding is not None:
            self._budget.close(holding)

    def _end(self, holding: Holding | None, cause: str) -> None:
        if holding is not None:
            self.remove(holding.owner)
            self._on_turned_away(cause)
            holding.owner.close()
