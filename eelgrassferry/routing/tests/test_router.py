"""Tests of the router's facade."""

import unittest
from collections import Counter

from .. import (
    Dispatch,
    ExecutionStatus,
    FailureKind,
    LoadReport,
    Preempt,
    RefusalReason,
    Refuse,
    ResidentCopy,
    RetryReason,
    UpstreamFailure,
    UpstreamState,
    WantModel,
)
from .fixtures import build_request, build_router


def find(actions, kind):
    """Return the actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


class RouterTest(unittest.TestCase):
    """Submission, failure, resumption and departure of upstreams."""

    def test_dispatches_to_a_resident_copy(self):
        """Guards against requests sent where the model is not resident."""
        router = build_router()
        router.update_residency("u1", (), UpstreamState.LIVE, 0.0)
        for i in range(6):
            (dispatch,) = router.submit(build_request(f"r{i}"), 0.0)
            self.assertIn(dispatch.upstream, ("u2", "u3"))

    def test_unknown_model_is_refused_as_not_run(self):
        """Guards against I4: a refusal before dispatch says that nothing ran."""
        (refusal,) = build_router().submit(build_request(name="m9"), 0.0)
        self.assertEqual((refusal.reason, refusal.status), (RefusalReason.UNKNOWN_MODEL, 404))
        self.assertIs(refusal.ran, ExecutionStatus.NO)

    def test_adapter_is_loaded_beside_its_base(self):
        """Guards against adapters that are unreachable until somebody loads them."""
        (dispatch,) = build_router().submit(build_request(name="a1"), 0.0)
        self.assertTrue(dispatch.load_adapter)

    def test_leaving_upstream_gets_no_new_work(self):
        """Guards against I6, for queued requests as well as new ones."""
        router = build_router(upstreams=1, max_batch=1)
        router.submit(build_request("r1"), 0.0)
        router.submit(build_request("r2"), 0.0)
        copies = (ResidentCopy("m1", "1"),)
        self.assertEqual(router.update_residency("u1", copies, UpstreamState.LEAVING, 0.1), ())
        self.assertEqual(find(router.finish("r1", 0.2), Dispatch), [])
        self.assertEqual(find(router.tick(0.3), Dispatch), [])

    def test_queued_request_runs_when_a_place_frees(self):
        """Guards against a queue that waits for the next submission."""
        router = build_router(upstreams=1, max_batch=1)
        router.submit(build_request("r1"), 0.0)
        self.assertEqual(find(router.submit(build_request("r2"), 0.0), Dispatch), [])
        (dispatch,) = find(router.finish("r1", 0.2), Dispatch)
        self.assertEqual(dispatch.request_id, "r2")

    def test_broken_stream_resumes_elsewhere_with_its_version(self):
        """Guards against answers that mix two versions or repeat tokens."""
        router = build_router(upstreams=2)
        (first,) = router.submit(build_request("r1"), 0.0)
        other = "u2" if first.upstream == "u1" else "u1"
        third = (ResidentCopy("m1", "2"),)
        router.update_residency(other, third, UpstreamState.LIVE, 0.0)
        router.note_first_token("r1", 0.1)
        router.note_tokens("r1", 7, 0.2)
        router.update_residency(first.upstream, (), UpstreamState.GONE, 0.3)
        failure = UpstreamFailure(FailureKind.BROKEN, first.upstream)
        self.assertEqual(find(router.fail("r1", failure, 7, 0.3), Dispatch), [])
        both = (ResidentCopy("m1", "1", serving=False), ResidentCopy("m1", "2"))
        (again,) = router.update_residency(other, both, UpstreamState.LIVE, 0.4)
        self.assertEqual((again.upstream, again.version, again.tokens_done), (other, "1", 7))
        self.assertIs(again.retry, RetryReason.BROKEN)

    def test_call_that_may_have_run_is_not_repeated(self):
        """Guards against I5 and against telling the caller that it did not run."""
        router = build_router()
        (first,) = router.submit(build_request("r1", repeatable=False), 0.0)
        actions = router.fail("r1", UpstreamFailure(FailureKind.BROKEN, first.upstream), 0, 0.1)
        (refusal,) = find(actions, Refuse)
        self.assertEqual(refusal.reason, RefusalReason.NOT_REPEATABLE)
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)

    def test_definite_refusal_allows_another_upstream(self):
        """Guards against giving up on an order that is known not to have run."""
        router = build_router()
        (first,) = router.submit(build_request("r1", repeatable=False), 0.0)
        actions = router.fail("r1", UpstreamFailure(FailureKind.NOT_RUN, first.upstream), 0, 0.1)
        (again,) = find(actions, Dispatch)
        self.assertNotEqual(again.upstream, first.upstream)

    def test_only_copy_is_tried_again_after_a_pause(self):
        """Guards against attempts used up at once on an upstream that just became unreachable."""
        router = build_router(upstreams=1)
        router.submit(build_request("r1"), 0.0)
        actions = router.fail("r1", UpstreamFailure(FailureKind.NOT_RUN, "u1"), 0, 0.01)
        self.assertEqual(find(actions, Dispatch) + find(actions, Refuse), [])
        self.assertEqual(find(router.tick(0.05), Dispatch), [])
        # The first tick after the pause lifts the ban, the next one sends.
        again = find((*router.tick(0.2), *router.tick(0.22)), Dispatch)
        self.assertEqual([dispatch.request_id for dispatch in again], ["r1"])

    def test_refusing_upstream_is_left_alone_for_a_moment(self):
        """Guards against a retry budget spent on an upstream that has become unreachable."""
        router = build_router(upstreams=2)
        sent = Counter()
        for index in range(20):
            request_id = f"r{index}"
            actions = router.submit(build_request(request_id, deadline_at=9.0), 0.001 * index)
            while found := find(actions, Dispatch):
                sent[found[0].upstream] += 1
                if found[0].upstream == "u2":
                    router.note_first_token(request_id, 0.001 * index)
                    router.finish(request_id, 0.001 * index)
                    break
                failure = UpstreamFailure(FailureKind.NOT_RUN, "u1")
                actions = router.fail(request_id, failure, 0, 0.001 * index)
        self.assertEqual(sent, {"u1": 2, "u2": 20})

    def test_urgent_request_preempts_a_patient_stream(self):
        """Guards against I9 and against a preempted stream that is lost."""
        router = build_router(upstreams=1, max_batch=1)
        router.submit(build_request("p", urgent=False, deadline_at=100.0), 0.0)
        actions = router.submit(build_request("q"), 0.1)
        (preempt,) = find(actions, Preempt)
        self.assertEqual(preempt.request_id, "p")
        failure = UpstreamFailure(FailureKind.PREEMPTED, "u1")
        (dispatch,) = find(router.fail("p", failure, 3, 0.2), Dispatch)
        self.assertEqual(dispatch.request_id, "q")
        (again,) = find(router.finish("q", 0.5), Dispatch)
        self.assertEqual((again.request_id, again.tokens_done), ("p", 3))

    def test_patient_work_progresses_under_lasting_urgent_demand(self):
        """Guards against patient work that starves behind urgent requests (I9)."""
        router = build_router(upstreams=1, max_batch=2)
        running = ["r0", "r1"]
        for name in running:
            router.submit(build_request(name, deadline_at=1e6), 0.0)
        router.submit(build_request("p", urgent=False, deadline_at=1e6), 0.0)
        sent = []
        for i in range(2, 42):
            router.submit(build_request(f"r{i}", deadline_at=1e6), 0.1 * i)
            actions = router.finish(running.pop(0), 0.1 * i + 0.05)
            sent = [action.request_id for action in find(actions, Dispatch)]
            running += sent
            if "p" in sent:
                break
        self.assertIn("p", sent)

    def test_missing_model_is_asked_for(self):
        """Guards against a planner that never hears of demand for a missing model."""
        actions = build_router().submit(build_request(name="m2", deadline_at=0.3), 0.0)
        self.assertEqual(find(actions, WantModel), [WantModel("m2", "1", True)])
        self.assertEqual(find(actions, Refuse)[0].reason, RefusalReason.NOT_RESIDENT)

    def test_waiting_past_the_deadline_is_refused(self):
        """Guards against answers nobody waits for any more."""
        router = build_router(upstreams=1, max_batch=1)
        router.submit(build_request("r1"), 0.0)
        router.submit(build_request("r2", deadline_at=1.0), 0.0)
        (refusal,) = find(router.tick(1.1), Refuse)
        self.assertEqual(refusal.request_id, "r2")
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE_PASSED)

    def test_unreachable_deadline_is_refused_early(self):
        """Guards against queueing what is bound to be late."""
        router = build_router(upstreams=1, max_batch=4)
        router.update_load(LoadReport("u1", 4, 400, 0.0), 0.0)
        (refusal,) = find(router.submit(build_request(deadline_at=0.35), 0.01), Refuse)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE_UNREACHABLE)
        self.assertIsNotNone(refusal.retry_after_s)

    def test_slow_tokens_are_avoided_but_probed(self):
        """Guards against requests that miss the time between tokens at a degraded upstream."""
        router = build_router(upstreams=2, max_batch=16)
        taken = Counter()
        for index in range(400):
            now = 0.1 * index
            request_id = f"r{index}"
            (dispatch,) = router.submit(build_request(request_id, deadline_at=now + 1), now)
            taken[dispatch.upstream] += index >= 100
            gap_s = 0.1 if dispatch.upstream == "u1" else 0.01
            router.note_first_token(request_id, now)
            router.note_tokens(request_id, 33, now + 32 * gap_s)
            router.finish(request_id, now + 32 * gap_s)
        self.assertLessEqual(taken["u1"], 3)
        self.assertGreaterEqual(taken["u1"], 1)
        actions = router.submit(build_request("p", urgent=False, deadline_at=100.0), 50.0)
        self.assertEqual(find(actions, Dispatch)[0].upstream, "u1")

    def test_late_place_is_left_for_a_timely_one(self):
        """Guards against a wait in a small engine's queue that costs more than the target."""
        router = build_router(upstreams=2, max_batch=4)
        router.update_load(LoadReport("u1", 4, 1, 0.0), 0.0)
        for index in range(3):
            (dispatch,) = router.submit(build_request(f"r{index}", deadline_at=0.15), 0.01)
            self.assertEqual(dispatch.upstream, "u2")

    def test_cancel_frees_the_place(self):
        """Guards against places lost to callers that went away."""
        router = build_router(upstreams=1, max_batch=1)
        router.submit(build_request("r1"), 0.0)
        router.submit(build_request("r2"), 0.0)
        (dispatch,) = find(router.cancel("r1", 0.1), Dispatch)
        self.assertEqual(dispatch.request_id, "r2")
        self.assertEqual(router.own_dispatches(), {"u1": 1.0})


if __name__ == "__main__":
    unittest.main()
