"""Which upstreams' copies may have changed since the last look."""

from collections.abc import Mapping

from ..placement import Copy, Resident

__all__ = ["ResidencyChanges"]


class ResidencyChanges:
    """Compares by identity, since each status read brings a tuple of its own.

    A lease holder looks 20 times a second and reads a status every few seconds, so that building
    every upstream's copies at each look would cost it more than all other control.

    >>> changes = ResidencyChanges()
    >>> changes.take({"u1": ()}, frozenset()), changes.take({"u1": ()}, frozenset())
    (['u1'], [])
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[Resident, ...]] = {}
        self._held_back: frozenset[Copy] = frozenset()
        self._turns: list[str] = []

    def clear(self) -> None:
        """Let every upstream count as changed."""
        self._seen.clear()

    def repeat_next(self) -> str:
        """Let the next upstream in turn count as changed, and return it; empty before any."""
        if not self._turns:
            self._turns = sorted(self._seen, reverse=True)
        name = self._turns.pop() if self._turns else ""
        self._seen.pop(name, None)
        return name

    def take(
        self, residents: Mapping[str, tuple[Resident, ...]], held_back: frozenset[Copy]
    ) -> list[str]:
        """Return the upstreams with other residents than at the last call, or with a copy that is
        held back since then or no longer."""
        seen = self._seen
        moved = {copy.upstream for copy in held_back ^ self._held_back}
        changed = [n for n, held in residents.items() if n in moved or seen.get(n) is not held]
        self._seen = dict(residents)
        self._held_back = held_back
        return changed
