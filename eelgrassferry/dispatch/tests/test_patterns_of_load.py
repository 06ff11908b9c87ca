"""Where requests go under loads of a known pattern. No network, virtual time."""

import unittest
from dataclasses import replace

from ...fleet import RequestKind
from ...routing import UpstreamState
from .. import FlightEnd, PaceFactors, Refuse, RefuseReason, Send, UpstreamLoad
from .fixtures import DispatchWorld


class OneBusyCopyOfManyTest(unittest.TestCase):
    """One upstream has work of other nodes, the others idle."""

    def test_new_requests_go_elsewhere(self):
        """Guards against nodes that each see only their own requests."""
        world = DispatchWorld()
        busy = UpstreamLoad(requests=4, backlog={1: 0.8})
        world.dispatcher.set_other_loads({"e0": busy}, 0.0)
        chosen = {world.send(world.make_job()) for _ in range(2)}
        self.assertNotIn("e0", chosen)

    def test_urgent_request_does_not_wait_for_patient_prompts(self):
        """Guards against an urgent request that avoids its upstream for less urgent work."""
        world = DispatchWorld()
        patient = UpstreamLoad(requests=1, backlog={2: 5.0})
        others = UpstreamLoad(requests=1, backlog={0: 0.5})
        world.dispatcher.set_other_loads({"e0": patient, "e1": others, "e2": others}, 0.0)
        self.assertEqual(world.send(world.make_job(priority=0)), "e0")

    def test_slow_copy_is_used_less(self):
        """Guards against equal shares for upstreams of unequal speed."""
        world = DispatchWorld()
        now = 0.0
        sent = []
        for _ in range(60):
            now += 1.0
            job = world.make_job(now=now, tokens=8000)
            instance = world.send(job, now)
            sent.append(instance)
            took_s = 2.0 if instance == "e0" else 0.15
            world.dispatcher.note_first_event(job, now + took_s)
            world.dispatcher.succeed(job, now + took_s)
        self.assertLessEqual(sent[20:].count("e0"), 4)


class SlowEngineBetweenLongPromptsTest(unittest.TestCase):
    """One engine is slow, and all engines read long prompts between the events of streams."""

    def setUp(self):
        self.world = DispatchWorld()
        choice = self.world.dispatcher.choice
        choice.pace.take(PaceFactors({"e0": 2.5}))
        busy = UpstreamLoad(requests=1, backlog={1: 0.1})
        self.world.dispatcher.set_other_loads({"e1": busy, "e2": busy}, 0.0)
        for _ in range(50):
            choice.gaps.note(0.2, 1.0, 300)

    def choices(self, tokens):
        """Return where requests for ``tokens`` of output and a short prompt go."""
        found = []
        for _ in range(20):
            job = self.world.make_job(tokens=200)
            job.max_output_tokens = tokens
            found.append(self.world.send(job))
            self.world.dispatcher.cancel(job, 0.0)
        return found

    def test_long_streams_keep_away(self):
        """Guards against streams that begin in time and are late by their gaps: on the slow engines
        of grown trouble-2, half of them.
        """
        self.assertNotIn("e0", self.choices(300))

    def test_short_streams_do_not(self):
        """Guards against an engine that is left idle for a risk that short streams do not run."""
        self.assertIn("e0", self.choices(1))

    def test_gap_between_two_upstreams_says_nothing(self):
        """Guards against engines that are avoided because another one has crashed."""
        job = self.world.make_job(kind=RequestKind.STREAM)
        job.max_output_tokens = 300
        gaps = self.world.dispatcher.choice.gaps
        before = gaps.chance(1.0, 300, 0.3)
        instance = self.world.send(job)
        job.ran_on.extend(["e9", instance])
        job.longest_pause_ms = 4000
        self.world.dispatcher.succeed(job, 1.0)
        self.assertEqual(gaps.chance(1.0, 300, 0.3), before)


class MoreWorkThanOneEngineDoesTest(unittest.TestCase):
    """A model in demand has one engine left, which cannot serve all in time."""

    def setUp(self):
        self.world = DispatchWorld(nodes=70)
        for name in ("e1", "e2"):
            self.world.directory.update(name, replace(self.world.entries[name], residents={}))

    def load(self, backlog_s, now):
        busy = UpstreamLoad(requests=5, backlog={1: backlog_s})
        self.world.dispatcher.set_other_loads({"e0": busy}, now)

    def test_request_that_would_be_late_does_not_join_the_queue(self):
        """Guards against an engine that serves everything after 3 s, when most callers have left,
        instead of a part within the target (grown scale-1).
        """
        self.load(0.3, 0.0)
        self.assertEqual(self.world.send(self.world.make_job()), "e0")
        self.load(1.5, 0.1)
        self.assertEqual(self.world.dispatcher.submit(self.world.make_job(now=0.1), 0.1), [])
        self.load(0.1, 0.2)
        self.assertEqual([type(act) for act in self.world.dispatcher.pump(0.2)], [Send])

    def test_request_that_waits_long_is_refused_as_not_run(self):
        """Guards against requests that are held until their callers leave."""
        self.load(1.5, 0.0)
        job = self.world.make_job()
        self.assertEqual(self.world.dispatcher.submit(job, 0.0), [])
        for tenth in range(1, 40):
            self.load(1.5, 0.1 * tenth)
            actions = self.world.dispatcher.pump(0.1 * tenth)
            if actions:
                break
        (refused,) = actions
        self.assertIsInstance(refused, Refuse)
        self.assertIs(refused.reason, RefuseReason.NO_CAPACITY)
        self.assertLess(0.1 * tenth, 2.5)


class CrashOfTheOnlyCopyTest(unittest.TestCase):
    """The only engine with a model is gone, and its registration outlives it."""

    def test_model_is_asked_for_again(self):
        """Guards against requests that wait until their deadline for an engine that has crashed,
        while the coordinator does not learn that anything waits (grown scale-1).
        """
        world = DispatchWorld()
        for name in ("e1", "e2"):
            world.directory.update(name, replace(world.entries[name], residents={}))
        job = world.make_job()
        world.send(job)
        (waits, *_) = [*world.dispatcher.fail(job, FlightEnd.NO_LISTENER, 0.1), None]
        self.assertIsNone(waits)
        self.assertEqual(list(world.dispatcher.wanted(0.2)), [("chat", "m0", "")])
        self.assertIs(world.dispatcher.reason_to_wait(job, 0.2), RefuseReason.NOT_RESIDENT)


class SharedPromptsTest(unittest.TestCase):
    """Requests that share the beginning of their prompts."""

    def test_all_nodes_choose_the_same_upstream(self):
        """Guards against shared parts that every upstream reads again."""
        chosen = set()
        for _ in range(5):
            world = DispatchWorld(domain="z")
            chosen.add(world.send(world.make_job(parts=(("p1", 600), ("own", 400)))))
        self.assertEqual(len(chosen), 1)

    def test_nodes_that_have_not_sent_a_prompt_follow_the_others(self):
        """Guards against shared parts that are read on many engines: with 70 nodes, most have not
        sent a prompt's beginning before, and a little load drew them away (grown scale-1).
        """
        parts = (("p1", 6000), ("own", 500))
        home = DispatchWorld(domain="z").send(DispatchWorld().make_job(tokens=6500, parts=parts))
        for busy_s, expected in ((0.06, {home}), (0.5, {"e0", "e1", "e2"} - {home})):
            world = DispatchWorld(domain="z", nodes=70)
            busy = UpstreamLoad(1, backlog={1: busy_s})
            world.dispatcher.set_other_loads({home: busy}, 0.0)
            self.assertIn(world.send(world.make_job(tokens=6500, parts=parts)), expected)

    def test_kept_prompt_outweighs_a_little_load(self):
        """Guards against reading a long shared part again beside an idle upstream."""
        world = DispatchWorld()
        parts = (("p1", 6000), ("own", 500))
        first = world.make_job(tokens=6500, parts=parts)
        home = world.send(first)
        world.dispatcher.note_first_event(first, 0.2)
        world.dispatcher.succeed(first, 0.3)
        world.dispatcher.set_other_loads({home: UpstreamLoad(1, backlog={1: 0.03})}, 0.3)
        again = world.make_job(now=0.3, tokens=6500, parts=parts)
        self.assertEqual(world.send(again, 0.3), home)


class FailingUpstreamTest(unittest.TestCase):
    """One upstream fails part of its requests while its registration is good."""

    def test_it_gets_fewer_requests_and_is_tried_again(self):
        """Guards against a grey upstream that takes its full share."""
        world = DispatchWorld()
        now, sent = 0.0, []
        for _ in range(60):
            now += 0.1
            job = world.make_job(RequestKind.NON_IDEMPOTENT, now)
            instance = world.send(job, now)
            sent.append(instance)
            if instance == "d0":
                job.stored_answer = ("head", b"")
                world.dispatcher.fail(job, FlightEnd.ERROR, now + 0.02)
            else:
                world.dispatcher.succeed(job, now + 0.03)
        self.assertLess(sent.count("d0"), 15)
        late = world.make_job(RequestKind.NON_IDEMPOTENT, now + 60.0)
        self.assertIn(world.send(late, now + 60.0), ("d0", "d1", "d2"))


class NothingCanServeTest(unittest.TestCase):
    """Requests that no upstream can take."""

    def test_unknown_model_and_oversized_request_are_refused_at_once(self):
        """Guards against holding what can never be served."""
        world = DispatchWorld()
        (refusal,) = world.dispatcher.submit(world.make_job(model="nobody"), 0.0)
        self.assertEqual(
            (refusal.reason, refusal.retry_after_s), (RefuseReason.UNKNOWN_MODEL, None)
        )
        (refusal,) = world.dispatcher.submit(world.make_job(tokens=30_000), 0.0)
        self.assertIs(refusal.reason, RefuseReason.TOO_LARGE)

    def test_missing_model_is_told_to_come_back_before_the_caller_leaves(self):
        """Guards against callers that leave after 2.4 s without an answer (trouble-2)."""
        world = DispatchWorld()
        job = world.make_job(model="m1")
        self.assertEqual(world.dispatcher.submit(job, 0.0), [])
        self.assertEqual(world.dispatcher.pump(1.0), [])
        (refusal,) = world.dispatcher.pump(1.4)
        self.assertIs(refusal.reason, RefuseReason.NOT_RESIDENT)
        self.assertGreater(refusal.retry_after_s, 0.0)

    def test_cut_off_domain_refuses_what_others_can_serve(self):
        """Guards against tries of upstreams that cannot be reached (zone cuts)."""
        world = DispatchWorld(domain="a")
        world.dispatcher.set_isolated(True, 0.0)
        self.assertEqual(world.send(world.make_job()), "e0")
        entry = replace(world.entries["e0"], state=UpstreamState.LEAVING)
        world.directory.update("e0", entry)
        (refusal,) = world.dispatcher.submit(world.make_job(), 0.1)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual(refusal.retry_after_s, 1.0)

    def test_stopping_node_sends_waiting_requests_to_others(self):
        """Guards against LOST: requests that wait when the process ends (hunt fa2e)."""
        world = DispatchWorld()
        job = world.make_job(model="m1")
        world.dispatcher.submit(job, 0.0)
        (refusal,) = world.dispatcher.stop(0.1)
        self.assertIs(refusal.reason, RefuseReason.STOPPING)
        (refusal,) = world.dispatcher.submit(world.make_job(), 0.2)
        self.assertIs(refusal.reason, RefuseReason.STOPPING)


class FullUpstreamsTest(unittest.TestCase):
    """More requests than places."""

    def test_waiting_requests_go_by_urgency(self):
        """Guards against patient work before urgent work in the node's own queue."""
        world = DispatchWorld()
        flying = [world.make_job() for _ in range(24)]
        for job in flying:
            world.dispatcher.submit(job, 0.0)
        patient, urgent = world.make_job(priority=2), world.make_job(priority=0)
        self.assertEqual(world.dispatcher.submit(patient, 0.1), [])
        self.assertEqual(world.dispatcher.submit(urgent, 0.2), [])
        actions = world.dispatcher.succeed(flying[0], 0.3)
        sent = [action.job for action in actions if isinstance(action, Send)]
        self.assertEqual(sent[:1], [urgent])

    def test_memory_of_an_engine_bounds_its_requests(self):
        """Guards against preemption: requests whose tokens do not fit together."""
        world = DispatchWorld()
        sent = [world.dispatcher.submit(world.make_job(tokens=9000), 0.0) for _ in range(8)]
        self.assertEqual(sum(len(actions) for actions in sent), 6)
