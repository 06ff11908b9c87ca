"""Search for the content that crashed upstreams have in common, without state."""

from collections.abc import Callable, Generator, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from .crash_evidence import BrokenRun
from .fingerprints import is_whole_request

__all__ = ["Cause", "CauseSearch", "find_cause", "search_cause"]

# Crashes within this time count once, in seconds: a power failure or a partition ends the
# connections to many upstreams at the same time.
SAME_CAUSE_S = 0.5
# Number of crashes from which on the content that they have in common is their cause. Content that
# was once answered is trusted longer, because what crashes an engine usually does so each time.
MIN_CRASHES = 3
MIN_CRASHES_IF_ANSWERED = 6
# Two crashes suffice if the sum of the probabilities that the content has caused them reaches this,
# where all candidates for one crash are equally probable.
MIN_CRASHES_IF_PROBABLE = 2
MIN_PROBABILITY_SUM = 1.5
# Number of fingerprints that are processed in one step of the search. One takes about 1 us.
STEP_SIZE = 2000
# Number of candidates whose whole content is compared. Candidates in fewer runs are more specific
# and come first.
MAX_COMPARED = 32


@dataclass(frozen=True)
class Cause:
    """Content that crashed upstreams, and the ids of the processes that ended.

    ``probability_sum`` is the sum over these of the probability that the content was the cause.
    """

    content: frozenset[str]
    crashed: tuple[str, ...]
    probability_sum: float


@dataclass(frozen=True)
class _Candidate:
    """Fingerprints that explain enough crashes, and the set of runs that they may have broken."""

    names: tuple[str, ...]
    runs: int
    crashed: tuple[str, ...]
    probability_sum: float


CauseSearch = Generator[None, None, Cause | None]


def find_cause(
    crashes: Mapping[str, Sequence[BrokenRun]],
    served_at: Callable[[str], float],
    blocked: Iterable[frozenset[str]],
) -> Cause | None:
    """Return the most specific content that explains enough crashes, or None.

    The parameters are those of ``search_cause``.
    """
    search = search_cause(crashes, served_at, blocked)
    while True:
        try:
            next(search)
        except StopIteration as result:
            return result.value


def search_cause(
    crashes: Mapping[str, Sequence[BrokenRun]],
    served_at: Callable[[str], float],
    blocked: Iterable[frozenset[str]],
) -> CauseSearch:
    """Search in steps for the most specific content that explains enough crashes.

    ``crashes`` maps the ids of crashed processes to the runs that broke before their first event,
    the candidates for the cause. ``served_at`` returns the time of the last answer to a request
    with a fingerprint, minus infinity if there was none: it was no cause of an earlier crash, and
    is an improbable one of later crashes. Content in ``blocked`` is not returned again.

    Prompt parts that were never answered and were together in each of the crashes cannot be told
    apart and are returned together. The fingerprint of a whole request is a cause of its own: it
    does not tell which of the parts are to blame, so repetitions of one request blame no part.

    The time grows in proportion to the fingerprints of all runs.
    """
    search = _Search(crashes, served_at)
    yield from search.index_runs()
    candidates = yield from search.find_candidates()
    candidates.sort(key=lambda candidate: (candidate.runs.bit_count(), -candidate.probability_sum))
    known, best = frozenset(blocked), None
    for candidate in candidates[:MAX_COMPARED]:
        content = yield from search.find_content(candidate)
        cause = Cause(content, candidate.crashed, candidate.probability_sum)
        if content not in known and (best is None or _rank(cause) > _rank(best)):
            best = cause
    return best


def _rank(cause: Cause) -> tuple[int, float]:
    return len(cause.content), cause.probability_sum


class _Search:
    """Index of the runs by fingerprint, and the number of candidates for each crash.

    A set of runs is an integer, in which each run has one bit. Fingerprints that were never
    answered and are in the same runs are examined together.
    """

    def __init__(
        self, crashes: Mapping[str, Sequence[BrokenRun]], served_at: Callable[[str], float]
    ) -> None:
        self._crashes = {process: tuple(runs) for process, runs in crashes.items()}
        self._served_at = served_at
        self._runs = [run for runs in self._crashes.values() for run in runs]
        self._whole_requests = [_whole_request(run) for run in self._runs]
        self._runs_by_name: dict[str, int] = {}
        # Sets of runs, by the fingerprints of prompt parts that were never answered.
        self._groups: dict[int, list[str]] = {}
        self._candidate_counts: dict[tuple[str, bool, bool], int] = {}

    def index_runs(self) -> Generator[None, None, None]:
        """Collect the runs of each fingerprint."""
        by_name = self._runs_by_name
        for number, run in enumerate(self._runs):
            bit = 1 << number
            for name in run.fingerprints:
                by_name[name] = by_name.get(name, 0) | bit
            yield

    def find_candidates(self) -> Generator[None, None, list[_Candidate]]:
        """Return the fingerprints that explain enough crashes."""
        candidates, others = [], []
        for count, (name, runs) in enumerate(self._runs_by_name.items()):
            if count % STEP_SIZE == STEP_SIZE - 1:
                yield
            if is_whole_request(name) or self._was_answered(name):
                others.append(((name,), runs))
            else:
                self._groups.setdefault(runs, []).append(name)
        groups = [(tuple(names), runs) for runs, names in self._groups.items()]
        size = 0
        for names, runs in (*groups, *others):
            size += runs.bit_count()
            if size >= STEP_SIZE:
                size = 0
                yield
            if self._is_in_several_crashes(runs):
                candidate = self.examine(names, runs)
                if candidate is not None:
                    candidates.append(candidate)
        return candidates

    def find_content(self, candidate: _Candidate) -> Generator[None, None, frozenset[str]]:
        """Return a candidate with the unanswered parts that are in all of its runs."""
        content = set(candidate.names)
        if is_whole_request(candidate.names[0]):
            return frozenset(content)
        for count, (runs, names) in enumerate(self._groups.items()):
            if count % STEP_SIZE == STEP_SIZE - 1:
                yield
            if runs & candidate.runs == candidate.runs:
                content.update(names)
        yield
        return frozenset(content)

    def examine(self, names: tuple[str, ...], runs: int) -> _Candidate | None:
        """Return a candidate with fingerprints that are in the same runs, None if the evidence is
        too weak.
        """
        is_whole, was_answered = is_whole_request(names[0]), self._was_answered(names[0])
        suspected: dict[str, list[BrokenRun]] = {}
        suspected_runs, distinct = 0, set()
        for number in _bits(runs):
            run = self._runs[number]
            if self._served_at(names[0]) < run.at:
                suspected.setdefault(run.process, []).append(run)
                suspected_runs |= 1 << number
                distinct.add(self._whole_requests[number])
        if not is_whole and len(distinct) < MIN_CRASHES_IF_PROBABLE:
            return None
        count = _count_separate(min(run.at for run in matching) for matching in suspected.values())
        probability_sum = sum(
            len(matching) / self._count_candidates(process, is_whole, was_answered)
            for process, matching in suspected.items()
        )
        is_probable = count >= MIN_CRASHES_IF_PROBABLE and probability_sum >= MIN_PROBABILITY_SUM
        if was_answered:
            if count < MIN_CRASHES_IF_ANSWERED:
                return None
        elif count < MIN_CRASHES and not is_probable:
            return None
        return _Candidate(names, suspected_runs, tuple(suspected), probability_sum)

    def _is_in_several_crashes(self, runs: int) -> bool:
        """Return whether a set of runs contains those of several processes."""
        if runs & (runs - 1) == 0:
            return False
        processes = (self._runs[number].process for number in _bits(runs))
        first = next(processes)
        return any(process != first for process in processes)

    def _count_candidates(self, process: str, is_whole: bool, was_answered: bool) -> int:
        """Return the number of runs that may have ended a process."""
        key = (process, is_whole, was_answered)
        if key not in self._candidate_counts:
            self._candidate_counts[key] = sum(
                self._is_candidate(run, is_whole, was_answered) for run in self._crashes[process]
            )
        return self._candidate_counts[key]

    def _is_candidate(self, run: BrokenRun, is_whole: bool, was_answered: bool) -> bool:
        """Return whether a run may have ended its process.

        Whole requests are compared with all runs. Parts are compared with runs that have suspected
        parts or no parts at all: those that were never answered or, for a part that was answered
        before, those that were not answered since.
        """
        if is_whole:
            return True
        parts = (name for name in run.fingerprints if not is_whole_request(name))
        has_parts = False
        for name in parts:
            has_parts = True
            served_at = self._served_at(name)
            if served_at < run.at if was_answered else served_at == float("-inf"):
                return True
        return not has_parts

    def _was_answered(self, name: str) -> bool:
        return self._served_at(name) > float("-inf")


def _whole_request(run: BrokenRun) -> str:
    """Return the fingerprint of a run's whole request, which comes last, "" if it has none."""
    return next(filter(is_whole_request, reversed(run.fingerprints)), "")


def _bits(runs: int) -> Iterator[int]:
    """Return the numbers of the runs in a set.

    >>> list(_bits(0b1010))
    [1, 3]
    """
    while runs:
        lowest = runs & -runs
        yield lowest.bit_length() - 1
        runs ^= lowest


def _count_separate(times: Iterable[float]) -> int:
    """Return the number of times, where those within ``SAME_CAUSE_S`` of a counted one are one."""
    count, counted_at = 0, float("-inf")
    for at in sorted(times):
        if at - counted_at >= SAME_CAUSE_S:
            count, counted_at = count + 1, at
    return count
