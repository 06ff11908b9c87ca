"""Search for the content that crashed upstreams have in common, without state."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from .crash_evidence import BrokenRun
from .fingerprints import is_whole_request

__all__ = ["Cause", "find_cause"]

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


@dataclass(frozen=True)
class Cause:
    """Content that crashed upstreams, and the ids of the processes that ended.

    ``probability_sum`` is the sum over these of the probability that the content was the cause.
    """

    content: frozenset[str]
    crashed: tuple[str, ...]
    probability_sum: float


def find_cause(
    crashes: Mapping[str, Sequence[BrokenRun]],
    served_at: Callable[[str], float],
    blocked: Iterable[frozenset[str]],
) -> Cause | None:
    """Return the most specific content that explains enough crashes, or None.

    ``crashes`` maps the ids of crashed processes to the runs that broke before their first event,
    the candidates for the cause. ``served_at`` returns the time of the last answer to a request
    with a fingerprint, minus infinity if there was none: it was no cause of an earlier crash, and
    is an improbable one of later crashes. Content in ``blocked`` is not returned again.

    Prompt parts that were never answered and were together in each of the crashes cannot be told
    apart and are returned together. The fingerprint of a whole request is a cause of its own: it
    does not tell which of the parts are to blame, so repetitions of one request blame no part.
    """
    known = frozenset(blocked)
    runs_by_name: dict[str, dict[str, list[BrokenRun]]] = {}
    for process, runs in crashes.items():
        for run in runs:
            for name in run.fingerprints:
                runs_by_name.setdefault(name, {}).setdefault(process, []).append(run)
    search = _Search(crashes, served_at)
    causes = [
        cause
        for name, suspected in runs_by_name.items()
        if len(suspected) >= MIN_CRASHES_IF_PROBABLE
        and (cause := search.examine(name, suspected)) is not None
        and cause.content not in known
    ]
    return max(causes, key=lambda cause: (len(cause.content), cause.probability_sum), default=None)


class _Search:
    """Examination of single fingerprints, with the number of candidates for each crash."""

    def __init__(
        self, crashes: Mapping[str, Sequence[BrokenRun]], served_at: Callable[[str], float]
    ) -> None:
        self._crashes = crashes
        self._served_at = served_at
        self._candidate_counts: dict[tuple[str, bool, bool], int] = {}

    def examine(self, name: str, runs: Mapping[str, Sequence[BrokenRun]]) -> Cause | None:
        """Return the cause that contains a fingerprint, None if the evidence is too weak.

        ``runs`` are those with the fingerprint, by the process that has crashed.
        """
        is_whole, was_answered = is_whole_request(name), self._was_answered(name)
        suspected = {
            process: matching
            for process, ran in runs.items()
            if (matching := [run for run in ran if self._served_at(name) < run.at])
        }
        requests = [run for matching in suspected.values() for run in matching]
        distinct = {next(filter(is_whole_request, run.fingerprints), "") for run in requests}
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
        content = {name}
        if not is_whole:
            common = frozenset.intersection(*(frozenset(run.fingerprints) for run in requests))
            content.update(
                other
                for other in common
                if not is_whole_request(other) and not self._was_answered(other)
            )
        return Cause(frozenset(content), tuple(suspected), probability_sum)

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
        parts = [name for name in run.fingerprints if not is_whole_request(name)]
        if is_whole or not parts:
            return True
        if was_answered:
            return any(self._served_at(name) < run.at for name in parts)
        return any(not self._was_answered(name) for name in parts)

    def _was_answered(self, name: str) -> bool:
        return self._served_at(name) > float("-inf")


def _count_separate(times: Iterable[float]) -> int:
    """Return the number of times, where those within ``SAME_CAUSE_S`` of a counted one are one."""
    count, counted_at = 0, float("-inf")
    for at in sorted(times):
        if at - counted_at >= SAME_CAUSE_S:
            count, counted_at = count + 1, at
    return count
