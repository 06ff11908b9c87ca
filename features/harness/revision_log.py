"""A log of the configuration revisions that were accepted and that nodes had in force."""

from dataclasses import dataclass
from itertools import pairwise

__all__ = ["AcceptedChange", "RevisionLog"]


@dataclass(frozen=True)
class AcceptedChange:
    """A configuration change that a node has confirmed."""

    revision: int
    change_id: str


class RevisionLog:
    """Records configuration revisions and checks invariant I8.

    I8: an accepted revision is never lost, and no node goes back to an older revision.

    >>> log = RevisionLog()
    >>> log.record("n1", 2, "b"), log.record("n1", 1, "a"), log.check()
    (None, None, ['I8: n1 went back from revision 2 to 1'])
    """

    def __init__(self) -> None:
        self._accepted: list[AcceptedChange] = []
        self._observed: dict[str, list[tuple[int, str]]] = {}

    def record_accepted(self, change: AcceptedChange) -> None:
        """Record a change whose acceptance was confirmed to an operator."""
        self._accepted.append(change)

    def record(self, node: str, revision: int, change_id: str) -> None:
        """Record the revision and the change in force at one run of a node."""
        observed = self._observed.setdefault(node, [])
        if not observed or observed[-1] != (revision, change_id):
            observed.append((revision, change_id))

    def last_accepted(self) -> int:
        """Return the greatest accepted revision, 0 if there is none."""
        return max((change.revision for change in self._accepted), default=0)

    def check(self) -> list[str]:
        """Return a line for each conflicting change and each return to an older revision."""
        faults = []
        changes: dict[int, str] = {}
        for change in self._accepted:
            other = changes.setdefault(change.revision, change.change_id)
            if other != change.change_id:
                faults.append(
                    f"I8: revision {change.revision} is both {other} and {change.change_id}"
                )
        for node, observed in self._observed.items():
            for (before, _), (after, _) in pairwise(observed):
                if after < before:
                    faults.append(f"I8: {node} went back from revision {before} to {after}")
            for revision, change_id in observed:
                known = changes.setdefault(revision, change_id)
                if known != change_id:
                    faults.append(
                        f"I8: {node} has {change_id} in revision {revision} instead of {known}"
                    )
        return faults

    def check_final(self, in_force: dict[str, int]) -> list[str]:
        """Return a line for each node whose final revision is older than the last accepted one."""
        last = self.last_accepted()
        return [
            f"I8: {node} ends with revision {revision}, and {last} was accepted"
            for node, revision in in_force.items()
            if revision < last
        ]
