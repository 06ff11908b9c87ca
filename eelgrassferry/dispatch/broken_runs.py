"""The broken runs that a node remembers, within limits of number and size."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .crash_evidence import BrokenRun, size_of

__all__ = ["BrokenRuns"]

# Limits of the runs that are kept, in number and in bytes of their fingerprints. They bound the
# memory, the messages between nodes and the search for causes.
MAX_BROKEN_RUNS = 300
MAX_BROKEN_BYTES = 256 * 1024

Key = tuple[str, tuple[str, ...]]


@dataclass
class _Entry:
    """A run, the bytes of its fingerprints, and whether verdicts explain it.

    ``is_explained`` holds for the verdicts of ``checked_at``.
    """

    run: BrokenRun
    size: int
    is_explained: bool = False
    checked_at: int = -1


class BrokenRuns:
    """Broken runs, oldest first, and the fingerprints in them.

    ``broken_at`` maps each fingerprint to the time of the last run with it. If the runs exceed a
    limit, the crash with the largest ones loses some, as long as it keeps one: it alone does not
    need all of them to be compared with other crashes.

    >>> runs = BrokenRuns()
    >>> runs.add(BrokenRun("u1/5", 3.0, ("part:a", "request:b")))
    True
    >>> sorted(runs.broken_at)
    ['part:a', 'request:b']
    """

    def __init__(self) -> None:
        self.broken_at: dict[str, float] = {}
        self.size = 0
        self.dropped = 0
        self._entries: dict[Key, _Entry] = {}
        self._counts: Counter[str] = Counter()

    def __iter__(self) -> Iterator[BrokenRun]:
        return (entry.run for entry in self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, run: BrokenRun) -> bool:
        return (run.process, run.fingerprints) in self._entries

    @property
    def fingerprint_count(self) -> int:
        """The number of fingerprints in all runs together."""
        return sum(len(run.fingerprints) for run in self)

    def add(self, run: BrokenRun) -> bool:
        """Add a run and return whether it is new."""
        if run in self:
            return False
        size = size_of(run.fingerprints)
        self._entries[run.process, run.fingerprints] = _Entry(run, size)
        self.size += size
        for name in run.fingerprints:
            self._counts[name] += 1
            self.broken_at[name] = max(run.at, self.broken_at.get(name, run.at))
        return True

    def is_explained(self, run: BrokenRun, verdicts: int, explain: Callable[[], bool]) -> bool:
        """Return whether verdicts explain a run; ``explain`` is called once per ``verdicts``."""
        entry = self._entries.get((run.process, run.fingerprints))
        if entry is None:
            return explain()
        if entry.checked_at != verdicts:
            entry.is_explained, entry.checked_at = explain(), verdicts
        return entry.is_explained

    def keep(self, is_kept: Callable[[BrokenRun], bool]) -> list[str]:
        """Drop the runs that are not kept, and those over the limits.

        Return the fingerprints that are in no run any more.
        """
        gone: list[str] = []
        for run in [run for run in self if not is_kept(run)]:
            gone += self._remove(run)
        while len(self) > MAX_BROKEN_RUNS:
            gone += self._drop(next(iter(self)))
        while self.size > MAX_BROKEN_BYTES and len(self) > 1:
            gone += self._drop(self._choose_large())
        return gone

    def _choose_large(self) -> BrokenRun:
        """Return the last run of the process whose runs are the largest, if it has several.

        Otherwise return the oldest run.
        """
        sizes: Counter[str] = Counter()
        counts: Counter[str] = Counter()
        for entry in self._entries.values():
            sizes[entry.run.process] += entry.size
            counts[entry.run.process] += 1
        several = [process for process, count in counts.items() if count > 1]
        if not several:
            return next(iter(self))
        largest = max(several, key=lambda process: sizes[process])
        return [run for run in self if run.process == largest][-1]

    def _drop(self, run: BrokenRun) -> list[str]:
        self.dropped += 1
        return self._remove(run)

    def _remove(self, run: BrokenRun) -> list[str]:
        """Remove a run and return the fingerprints that are in no other one."""
        entry = self._entries.pop((run.process, run.fingerprints))
        self.size -= entry.size
        gone = []
        for name in run.fingerprints:
            self._counts[name] -= 1
            if not self._counts[name]:
                del self._counts[name], self.broken_at[name]
                gone.append(name)
        return gone
