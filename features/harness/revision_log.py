"""The configuration revisions that operators were promised and that nodes had in force."""

from dataclasses import dataclass
from itertools import pairwise

__all__ = ["Accepted", "RevisionLog"]


@dataclass(frozen=True)
class Accepted:
    """A change that a node confirmed."""

    revision: int
    change_id: str


class RevisionLog:
    """Checks I8: an accepted revision is never lost, and no node goes back to an older one.

    >>> log = RevisionLog()
    >>> log.note("n1", 2, "b"), log.note("n1", 1, "a"), log.check()
    (None, None, ['I8: n1 went back from revision 2 to 1'])
    """

    def __init__(self) -> None:
        self._accepted: list[Accepted] = []
        self._seen: dict[str, list[tuple[int, str]]] = {}

    def accept(self, change: Accepted) -> None:
        """Note a change that an operator was told is accepted."""
        self._accepted.append(change)

    def note(self, node: str, revision: int, change_id: str) -> None:
        """Note what one run of a node has in force."""
        seen = self._seen.setdefault(node, [])
        if not seen or seen[-1] != (revision, change_id):
            seen.append((revision, change_id))

    def last_accepted(self) -> int:
        """Return the greatest accepted revision, 0 if there is none."""
        return max((change.revision for change in self._accepted), default=0)

    def check(self) -> list[str]:
        """Return a line for each fault."""
        faults = []
        changes: dict[int, str] = {}
        for change in self._accepted:
            other = changes.setdefault(change.revision, change.change_id)
            if other != change.change_id:
                faults.append(
                    f"I8: revision {change.revision} is both {other} and {change.change_id}"
                )
        for node, seen in self._seen.items():
            for (before, _), (after, _) in pairwise(seen):
                if after < before:
                    faults.append(f"I8: {node} went back from revision {before} to {after}")
            for revision, change_id in seen:
                known = changes.setdefault(revision, change_id)
                if known != change_id:
                    faults.append(
                        f"I8: {node} has {change_id} in revision {revision} instead of {known}"
                    )
        return faults

    def check_final(self, in_force: dict[str, int]) -> list[str]:
        """Return a line for each node that ends with less than the last accepted revision."""
        last = self.last_accepted()
        return [
            f"I8: {node} ends with revision {revision}, and {last} was accepted"
            for node, revision in in_force.items()
            if revision < last
        ]
