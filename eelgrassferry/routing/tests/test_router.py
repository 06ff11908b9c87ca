"""Tests of the router."""

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
    ReportDemand,
    ResidentCopy,
    RetryReason,
    UpstreamFailure,
    UpstreamState,
)
from .fixtures import build_request, build_router


def actions_of(actions, kind):
    """Return the actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


class RouterTest(unittest.TestCase):
    """Tests of submission, failures, resumption and changes of upstreams."""

    def test_dispatches_to_a_resident_copy(self):
        """Guards against dispatching to upstreams where the model is not resident."""
        router = build_router()
        router.update_residency("u1", (), UpstreamState.LIVE, 0.0)
        for i in range(6):
            (dispatch,) = router.submit(build_request(f"r{i}"), 0.0)
            self.assertIn(dispatch.upstream, ("u2", "u3"))

    def test_unknown_model_is_refused_as_not_run(self):
        """Guards against a refusal before dispatch that reports a possible run (I4)."""
        (refusal,) = build_router().submit(build_request(name="m9"), 0.0)
        self.assertEqual((refusal.reason, refusal.status), (RefusalReason.UNKNOWN_MODEL, 404))
        self.assertIs(refusal.ran, ExecutionStatus.NO)

    def test_adapter_is_loaded_where_its_base_model_is_resident(self):
        """Guards against adapters that cannot be used until they are loaded by other means."""
        (dispatch,) = build_router().submit(build_request(name="a1"), 0.0)
        self.assertTrue(dispatch.load_adapter)

    def test_leaving_upstream_gets_no_new_requests(self):
        """Guards against dispatching queued or new requests to a leaving upstream (I6)."""
        router = build_router(upstreams=1, max_batch=1)
        router.submit(build_request("r1"), 0.0)
        router.submit(build_request("r2"), 0.0)
        copies = (ResidentCopy("m1", "1"),)
        self.assertEqual(router.update_residency("u1", copies, UpstreamState.LEAVING, 0.1), ())
        self.assertEqual(actions_of(router.finish("r1", 0.2), Dispatch), [])
        self.assertEqual(actions_of(router.tick(0.3), Dispatch), [])

    def test_queued_request_runs_when_a_slot_is_freed(self):
        """Guards against queued requests that are dispatched only at the next submission."""
        router = build_router(upstreams=1, max_batch=1)
        router.submit(build_request("r1"), 0.0)
        self.assertEqual(actions_of(router.submit(build_request("r2"), 0.0), Dispatch), [])
        (dispatch,) = actions_of(router.finish("r1", 0.2), Dispatch)
        self.assertEqual(dispatch.request_id, "r2")

    def test_broken_stream_resumes_elsewhere_with_its_version(self):
        """Guards against answers that mix two versions or repeat tokens."""
        router = build_router(upstreams=2)
        (first,) = router.submit(build_request("r1"), 0.0)
        other = "u2" if first.upstream == "u1" else "u1"
        third = (ResidentCopy("m1", "2"),)
        router.update_residency(other, third, UpstreamState.LIVE, 0.0)
        router.record_first_token("r1", 0.1)
        router.record_tokens("r1", 7, 0.2)
        router.update_residency(first.upstream, (), UpstreamState.GONE, 0.3)
        failure = UpstreamFailure(FailureKind.BROKEN, first.upstream)
        self.assertEqual(actions_of(router.fail("r1", failure, 7, 0.3), Dispatch), [])
        both = (ResidentCopy("m1", "1", serving=False), ResidentCopy("m1", "2"))
        (again,) = router.update_residency(other, both, UpstreamState.LIVE, 0.4)
        self.assertEqual((again.upstream, again.version, again.tokens_done), (other, "1", 7))
        self.assertIs(again.retry, RetryReason.BROKEN)

    def test_call_that_may_have_run_is_not_repeated(self):
        """Guards against repeating the call (I5) and against reporting that it did not run."""
        router = build_router()
        (first,) = router.submit(build_request("r1", repeatable=False), 0.0)
        actions = router.fail("r1", UpstreamFailure(FailureKind.BROKEN, first.upstream), 0, 0.1)
        (refusal,) = actions_of(actions, Refuse)
        self.assertEqual(refusal.reason, RefusalReason.NOT_REPEATABLE)
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)

    def test_request_that_did_not_run_is_retried_elsewhere(self):
        """Guards against refusing a non-repeatable request that is known not to have run."""
        router = build_router()
        (first,) = router.submit(build_request("r1", repeatable=False), 0.0)
        actions = router.fail("r1", UpstreamFailure(FailureKind.NOT_RUN, first.upstream), 0, 0.1)
        (again,) = actions_of(actions, Dispatch)
        self.assertNotEqual(again.upstream, first.upstream)

    def test_only_copy_is_tried_again_after_a_pause(self):
        """Guards against using up all attempts at once on an upstream that became unreachable."""
        router = build_router(upstreams=1)
        router.submit(build_request("r1"), 0.0)
        actions = router.fail("r1", UpstreamFailure(FailureKind.NOT_RUN, "u1"), 0, 0.01)
        self.assertEqual(actions_of(actions, Dispatch) + actions_of(actions, Refuse), [])
        self.assertEqual(actions_of(router.tick(0.05), Dispatch), [])
        # The first tick after the backoff clears the avoided upstream, the next one dispatches.
        again = actions_of((*router.tick(0.2), *router.tick(0.22)), Dispatch)
        self.assertEqual([dispatch.request_id for dispatch in again], ["r1"])

    def test_refusing_upstream_is_in_backoff(self):
        """Guards against spending the retry budget on an upstream that became unreachable."""
        router = build_router(upstreams=2)
        sent = Counter()
        for index in range(20):
            request_id = f"r{index}"
            actions = router.submit(build_request(request_id, deadline_at=9.0), 0.001 * index)
            while found := actions_of(actions, Dispatch):
                sent[found[0].upstream] += 1
                if found[0].upstream == "u2":
                    router.record_first_token(request_id, 0.001 * index)
                    router.finish(request_id, 0.001 * index)
                    break
                failure = UpstreamFailure(FailureKind.NOT_RUN, "u1")
                actions = router.fail(request_id, failure, 0, 0.001 * index)
        self.assertEqual(sent, {"u1": 2, "u2": 20})

    def test_urgent_request_preempts_a_patient_stream(self):
        """Guards against urgent requests that wait for patient ones (I9) and lost streams."""
        router = build_router(upstreams=1, max_batch=1)
        router.submit(build_request("p", urgent=False, deadline_at=100.0), 0.0)
        actions = router.submit(build_request("q"), 0.1)
        (preempt,) = actions_of(actions, Preempt)
        self.assertEqual(preempt.request_id, "p")
        failure = UpstreamFailure(FailureKind.PREEMPTED, "u1")
        (dispatch,) = actions_of(router.fail("p", failure, 3, 0.2), Dispatch)
        self.assertEqual(dispatch.request_id, "q")
        (again,) = actions_of(router.finish("q", 0.5), Dispatch)
        self.assertEqual((again.request_id, again.tokens_done), ("p", 3))

    def test_patient_requests_progress_under_lasting_urgent_demand(self):
        """Guards against starvation of patient requests by urgent ones (I9)."""
        router = build_router(upstreams=1, max_batch=2)
        running = ["r0", "r1"]
        for name in running:
            router.submit(build_request(name, deadline_at=1e6), 0.0)
        router.submit(build_request("p", urgent=False, deadline_at=1e6), 0.0)
        sent = []
        for i in range(2, 42):
            router.submit(build_request(f"r{i}", deadline_at=1e6), 0.1 * i)
            actions = router.finish(running.pop(0), 0.1 * i + 0.05)
            sent = [action.request_id for action in actions_of(actions, Dispatch)]
            running += sent
            if "p" in sent:
                break
        self.assertIn("p", sent)

    def test_demand_for_a_missing_model_is_reported(self):
        """Guards against demand for a missing model that is not reported to the planner."""
        actions = build_router().submit(build_request(name="m2", deadline_at=0.3), 0.0)
        self.assertEqual(actions_of(actions, ReportDemand), [ReportDemand("m2", "1", True)])
        self.assertEqual(actions_of(actions, Refuse)[0].reason, RefusalReason.NOT_RESIDENT)

    def test_waiting_past_the_deadline_is_refused(self):
        """Guards against dispatching requests whose deadline has passed."""
        router = build_router(upstreams=1, max_batch=1)
        router.submit(build_request("r1"), 0.0)
        router.submit(build_request("r2", deadline_at=1.0), 0.0)
        (refusal,) = actions_of(router.tick(1.1), Refuse)
        self.assertEqual(refusal.request_id, "r2")
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE_PASSED)

    def test_unreachable_deadline_is_refused_early(self):
        """Guards against queueing requests that cannot meet their deadline."""
        router = build_router(upstreams=1, max_batch=4)
        router.update_load(LoadReport("u1", 4, 400, 0.0), 0.0)
        (refusal,) = actions_of(router.submit(build_request(deadline_at=0.35), 0.01), Refuse)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE_UNREACHABLE)
        self.assertIsNotNone(refusal.retry_after_s)

    def test_upstream_with_high_token_gap_is_avoided_but_probed(self):
        """Guards against requests that miss the token gap target at a degraded upstream."""
        router = build_router(upstreams=2, max_batch=16)
        dispatched = Counter()
        for index in range(400):
            now = 0.1 * index
            request_id = f"r{index}"
            (dispatch,) = router.submit(build_request(request_id, deadline_at=now + 1), now)
            dispatched[dispatch.upstream] += index >= 100
            gap_s = 0.1 if dispatch.upstream == "u1" else 0.01
            router.record_first_token(request_id, now)
            router.record_tokens(request_id, 33, now + 32 * gap_s)
            router.finish(request_id, now + 32 * gap_s)
        self.assertLessEqual(dispatched["u1"], 3)
        self.assertGreaterEqual(dispatched["u1"], 1)
        actions = router.submit(build_request("p", urgent=False, deadline_at=100.0), 50.0)
        self.assertEqual(actions_of(actions, Dispatch)[0].upstream, "u1")

    def test_timely_upstream_is_preferred_to_a_late_one(self):
        """Guards against queueing at a small engine for longer than the first-token target."""
        router = build_router(upstreams=2, max_batch=4)
        router.update_load(LoadReport("u1", 4, 1, 0.0), 0.0)
        for index in range(3):
            (dispatch,) = router.submit(build_request(f"r{index}", deadline_at=0.15), 0.01)
            self.assertEqual(dispatch.upstream, "u2")

    def test_cancel_frees_the_slot(self):
        """Guards against slots that stay occupied by callers that disconnected."""
        router = build_router(upstreams=1, max_batch=1)
        router.submit(build_request("r1"), 0.0)
        router.submit(build_request("r2"), 0.0)
        (dispatch,) = actions_of(router.cancel("r1", 0.1), Dispatch)
        self.assertEqual(dispatch.request_id, "r2")
        self.assertEqual(router.own_dispatches(), {"u1": 1.0})


if __name__ == "__main__":
    unittest.main()
