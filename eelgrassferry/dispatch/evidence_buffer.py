"""Observations on crashes that are to be sent to other nodes."""

from itertools import islice

from .crash_evidence import BlockedContent, BrokenRun, CrashEvidence, size_of

__all__ = ["MAX_SENT_BYTES", "EvidenceBuffer"]

# Approximate limit of the observations in one message, in bytes. What exceeds it is sent in the
# next ones.
MAX_SENT_BYTES = 300 * 1024
# Bytes of a time in a message.
TIME_BYTES = 9
# Limits of the runs and answers that wait to be sent while there is no coordinator. A new one is
# sent all that is remembered, not only what waits.
MAX_WAITING_RUNS = 300
MAX_WAITING_ANSWERS = 20_000


class EvidenceBuffer:
    """Collects observations and returns them in portions for one message each.

    Verdicts come first, then the ends of processes, then broken runs and answers. No fingerprint
    is larger than a message.

    >>> buffer = EvidenceBuffer()
    >>> buffer.add(CrashEvidence(ended={"u1/5": 3.0}))
    >>> buffer.pop().ended
    {'u1/5': 3.0}
    >>> bool(buffer)
    False
    """

    def __init__(self) -> None:
        self._broken_runs: list[BrokenRun] = []
        self._ended: dict[str, float] = {}
        self._alive: dict[str, float] = {}
        self._served: dict[str, float] = {}
        self._blocked: list[BlockedContent] = []

    def __bool__(self) -> bool:
        return bool(
            self._broken_runs or self._ended or self._alive or self._served or self._blocked
        )

    def add(self, evidence: CrashEvidence) -> None:
        """Add observations, which are newer than those added before."""
        self._broken_runs += evidence.broken_runs
        self._ended.update(evidence.ended)
        self._alive.update(evidence.alive)
        self._served.update(evidence.served)
        self._blocked += evidence.blocked
        del self._broken_runs[:-MAX_WAITING_RUNS]
        for name in list(islice(self._served, max(0, len(self._served) - MAX_WAITING_ANSWERS))):
            del self._served[name]

    def pop(self) -> CrashEvidence:
        """Remove and return the observations for one message, at least one if there are any."""
        left = MAX_SENT_BYTES
        blocked, left = _pop_portion(self._blocked, left)
        ended, self._ended = self._ended, {}
        alive, self._alive = self._alive, {}
        left -= sum(size_of(times) + TIME_BYTES * len(times) for times in (ended, alive))
        broken_runs, left = _pop_portion(self._broken_runs, left)
        served: dict[str, float] = {}
        for name in list(islice(self._served, max(0, left) // TIME_BYTES)):
            left -= size_of((name,)) + TIME_BYTES
            if left < 0:
                break
            served[name] = self._served.pop(name)
        return CrashEvidence(tuple(broken_runs), ended, alive, served, tuple(blocked))


def _pop_portion(items: list, left: int) -> tuple[list, int]:
    """Remove the first items whose fingerprints have up to ``left`` bytes.

    Return them and the bytes that are left. If nothing was taken of the whole limit before, the
    first item is taken in any case.
    """
    count, is_first = 0, left == MAX_SENT_BYTES
    for item in items:
        size = size_of(item.fingerprints)
        if size > left and not (is_first and count == 0):
            break
        left -= size
        count += 1
    portion = items[:count]
    del items[:count]
    return portion, left
