"""Detection of upstreams whose copies may have changed."""

from collections.abc import Mapping

from ..placement import Copy, Resident

__all__ = ["ResidencyChanges"]


class ResidencyChanges:
    """Detects upstreams whose copies may have changed since the last check.

    Resident tuples are compared by identity, since each status read creates a new one. The lease
    holder checks 20 times a second but reads a status only every few seconds, so that building the
    copies of every upstream at each check would cost more than the rest of the control plane.

    >>> changes = ResidencyChanges()
    >>> changes.pop_changed({"u1": ()}, frozenset()), changes.pop_changed({"u1": ()}, frozenset())
    (['u1'], [])
    """

    def __init__(self) -> None:
        self._last_residents: dict[str, tuple[Resident, ...]] = {}
        self._last_unroutable: frozenset[Copy] = frozenset()
        self._rotation: list[str] = []

    def clear(self) -> None:
        """Mark every upstream as changed."""
        self._last_residents.clear()

    def mark_next_changed(self) -> str:
        """Mark the next upstream in rotation as changed and return its name.

        Return an empty string if no upstream is known yet.
        """
        if not self._rotation:
            self._rotation = sorted(self._last_residents, reverse=True)
        name = self._rotation.pop() if self._rotation else ""
        self._last_residents.pop(name, None)
        return name

    def pop_changed(
        self, residents: Mapping[str, tuple[Resident, ...]], unroutable: frozenset[Copy]
    ) -> list[str]:
        """Return the upstreams that may have changed since the last call.

        These are the upstreams with a new tuple of residents and those with a copy that has become
        routable or unroutable.
        """
        last = self._last_residents
        affected = {copy.upstream for copy in unroutable ^ self._last_unroutable}
        changed = [
            n for n, current in residents.items() if n in affected or last.get(n) is not current
        ]
        self._last_residents = dict(residents)
        self._last_unroutable = unroutable
        return changed
