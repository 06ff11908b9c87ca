"""Tests of the attribution of crashes to requests with very many prompt parts."""

import random
import time
import unittest

from ...coordination.crash_evidence_codec import encode_crash_evidence
from ...peers.frame import MAX_FRAME_BYTES, Frame, encode_frame
from .. import BlockedContent, BrokenRun, CrashAnalyzer, CrashEvidence
from ..blocked_contents import MAX_BLOCKED_BYTES, BlockedContents
from ..broken_runs import MAX_BROKEN_BYTES, BrokenRuns
from ..crash_causes import STEP_SIZE, search_cause
from ..crash_evidence import size_of
from ..evidence_buffer import MAX_WAITING_ANSWERS, MAX_WAITING_RUNS, EvidenceBuffer

# As many parts as the head of a request holds.
PARTS = 2000
DEADLY = "part:deadly"
COMMON = tuple(f"part:{number:08x}" for number in range(PARTS))
# A node has to answer its other callers within this time in seconds (CONFIG).
ANSWER_S = 0.5


def crashes_of(requests: int, parts: int = PARTS, processes: int = 3) -> dict[str, list[BrokenRun]]:
    """Return crashes, each under some requests with the same parts beside their own last one."""
    return {
        f"u{process}/1": [
            BrokenRun(
                f"u{process}/1",
                float(process),
                (*COMMON[:parts], DEADLY, f"request:{process}-{number}"),
            )
            for number in range(requests)
        ]
        for process in range(processes)
    }


def settle(analyzer: CrashAnalyzer, now: float) -> int:
    """Let an analyzer end its search and return the number of steps."""
    steps = 0
    while analyzer.is_searching:
        analyzer.step(now)
        steps += 1
    return steps


class SearchTest(unittest.TestCase):
    """The search for causes among the parts of large requests."""

    def count_steps(self, parts: int) -> int:
        return sum(1 for _ in search_cause(crashes_of(5, parts), lambda _name: float("-inf"), ()))

    def test_observations_of_large_requests_do_not_hold_up_a_node(self):
        """Guards against a violation of CONFIG: the search for the cause of crashes takes time with
        the square of the parts, in the event loops of all nodes (review case 13).
        """
        analyzer, longest_s = CrashAnalyzer(), 0.0

        def measure(call, *args):
            nonlocal longest_s
            begun_at = time.process_time()
            call(*args)
            longest_s = max(longest_s, time.process_time() - begun_at)

        for process, runs in crashes_of(5).items():
            for run in runs:
                measure(analyzer.record_broken, process, run.fingerprints, run.at)
            measure(analyzer.record_ended, process, run.at + 0.2)
            while analyzer.is_searching:
                measure(analyzer.step, run.at + 0.3)
        self.assertLess(longest_s, ANSWER_S)
        self.assertTrue(analyzer.is_blocked((*COMMON, DEADLY, "request:9")))

    def test_steps_grow_in_proportion_to_the_parts(self):
        """Guards against work that grows faster than what a node has observed."""
        fingerprints = sum(len(r.fingerprints) for rs in crashes_of(5).values() for r in rs)
        self.assertLess(self.count_steps(PARTS), 4 * (fingerprints / STEP_SIZE + 15))

    def test_own_parts_of_each_request_are_compared_in_steps(self):
        """Guards against one long step if hardly any two parts are in the same runs."""
        rng = random.Random(55)
        crashes = {
            f"u{process}/1": [
                BrokenRun(
                    f"u{process}/1",
                    float(process),
                    (*rng.sample(COMMON, 1000), DEADLY, f"request:{process}-{number}"),
                )
                for number in range(3)
            ]
            for process in range(4)
        }
        search, longest_s, cause = search_cause(crashes, lambda _name: float("-inf"), ()), 0.0, None
        while cause is None:
            begun_at = time.process_time()
            try:
                next(search)
            except StopIteration as result:
                cause = result.value
            longest_s = max(longest_s, time.process_time() - begun_at)
        self.assertLess(longest_s, ANSWER_S)
        self.assertIsNotNone(cause)


class LatePartTest(unittest.TestCase):
    """One part of a large prompt, behind all others, crashes upstreams."""

    def setUp(self):
        self.analyzer = CrashAnalyzer()
        self.analyzer.record_broken("u0/1", (*COMMON, DEADLY, "request:0"), 1.0)
        self.analyzer.record_ended("u0/1", 1.2)
        self.analyzer.record_served((*COMMON, "request:1"), 2.0)
        for number in (2, 3):
            process = f"u{number}/1"
            self.analyzer.record_broken(
                process, (*COMMON, DEADLY, f"request:{number}"), 2.0 * number
            )
            self.analyzer.record_ended(process, 2.0 * number + 0.2)
            settle(self.analyzer, 2.0 * number + 0.3)

    def test_late_part_is_blocked(self):
        """Guards against a limit that lets a deadly part through because it comes late."""
        self.assertTrue(self.analyzer.is_blocked((*COMMON, DEADLY, "request:9")))
        self.assertTrue(self.analyzer.is_blocked((DEADLY, "request:9")))

    def test_other_parts_are_not_blamed(self):
        """Guards against refusing sound requests that share thousands of parts."""
        self.assertFalse(self.analyzer.is_blocked((*COMMON, "request:9")))


class LimitTest(unittest.TestCase):
    """Limits of what a node remembers and sends, in bytes."""

    def test_large_runs_are_bounded_and_each_crash_keeps_one(self):
        """Guards against memory that grows with the parts, and against a limit by which large
        requests displace the evidence of all other crashes.
        """
        runs = BrokenRuns()
        runs.add(BrokenRun("small/1", 0.0, ("part:a", "request:0")))
        for process in range(6):
            for number in range(20):
                names = tuple(f"{name}-{process}-{number}" for name in COMMON[:500])
                runs.add(BrokenRun(f"u{process}/1", 1.0 + process, names))
                gone = runs.keep(lambda _run: True)
                self.assertTrue(all(name not in runs.broken_at for name in gone))
        self.assertLessEqual(runs.size, MAX_BROKEN_BYTES)
        kept = {run.process for run in runs}
        self.assertEqual(kept, {"small/1", *(f"u{process}/1" for process in range(6))})
        self.assertEqual(runs.size, sum(size_of(run.fingerprints) for run in runs))
        self.assertEqual(runs.broken_at.keys(), {n for run in runs for n in run.fingerprints})

    def test_messages_fit_into_a_frame(self):
        """Guards against a link that is closed because of what a node has to tell."""
        analyzer = CrashAnalyzer()
        for process in range(8):
            for number in range(10):
                names = tuple(f"{name}-{process}-{number}" for name in COMMON)
                analyzer.record_broken(f"u{process}/1", names, 1.0 + 0.5 * process)
            analyzer.record_ended(f"u{process}/1", 1.2 + 0.5 * process)
        analyzer.restore((frozenset(f"{name}-{n}" for name in COMMON) for n in range(40)), 6.0)
        analyzer.share_all()
        evidence, received = analyzer.all_evidence(), CrashAnalyzer()
        messages = [evidence]
        while analyzer.has_updates:
            messages.append(analyzer.pop_updates())
            received.merge(messages[-1], 6.0)
        for message in messages:
            frame = encode_frame(Frame("view", encode_crash_evidence(message, 6.0)))
            self.assertLess(len(frame), MAX_FRAME_BYTES / 2)
        self.assertEqual(received.blocked_content, analyzer.blocked_content)
        self.assertTrue(set(received._runs) == set(analyzer._runs))
        self.assertTrue(evidence.blocked)

    def test_what_waits_for_a_coordinator_is_bounded(self):
        """Guards against memory that grows with each observation while there is no coordinator."""
        buffer = EvidenceBuffer()
        for number in range(1000):
            names = tuple(f"part:{number}-{part}" for part in range(50))
            run = BrokenRun(f"u{number}/1", float(number), names)
            buffer.add(CrashEvidence((run,), served=dict.fromkeys(names, float(number))))
        self.assertEqual(len(buffer._broken_runs), MAX_WAITING_RUNS)
        self.assertEqual(buffer._broken_runs[-1].process, "u999/1")
        self.assertEqual(len(buffer._served), MAX_WAITING_ANSWERS)
        self.assertIn("part:999-0", buffer._served)

    def test_refuted_cause_ends_the_search(self):
        """Guards against a search without end if the cause was answered at the same time."""
        analyzer = CrashAnalyzer()
        analyzer.merge(CrashEvidence(blocked=(BlockedContent(frozenset({DEADLY}), 1.0, 2.0),)), 2.0)
        for number in range(3):
            analyzer.record_broken(f"u{number}/1", (DEADLY, f"request:{number}"), 0.6 * number)
        analyzer.merge(CrashEvidence(ended={f"u{n}/1": 0.6 * n for n in range(3)}), 2.0)
        self.assertFalse(analyzer.is_searching)
        self.assertFalse(analyzer.is_blocked((DEADLY,)))

    def test_large_requests_do_not_displace_the_answers_of_others(self):
        """Guards against a few requests with thousands of parts, after which the parts of all other
        requests count as never answered.
        """
        analyzer = CrashAnalyzer()
        analyzer.record_served(("part:shared", "request:0"), 1.0)
        for number in range(10):
            analyzer.record_served(tuple(f"{name}-{number}" for name in COMMON), 2.0)
        for number in range(3):
            names = ("part:shared", f"request:{number}")
            analyzer.record_broken(f"u{number}/1", names, 3.0 + number)
            analyzer.record_ended(f"u{number}/1", 3.2 + number)
        self.assertFalse(analyzer.is_blocked(("part:shared", "request:9")))

    def test_verdicts_are_bounded_and_the_oldest_one_is_dropped(self):
        """Guards against verdicts that do not fit into one object of the store."""
        blocked = BlockedContents()
        contents = [frozenset(f"{name}-{n}" for name in COMMON) for n in range(20)]
        for at, content in enumerate(contents):
            blocked.put(BlockedContent(content, float(at)))
        self.assertLessEqual(sum(size_of(b.fingerprints) for b in blocked), MAX_BLOCKED_BYTES)
        self.assertEqual(blocked.find(contents[0]), [])
        self.assertEqual([b.fingerprints for b in blocked.find(contents[-1])], [contents[-1]])
        self.assertIsNone(blocked.get(contents[0]))

    def test_requests_are_looked_up_by_a_rare_part(self):
        """Guards against a request that is compared with every verdict on a part that all share."""
        blocked = BlockedContents()
        for number in range(200):
            content = frozenset({"part:shared", f"part:{number}"})
            blocked.put(BlockedContent(content, 1.0))
        self.assertLessEqual(len(blocked._index.get("part:shared", ())), 1)
        found = blocked.find(("part:shared", "part:7", "request:1"))
        self.assertEqual([b.fingerprints for b in found], [frozenset({"part:shared", "part:7"})])

    def test_evidence_of_old_verdicts_is_merged(self):
        """Guards against a verdict that is not lifted because it is looked up by another part."""
        analyzer, content = CrashAnalyzer(), frozenset({"part:a", "part:b"})
        analyzer.merge(CrashEvidence(blocked=(BlockedContent(content, 1.0),)), 1.0)
        analyzer.record_served(("part:a", "part:b", "request:1"), 2.0)
        self.assertFalse(analyzer.is_blocked(("part:a", "part:b", "request:2")))
