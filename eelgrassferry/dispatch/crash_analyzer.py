"""Attribution of crashes of upstreams to the content of the requests that ran on them."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from .blocked_contents import BlockedContents
from .broken_runs import BrokenRuns
from .crash_causes import Cause, CauseSearch, search_cause
from .crash_evidence import BlockedContent, BrokenRun, CrashEvidence
from .evidence_buffer import EvidenceBuffer
from .fingerprints import is_whole_request

__all__ = ["CrashAnalyzer"]

# A process that is found to have ended within this time after a broken run has crashed, in seconds.
# The registration of a crashed upstream expires after some seconds.
CONFIRM_WITHIN_S = 10.0
# Observations of one crash by several nodes may arrive in any order within this time, in seconds.
REORDERING_S = 1.0
# A crash is evidence for this time, in seconds.
CRASH_VALID_S = 600.0
# Number of fingerprints whose last answer a node remembers, and of those of one request, so that
# few requests with very many parts do not displace all others.
MAX_ANSWERED = 10_000
MAX_ANSWERED_OF_REQUEST = 500
# The search for causes ends at once if the runs have up to this number of fingerprints. Otherwise
# each call of ``step`` does a part of it.
IMMEDIATE_SEARCH_SIZE = 4000
SEARCH_STEPS = 2


class CrashAnalyzer:
    """Decides which content of requests crashes upstreams, from the observations of all nodes.

    A crash is the end of a process on which requests were running. Candidates for its cause are the
    requests whose answer had not begun. An answer to any request with a fingerprint shows that this
    fingerprint alone does no harm, so that those of much traffic are exonerated within moments.

    Nodes exchange their observations and come to the same verdicts. ``verdicts`` counts the
    changes of these. While ``is_searching``, ``step`` has to be called now and then: the search for
    the causes of crashes under very large requests is done in parts.

    >>> analyzer = CrashAnalyzer()
    >>> for number in (1, 2):
    ...     analyzer.record_broken(f"u{number}", ("part:a", "part:b", f"request:{number}"), number)
    ...     analyzer.record_ended(f"u{number}", number)
    >>> analyzer.is_blocked(("part:a", "part:b", "request:3"))
    True
    >>> analyzer.is_blocked(("part:a", "part:c", "request:4"))
    False
    """

    def __init__(self) -> None:
        self.verdicts = 0
        self._runs = BrokenRuns()
        self._search: CauseSearch | None = None
        self._is_search_due = False
        self._crashed: set[str] = set()
        self._ended: dict[str, float] = {}
        self._alive: dict[str, float] = {}
        self._served: dict[str, float] = {}
        self._answered: OrderedDict[str, float] = OrderedDict()
        self._blocked = BlockedContents()
        self._new_verdicts: list[BlockedContent] = []
        self._updates = EvidenceBuffer()

    # Observations of this node

    def record_broken(self, process: str, fingerprints: Sequence[str], now: float) -> None:
        """Record a run that broke before its first event."""
        run = BrokenRun(process, now, tuple(fingerprints))
        self.merge(CrashEvidence(broken_runs=(run,)), now)

    def record_ended(self, process: str, now: float, share: bool = True) -> None:
        """Record that a process has ended, with ``share`` also for the other nodes."""
        if now - self._ended.get(process, float("-inf")) > CONFIRM_WITHIN_S / 2.0:
            self.merge(CrashEvidence(ended={process: now}), now, share)

    def record_alive(self, process: str, sent_at: float, now: float) -> None:
        """Record that a process answers a request that was sent to it at ``sent_at``."""
        if any(run.process == process and run.at < sent_at for run in self._runs):
            self.merge(CrashEvidence(alive={process: sent_at}), now)

    def record_served(self, fingerprints: Sequence[str], now: float) -> None:
        """Record that the answer to a request has begun.

        Only the first answer after the last broken run with a fingerprint is shared.
        """
        self._remember_answer(fingerprints, now)
        broken_at = self._runs.broken_at
        if not broken_at and not self._blocked:
            return
        served = {
            name: now
            for name in fingerprints
            if name in broken_at and self._served_at(name) <= broken_at[name]
        }
        refuted = tuple(replace(b, served_at=now) for b in self._blocks_in(fingerprints))
        if served or refuted:
            self.merge(CrashEvidence(served=served, blocked=refuted), now)

    # Exchange with other nodes

    def merge(self, evidence: CrashEvidence, now: float, share: bool = True) -> None:
        """Add observations. With ``share``, the new ones are also returned by ``pop_updates``."""
        new = CrashEvidence(
            tuple(run for run in evidence.broken_runs if self._add_run(run)),
            _merge_times(self._ended, evidence.ended),
            _merge_times(self._alive, evidence.alive),
            _merge_times(self._served, evidence.served),
            tuple(block for block in evidence.blocked if self._add_block(block)),
        )
        if share and new:
            self._updates.add(new)
        for name, at in evidence.served.items():
            self._remember_answer((name,), at)
            if name not in self._runs.broken_at:
                self._served.pop(name, None)
        self._recall_answers(new.broken_runs)
        self._expire(now)
        if new.broken_runs or new.ended:
            self._is_search_due = True
            if self._runs.fingerprint_count <= IMMEDIATE_SEARCH_SIZE:
                while self.is_searching:
                    self.step(now)

    def pop_updates(self) -> CrashEvidence:
        """Return the observations to share since the previous call, or a part of them.

        Further calls return the rest while there are more than one message may contain.
        """
        return self._updates.pop()

    def share_all(self) -> None:
        """Return all observations from the next calls of ``pop_updates``, for a new receiver."""
        self._updates = self._buffer_all()

    def all_evidence(self) -> CrashEvidence:
        """Return the observations that may still matter, as far as one message may contain them."""
        return self._buffer_all().pop()

    def _buffer_all(self) -> EvidenceBuffer:
        buffer = EvidenceBuffer()
        runs, blocked = tuple(self._runs), tuple(self._blocked)
        buffer.add(CrashEvidence(runs, self._ended, self._alive, self._served, blocked))
        return buffer

    # Verdicts

    def is_blocked(self, fingerprints: Iterable[str]) -> bool:
        """Return whether requests with these fingerprints crash upstreams."""
        return bool(self._blocks_in(fingerprints))

    @property
    def blocked_content(self) -> frozenset[frozenset[str]]:
        """Content that is blocked now."""
        return frozenset(block.fingerprints for block in self._blocked if block.in_force)

    def restore(self, blocked: Iterable[frozenset[str]], now: float) -> None:
        """Block content on which an earlier process has decided, unless it is known here."""
        new = tuple(BlockedContent(c, now) for c in blocked if self._blocked.get(c) is None)
        if new:
            self.merge(CrashEvidence(blocked=new), now)

    def begin_trial(self, fingerprints: Iterable[str], now: float) -> bool:
        """Return whether a blocked request may be sent as a trial; if so, record the trial."""
        blocks = self._blocks_in(fingerprints)
        if any(now < block.next_trial_at for block in blocks):
            return False
        tried = tuple(replace(b, blocked_at=now, trials=b.trials + 1) for b in blocks)
        self.merge(CrashEvidence(blocked=tried), now)
        return True

    @property
    def has_updates(self) -> bool:
        """Whether there are observations to share."""
        return bool(self._updates)

    def pop_new_verdicts(self) -> list[BlockedContent]:
        """Return the content that was blocked or unblocked since the previous call."""
        verdicts, self._new_verdicts = self._new_verdicts, []
        return verdicts

    @property
    def is_searching(self) -> bool:
        """Whether the search for causes has not taken all observations into account yet."""
        return self._is_search_due or self._search is not None

    @property
    def dropped_runs(self) -> int:
        """Number of broken runs that were dropped because of the limits."""
        return self._runs.dropped

    def step(self, now: float) -> None:
        """Do a part of the search for the causes of crashes, and block those that were found."""
        for _ in range(SEARCH_STEPS):
            if self._search is None:
                if not self._is_search_due:
                    return
                self._is_search_due = False
                self._search = self._begin_search()
            try:
                next(self._search)
            except StopIteration as result:
                self._search = None
                if result.value is not None:
                    self._block(result.value, now)

    def _begin_search(self) -> CauseSearch:
        """Begin to search for a cause of the crashes that blocked content does not explain yet."""
        crashes: dict[str, list[BrokenRun]] = {}
        explained: set[str] = set()
        for run in self._runs:
            if self._is_crash(run):
                crashes.setdefault(run.process, []).append(run)
                if self._is_explained(run):
                    explained.add(run.process)
        unexplained = {p: runs for p, runs in crashes.items() if p not in explained}
        return search_cause(unexplained, self._served_at, self.blocked_content)

    def _block(self, cause: Cause, now: float) -> None:
        block = BlockedContent(cause.content, now, crashed=cause.crashed)
        if self._add_block(block):
            self._updates.add(CrashEvidence(blocked=(block,)))
            # Other causes may explain the other crashes.
            self._is_search_due = True

    def _served_at(self, name: str) -> float:
        return self._served.get(name, float("-inf"))

    def _is_crash(self, run: BrokenRun) -> bool:
        """Return whether the process of a broken run has ended at about the same time."""
        return run.process in self._crashed

    def _is_explained(self, run: BrokenRun) -> bool:
        """Return whether blocked prompt parts explain the end of a run.

        A blocked whole request does not, because one of its parts may be the cause.
        """
        return self._runs.is_explained(run, self.verdicts, lambda: self._has_blocked_parts(run))

    def _has_blocked_parts(self, run: BrokenRun) -> bool:
        return any(
            not any(map(is_whole_request, block.fingerprints))
            for block in self._blocks_in(run.fingerprints)
        )

    def _blocks_in(self, fingerprints: Iterable[str]) -> list[BlockedContent]:
        """Return the verdicts in force on content of a request with these fingerprints."""
        return self._blocked.find(fingerprints)

    # State

    def _remember_answer(self, fingerprints: Sequence[str], now: float) -> None:
        for name in fingerprints[:MAX_ANSWERED_OF_REQUEST]:
            self._answered[name] = max(now, self._answered.get(name, now))
            self._answered.move_to_end(name)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def _recall_answers(self, runs: Iterable[BrokenRun]) -> None:
        """Share when this node last had answers to the content of broken runs."""
        names = {name for run in runs for name in run.fingerprints}
        recalled = {name: self._answered[name] for name in sorted(names & self._answered.keys())}
        new = _merge_times(self._served, recalled)
        if new:
            self._updates.add(CrashEvidence(served=new))

    def _add_run(self, run: BrokenRun) -> bool:
        """Store a run; return False if it is known or its process has answered since."""
        return not self._is_alive(run) and self._runs.add(run)

    def _add_block(self, block: BlockedContent) -> bool:
        """Store a verdict and return whether it changes anything."""
        known = self._blocked.get(block.fingerprints)
        if known is None:
            merged = block
        elif known.in_force and (block.served_at, block.trials) <= (known.served_at, known.trials):
            # Other nodes come to the same verdict at slightly different times.
            return False
        else:
            merged = known.merged(block)
        if merged == known:
            return False
        self._blocked.put(merged)
        if known is None or known.in_force != merged.in_force:
            self.verdicts += 1
            self._new_verdicts.append(merged)
        return True

    def _is_alive(self, run: BrokenRun) -> bool:
        return run.at < self._alive.get(run.process, float("-inf"))

    def _expire(self, now: float) -> None:
        """Drop runs that are no evidence of a crash, and the state that belongs to no run."""
        for run in self._runs:
            ended_at = self._ended.get(run.process, float("-inf"))
            if -REORDERING_S <= ended_at - run.at <= CONFIRM_WITHIN_S:
                self._crashed.add(run.process)
        gone = self._runs.keep(
            lambda run: not self._is_alive(run) and now - run.at <= self._valid_s(run)
        )
        for name in gone:
            self._served.pop(name, None)
        self._crashed &= {run.process for run in self._runs}
        self._ended = _recent(self._ended, now)
        self._alive = _recent(self._alive, now)

    def _valid_s(self, run: BrokenRun) -> float:
        """Return how long a run is kept, in seconds."""
        is_evidence = self._is_crash(run) and not self._is_explained(run)
        return CRASH_VALID_S if is_evidence else CONFIRM_WITHIN_S


def _merge_times(times: dict[str, float], new: Mapping[str, float]) -> dict[str, float]:
    """Update times by later ones and return those that have changed."""
    changed = {key: at for key, at in new.items() if at > times.get(key, float("-inf"))}
    times.update(changed)
    return changed


def _recent(times: dict[str, float], now: float) -> dict[str, float]:
    return {key: at for key, at in times.items() if now - at <= CONFIRM_WITHIN_S}
