"""Registry of request digests that were running when an upstream crashed.

A crash makes every request that ran on the upstream a suspect. A suspect runs alone on its
upstream, and the whole system runs one suspect at a time, so a second incident can only be caused
by the suspect itself and confirms its digest. A digest that completes is cleared. Nodes merge
incidents as sets, so the result does not depend on the order or the repetition of messages.
"""

from collections import OrderedDict
from enum import Enum

__all__ = ["CONFIRMING_INCIDENTS", "SuspectRegistry", "Verdict", "incident_name"]

CONFIRMING_INCIDENTS = 2
# Limits memory use. The object API stores confirmed digests for the retention period.
MAX_DIGESTS = 20_000


class Verdict(Enum):
    """Classification of a digest by its crashes and completions."""

    UNKNOWN = "unknown"
    GOOD = "good"
    SUSPECT = "suspect"
    CONFIRMED = "confirmed"


def incident_name(upstream: str, request_id: str, alone: bool) -> str:
    """Return the incident name of a crash for one of the requests that ran on the upstream.

    Two copies of a digest on one upstream fail in the same incident and must count once, whichever
    nodes sent them, so the incident is named after the upstream. For a request that ran alone, the
    name includes the request id, which makes each run a separate incident.
    """
    return f"{upstream}/{request_id}" if alone else upstream


class SuspectRegistry:
    """Crashes and completions of digests known to one node.

    >>> registry = SuspectRegistry()
    >>> registry.record_crash("d1", "u1")
    >>> registry.verdict("d1")
    <Verdict.SUSPECT: 'suspect'>
    >>> registry.record_crash("d1", "u2/r1")
    >>> registry.verdict("d1")
    <Verdict.CONFIRMED: 'confirmed'>
    """

    def __init__(self) -> None:
        self._incidents: OrderedDict[str, frozenset[str]] = OrderedDict()
        self._cleared: OrderedDict[str, frozenset[str]] = OrderedDict()

    def verdict(self, digest: str) -> Verdict:
        """Return the verdict on a digest."""
        incidents = self._incidents.get(digest)
        if incidents:
            confirmed = len(incidents) >= CONFIRMING_INCIDENTS
            return Verdict.CONFIRMED if confirmed else Verdict.SUSPECT
        return Verdict.GOOD if digest in self._cleared else Verdict.UNKNOWN

    def incidents(self, digest: str) -> tuple[str, ...]:
        """Return the names of the incidents of a digest that are not cleared."""
        return tuple(sorted(self._incidents.get(digest, ())))

    def record_crash(self, digest: str, incident: str) -> None:
        """Record an incident in which an upstream crashed while it ran the digest."""
        self.merge(digest, (incident,), cleared=False)

    def record_completion(self, digest: str) -> tuple[str, ...]:
        """Record a completed run and return the incidents that it clears.

        A confirmed digest stays confirmed, because it crashed two upstreams.
        """
        if self.verdict(digest) is Verdict.CONFIRMED:
            return ()
        cleared = self._incidents.pop(digest, frozenset())
        self._store(self._cleared, digest, self._cleared.get(digest, frozenset()) | cleared)
        return tuple(sorted(cleared))

    def merge(self, digest: str, incidents: tuple[str, ...], cleared: bool) -> None:
        """Merge incidents received from another node or read from the object API.

        With ``cleared``, these incidents are cleared.
        """
        if cleared:
            known = self._cleared.get(digest, frozenset()) | frozenset(incidents)
            if self.verdict(digest) is not Verdict.CONFIRMED:
                remaining = self._incidents.pop(digest, frozenset()) - known
                if remaining:
                    self._store(self._incidents, digest, remaining)
            self._store(self._cleared, digest, known)
            return
        uncleared = frozenset(incidents) - self._cleared.get(digest, frozenset())
        if uncleared:
            known = self._incidents.get(digest, frozenset())
            self._store(self._incidents, digest, known | uncleared)

    def counts(self) -> tuple[int, int]:
        """Return the number of suspects and the number of confirmed digests."""
        sizes = [len(incidents) for incidents in self._incidents.values()]
        confirmed = sum(size >= CONFIRMING_INCIDENTS for size in sizes)
        return len(sizes) - confirmed, confirmed

    @staticmethod
    def _store(table: OrderedDict[str, frozenset[str]], digest: str, value: frozenset[str]) -> None:
        table[digest] = value
        table.move_to_end(digest)
        if len(table) > MAX_DIGESTS:
            table.popitem(last=False)
