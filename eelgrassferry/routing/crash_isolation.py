"""Crash isolation of the requests of one node: verdicts, claims and the suspect lane.

A claim owned by this node is decided at once; one owned by a peer is requested with
``ClaimDigest``. If the owner does not answer, this node decides with its own registry, so that each
side of a network partition enforces the bound separately.
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
from .job import Attempt, Job
from .suspects import SuspectRegistry, Verdict, incident_name

__all__ = ["Admission", "CrashIsolation"]

# Time in seconds after a change of the live nodes during which they may disagree on the owner of
# the suspect lane. Nodes read the host list about every 2 s.
MEMBERSHIP_SETTLE_S = 2.5


class Admission(Enum):
    """Decision on whether a job may run."""

    READY = "ready"
    WAITING = "waiting"
    UNSETTLED = "unsettled"
    CONFIRMED = "confirmed"


class CrashIsolation:
    """Admission control of a node by its suspect and claim registries."""

    def __init__(self, node: str) -> None:
        self.suspects = SuspectRegistry()
        self.claims = ClaimRegistry()
        self._node = node
        self._nodes: tuple[str, ...] = (node,)
        self._settled_at = float("-inf")

    def is_membership_settled(self, now: float) -> bool:
        """Return whether the nodes agree on the owner of the suspect lane."""
        return now >= self._settled_at

    def set_nodes(self, nodes: Iterable[str], now: float) -> tuple[Action, ...]:
        """Replace the live nodes and release the claims of removed ones."""
        self._nodes = tuple(sorted({*nodes, self._node}))
        self._settled_at = now + MEMBERSHIP_SETTLE_S
        return self.claims.retain_nodes(self._nodes)

    def admit(self, job: Job, now: float) -> tuple[Admission, tuple[Action, ...]]:
        """Return whether a job may run, and the actions that request its missing claims.

        The actions may include ``GrantClaim`` and ``DenyClaim`` for this or other jobs. An
        ``UNSETTLED`` job has to be admitted again later: two nodes that both grant the suspect lane
        would let an innocent suspect run beside the request that crashes upstreams.
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
            return Admission.WAITING, self._request_claim(
                job, owner_of(digest, self._nodes), lane=False
            )
        if job.alone and not job.in_lane:
            if not self.is_membership_settled(now):
                return Admission.UNSETTLED, ()
            return Admission.WAITING, self._request_claim(
                job, owner_of(LANE_KEY, self._nodes), lane=True
            )
        return Admission.READY, ()

    def decide_locally(self, job: Job, lane: bool) -> tuple[Action, ...]:
        """Decide a claim with the own registry because its owner does not answer.

        The owner may have granted the claim nevertheless, so it is released there.
        """
        request_id, digest = job.request.request_id, job.request.digest
        requested_owner = job.lane_owner if lane else job.claim_owner
        release: tuple[Action, ...] = ()
        if requested_owner and requested_owner != self._node:
            dropped = ClaimOutcome.DROPPED
            release = (ReleaseClaim(request_id, digest, requested_owner, dropped, lane=lane),)
        return (*release, *self._request_claim(job, self._node, lane))

    def on_run_ended(
        self, job: Job, attempt: Attempt | None, outcome: ClaimOutcome
    ) -> tuple[Action, ...]:
        """Release the claims of a job and update the suspicion of its digest."""
        digest = job.request.digest
        actions: list[Action] = []
        incident = ""
        match outcome:
            case ClaimOutcome.COMPLETED:
                cleared = self.suspects.record_completion(digest)
                if cleared:
                    actions.append(ShareSuspect(digest, cleared, cleared=True))
            case ClaimOutcome.CRASHED if attempt is not None:
                incident = incident_name(attempt.upstream, job.request.request_id, attempt.alone)
                self.suspects.record_crash(digest, incident)
                actions.append(ShareSuspect(digest, self.suspects.incidents(digest)))
            case _:
                pass
        if incident or job.claim_owner:
            actions += self._release(job, outcome, incident)
        if job.lane_owner:
            actions += self._release_lane(job)
        return tuple(actions)

    def merge_incidents(
        self, digest: str, incidents: tuple[str, ...], cleared: bool
    ) -> tuple[Action, ...]:
        """Merge incidents of a digest received from a peer or read from the object API."""
        self.suspects.merge(digest, incidents, cleared)
        if owner_of(digest, self._nodes) != self._node or cleared:
            return ()
        return self.claims.merge_incidents(digest, self.suspects.incidents(digest))

    def _request_claim(self, job: Job, owner: str, lane: bool) -> tuple[Action, ...]:
        request_id, digest = job.request.request_id, job.request.digest
        if lane:
            job.lane_owner = owner
        else:
            job.claim_owner = owner
        if owner != self._node:
            return (ClaimDigest(request_id, digest, owner, lane),)
        if lane:
            return self.claims.request_lane(self._node, request_id, digest)
        return self.claims.request(self._node, request_id, digest)

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
