"""Digests of requests that were running when an upstream crashed.

A crash makes every request that ran on the upstream a suspect. A suspect runs alone, and the
whole system runs one suspect at a time, so the second incident of a digest is its own doing and
confirms it. One that completes is cleared. Incidents are sets that nodes merge, so it does not
matter how often or in which order they are told.
"""

from collections import OrderedDict
from enum import Enum

__all__ = ["CONFIRMING_INCIDENTS", "SuspectRegistry", "Verdict", "incident_name"]

CONFIRMING_INCIDENTS = 2
# Bounds memory; the object API keeps confirmed digests for the retention period.
MAX_DIGESTS = 20_000


class Verdict(Enum):
    """What is known about a digest."""

    UNKNOWN = "unknown"
    GOOD = "good"
    SUSPECT = "suspect"
    CONFIRMED = "confirmed"


def incident_name(upstream: str, request_id: str, alone: bool) -> str:
    """Return the name of a crash for one of the requests that ran in it.

    Two copies of a digest on one upstream die in the same incident and must count once, whichever
    nodes sent them, so the name is the upstream's. A lone run is an incident of its own.
    """
    return f"{upstream}/{request_id}" if alone else upstream


class SuspectRegistry:
    """Crashes and completions by digest, as known to one node.

    >>> registry = SuspectRegistry()
    >>> registry.note_crash("d1", "u1")
    >>> registry.verdict("d1")
    <Verdict.SUSPECT: 'suspect'>
    >>> registry.note_crash("d1", "u2/r1")
    >>> registry.verdict("d1")
    <Verdict.CONFIRMED: 'confirmed'>
    """

    def __init__(self) -> None:
        self._incidents: OrderedDict[str, frozenset[str]] = OrderedDict()
        self._cleared: OrderedDict[str, frozenset[str]] = OrderedDict()

    def verdict(self, digest: str) -> Verdict:
        """Return what is known about a digest."""
        incidents = self._incidents.get(digest)
        if incidents:
            confirmed = len(incidents) >= CONFIRMING_INCIDENTS
            return Verdict.CONFIRMED if confirmed else Verdict.SUSPECT
        return Verdict.GOOD if digest in self._cleared else Verdict.UNKNOWN

    def incidents(self, digest: str) -> tuple[str, ...]:
        """Return the names of the digest's crashes that still count."""
        return tuple(sorted(self._incidents.get(digest, ())))

    def note_crash(self, digest: str, incident: str) -> None:
        """Record that an upstream crashed while it ran the digest."""
        self.learn(digest, (incident,), cleared=False)

    def note_completed(self, digest: str) -> tuple[str, ...]:
        """Record a completed run; return the incidents that it cleared.

        A confirmed digest stays confirmed: it brought down two upstreams.
        """
        if self.verdict(digest) is Verdict.CONFIRMED:
            return ()
        cleared = self._incidents.pop(digest, frozenset())
        self._remember(self._cleared, digest, self._cleared.get(digest, frozenset()) | cleared)
        return tuple(sorted(cleared))

    def learn(self, digest: str, incidents: tuple[str, ...], cleared: bool) -> None:
        """Merge what another node, or the object API, knows."""
        if cleared:
            known = self._cleared.get(digest, frozenset()) | frozenset(incidents)
            if self.verdict(digest) is not Verdict.CONFIRMED:
                left = self._incidents.pop(digest, frozenset()) - known
                if left:
                    self._remember(self._incidents, digest, left)
            self._remember(self._cleared, digest, known)
            return
        new = frozenset(incidents) - self._cleared.get(digest, frozenset())
        if new:
            known = self._incidents.get(digest, frozenset())
            self._remember(self._incidents, digest, known | new)

    def counts(self) -> tuple[int, int]:
        """Return the number of suspects and of confirmed digests."""
        sizes = [len(incidents) for incidents in self._incidents.values()]
        confirmed = sum(size >= CONFIRMING_INCIDENTS for size in sizes)
        return len(sizes) - confirmed, confirmed

    @staticmethod
    def _remember(
        table: OrderedDict[str, frozenset[str]], digest: str, value: frozenset[str]
    ) -> None:
        table[digest] = value
        table.move_to_end(digest)
        if len(table) > MAX_DIGESTS:
            table.popitem(last=False)
