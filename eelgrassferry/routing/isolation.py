"""Crash isolation of this node's requests: verdicts, claims and the turn for suspects.

A claim that is owned by this node is settled at once; one that a peer owns is asked for with a
``ClaimDigest``. When the owner does not answer, this node decides in its place with its own
registry, so that each side of a partition keeps the bound for itself.
"""

from collections.abc import Iterable
from enum import Enum

from .actions import (
    Action,
    ClaimDigest,
    ClaimOutcome,
    ReleaseClaim,
    ShareSuspect,
)
from .claims import LANE_KEY, ClaimRegistry, owner_of
from .job import Flight, Job
from .suspects import SuspectRegistry, Verdict, incident_name

__all__ = ["Admission", "Isolation"]

# Time after a change of the live nodes in which they may disagree on who grants the turn for
# suspects, in seconds. Nodes read the host list about every 2 s.
SETTLE_S = 2.5


class Admission(Enum):
    """Whether a job may run."""

    READY = "ready"
    WAITING = "waiting"
    UNSETTLED = "unsettled"
    CONFIRMED = "confirmed"


class Isolation:
    """Holds the suspect and claim registries of a node and asks them on a job's behalf."""

    def __init__(self, node: str) -> None:
        self.suspects = SuspectRegistry()
        self.claims = ClaimRegistry()
        self._node = node
        self._nodes: tuple[str, ...] = (node,)
        self._settled_at = float("-inf")

    def is_settled(self, now: float) -> bool:
        """Whether the nodes agree on which of them grants the turn for suspects."""
        return now >= self._settled_at

    def set_nodes(self, nodes: Iterable[str], now: float) -> tuple[Action, ...]:
        """Replace the live nodes; claims of nodes that are gone are released."""
        self._nodes = tuple(sorted({*nodes, self._node}))
        self._settled_at = now + SETTLE_S
        return self.claims.drop_nodes(self._nodes)

    def admit(self, job: Job, now: float) -> tuple[Admission, tuple[Action, ...]]:
        """Decide whether a job may run, and ask for the claims that it still needs.

        Answers for other jobs, or for this one, are among the actions as ``GrantClaim`` and
        ``DenyClaim``. An ``UNSETTLED`` job is to be admitted later: two nodes that both grant the
        turn would let an innocent suspect run beside the request that crashes upstreams.
        """
        digest = job.request.digest
        verdict = self.suspects.verdict(digest)
        match verdict:
            case Verdict.CONFIRMED:
                return Admission.CONFIRMED, ()
            case Verdict.GOOD if not job.claimed and not job.alone:
                return Admission.READY, ()
            case Verdict.SUSPECT:
                job.alone = True
            case _:
                job.alone = False
        if not job.claimed:
            return Admission.WAITING, self._ask(job, owner_of(digest, self._nodes), lane=False)
        if job.alone and not job.in_lane:
            if not self.is_settled(now):
                return Admission.UNSETTLED, ()
            return Admission.WAITING, self._ask(job, owner_of(LANE_KEY, self._nodes), lane=True)
        return Admission.READY, ()

    def ask_locally(self, job: Job, lane: bool) -> tuple[Action, ...]:
        """Decide a claim in place of an owner that does not answer.

        The owner may have granted it all the same, so it is told to drop it.
        """
        request_id, digest = job.request.request_id, job.request.digest
        asked = job.lane_owner if lane else job.claim_owner
        drop: tuple[Action, ...] = ()
        if asked and asked != self._node:
            dropped = ClaimOutcome.DROPPED
            drop = (ReleaseClaim(request_id, digest, asked, dropped, lane=lane),)
        return (*drop, *self._ask(job, self._node, lane))

    def end(self, job: Job, flight: Flight | None, outcome: ClaimOutcome) -> tuple[Action, ...]:
        """Take the end of a run or of a wait: release the claims and settle suspicion."""
        digest = job.request.digest
        actions: list[Action] = []
        incident = ""
        match outcome:
            case ClaimOutcome.COMPLETED:
                cleared = self.suspects.note_completed(digest)
                if cleared:
                    actions.append(ShareSuspect(digest, cleared, cleared=True))
            case ClaimOutcome.CRASHED if flight is not None:
                incident = incident_name(flight.upstream, job.request.request_id, flight.alone)
                self.suspects.note_crash(digest, incident)
                actions.append(ShareSuspect(digest, self.suspects.incidents(digest)))
            case _:
                pass
        if incident or job.claim_owner:
            actions += self._release(job, outcome, incident)
        if job.lane_owner:
            actions += self._release_lane(job)
        return tuple(actions)

    def learn(self, digest: str, incidents: tuple[str, ...], cleared: bool) -> tuple[Action, ...]:
        """Merge what a peer or the object API knows about a digest."""
        self.suspects.learn(digest, incidents, cleared)
        if owner_of(digest, self._nodes) != self._node or cleared:
            return ()
        return self.claims.learn(digest, self.suspects.incidents(digest))

    def _ask(self, job: Job, owner: str, lane: bool) -> tuple[Action, ...]:
        request_id, digest = job.request.request_id, job.request.digest
        if lane:
            job.lane_owner = owner
        else:
            job.claim_owner = owner
        if owner != self._node:
            return (ClaimDigest(request_id, digest, owner, lane),)
        if lane:
            return self.claims.ask_lane(self._node, request_id, digest)
        return self.claims.ask(self._node, request_id, digest)

    def _release(self, job: Job, outcome: ClaimOutcome, incident: str) -> tuple[Action, ...]:
        request_id, digest = job.request.request_id, job.request.digest
        owner = job.claim_owner or owner_of(digest, self._nodes)
        job.claimed, job.claim_owner = False, ""
        if owner != self._node:
            return (ReleaseClaim(request_id, digest, owner, outcome, incident),)
        return self.claims.release(self._node, request_id, digest, outcome, incident)

    def _release_lane(self, job: Job) -> tuple[Action, ...]:
        request_id, digest = job.request.request_id, job.request.digest
        owner = job.lane_owner
        job.in_lane, job.lane_owner = False, ""
        if owner != self._node:
            return (ReleaseClaim(request_id, digest, owner, ClaimOutcome.DROPPED, lane=True),)
        return self.claims.release_lane(self._node, request_id, digest)
