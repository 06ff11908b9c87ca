"""Digest claims and the suspect lane, as granted by their owner node.

The owner of a digest is determined by rendezvous hashing over the live nodes. It lets at most two
copies of the digest run in the whole system until one has completed. Each crash uses up one of the
two, so a digest crashes at most two upstreams, however often it is resent. The owner of the suspect
lane lets one suspect of the whole system run at a time.
"""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from .actions import ClaimOutcome, DenyClaim, GrantClaim

__all__ = ["LANE_KEY", "MAX_COPIES", "ClaimRegistry", "owner_of"]

MAX_COPIES = 2
# Rendezvous hashing key of the suspect lane.
LANE_KEY = "suspects"
MAX_COMPLETED_DIGESTS = 20_000
# Above this number of digests, the oldest one without granted or waiting claims is evicted. Its
# crashes are also stored in the suspect registry.
MAX_IDLE_DIGESTS = 20_000


def owner_of(digest: str, nodes: Iterable[str]) -> str:
    """Return the node with the greatest hash of digest and node name, which owns the digest."""
    return max(nodes, key=lambda node: hashlib.blake2b(f"{digest}|{node}".encode()).digest())


@dataclass
class _DigestClaims:
    """Claims of one digest and the incidents in which it crashed an upstream.

    Claims are pairs of node and request id. ``holders`` has the granted ones, as an ordered set.
    """

    holders: dict[tuple[str, str], None] = field(default_factory=dict)
    waiting: deque[tuple[str, str]] = field(default_factory=deque)
    incidents: set[str] = field(default_factory=set)


ClaimAnswer = GrantClaim | DenyClaim


class ClaimRegistry:
    """Claims for the digests that this node owns, and the suspect lane if it owns that.

    >>> registry = ClaimRegistry()
    >>> [len(registry.request("n1", f"r{i}", "d1")) for i in range(3)]
    [1, 1, 0]
    >>> registry.release("n1", "r0", "d1", ClaimOutcome.COMPLETED)
    (GrantClaim(node='n1', request_id='r2', digest='d1', lane=False),)
    """

    def __init__(self) -> None:
        self._claims: dict[str, _DigestClaims] = {}
        self._completed: OrderedDict[str, None] = OrderedDict()
        self._lane_holder: tuple[str, str, str] | None = None
        self._lane_waiting: deque[tuple[str, str, str]] = deque()

    def request(self, node: str, request_id: str, digest: str) -> tuple[ClaimAnswer, ...]:
        """Grant, deny or queue a claim. A repeated request for a granted claim is granted again."""
        claims = self._claims.setdefault(digest, _DigestClaims())
        key = (node, request_id)
        if key in claims.holders:
            return (GrantClaim(node, request_id, digest),)
        if key not in claims.waiting:
            claims.waiting.append(key)
        return self._grant_waiting(digest)

    def release(
        self, node: str, request_id: str, digest: str, outcome: ClaimOutcome, incident: str = ""
    ) -> tuple[ClaimAnswer, ...]:
        """Release a granted or waiting claim and record the outcome of its run."""
        claims = self._claims.setdefault(digest, _DigestClaims())
        claims.holders.pop((node, request_id), None)
        if (node, request_id) in claims.waiting:
            claims.waiting.remove((node, request_id))
        match outcome:
            case ClaimOutcome.COMPLETED:
                if len(claims.incidents) < MAX_COPIES:
                    claims.incidents.clear()
                    self._completed[digest] = None
                    if len(self._completed) > MAX_COMPLETED_DIGESTS:
                        self._completed.popitem(last=False)
            case ClaimOutcome.CRASHED:
                claims.incidents.add(incident)
                self._completed.pop(digest, None)
            case ClaimOutcome.DROPPED:
                pass
        return self._grant_waiting(digest)

    def merge_incidents(self, digest: str, incidents: Iterable[str]) -> tuple[ClaimAnswer, ...]:
        """Merge incidents received from another node, e.g. after taking over the digest."""
        claims = self._claims.setdefault(digest, _DigestClaims())
        claims.incidents.update(incidents)
        if claims.incidents:
            self._completed.pop(digest, None)
        return self._grant_waiting(digest)

    def request_lane(self, node: str, request_id: str, digest: str) -> tuple[ClaimAnswer, ...]:
        """Grant the suspect lane or queue the request for it."""
        key = (node, request_id, digest)
        if self._lane_holder == key:
            return (GrantClaim(node, request_id, digest, lane=True),)
        if key not in self._lane_waiting:
            self._lane_waiting.append(key)
        return self._grant_lane()

    def release_lane(self, node: str, request_id: str, digest: str) -> tuple[ClaimAnswer, ...]:
        """Release the suspect lane or remove a waiting request for it."""
        key = (node, request_id, digest)
        if self._lane_holder == key:
            self._lane_holder = None
        elif key in self._lane_waiting:
            self._lane_waiting.remove(key)
        return self._grant_lane()

    def retain_nodes(self, live: Iterable[str]) -> tuple[ClaimAnswer, ...]:
        """Release the claims of all nodes not in ``live``. Their runs count as dropped."""
        live_names = set(live)
        answers: list[ClaimAnswer] = []
        for digest, claims in list(self._claims.items()):
            claims.holders = {key: None for key in claims.holders if key[0] in live_names}
            claims.waiting = deque(key for key in claims.waiting if key[0] in live_names)
            answers += self._grant_waiting(digest)
        self._lane_waiting = deque(key for key in self._lane_waiting if key[0] in live_names)
        if self._lane_holder and self._lane_holder[0] not in live_names:
            self._lane_holder = None
        return (*answers, *self._grant_lane())

    def running_copies(self, digest: str) -> int:
        """Return the number of granted claims of a digest."""
        claims = self._claims.get(digest)
        return len(claims.holders) if claims else 0

    def _grant_waiting(self, digest: str) -> tuple[ClaimAnswer, ...]:
        claims = self._claims[digest]
        answers: list[ClaimAnswer] = []
        while claims.waiting:
            node, request_id = claims.waiting[0]
            if len(claims.incidents) >= MAX_COPIES:
                answers.append(DenyClaim(node, request_id, digest))
            elif (
                digest in self._completed
                or len(claims.holders) + len(claims.incidents) < MAX_COPIES
            ):
                claims.holders[(node, request_id)] = None
                answers.append(GrantClaim(node, request_id, digest))
            else:
                break
            claims.waiting.popleft()
        if not claims.holders and not claims.waiting and not claims.incidents:
            del self._claims[digest]
        elif len(self._claims) > MAX_IDLE_DIGESTS:
            self._evict_oldest()
        return tuple(answers)

    def _evict_oldest(self) -> None:
        for digest, claims in self._claims.items():
            if not claims.holders and not claims.waiting:
                del self._claims[digest]
                return

    def _grant_lane(self) -> tuple[ClaimAnswer, ...]:
        if self._lane_holder is not None or not self._lane_waiting:
            return ()
        self._lane_holder = self._lane_waiting.popleft()
        return (GrantClaim(*self._lane_holder, lane=True),)
