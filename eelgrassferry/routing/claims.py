"""The owner's side of digest claims, and of the one turn for suspects.

The owner of a digest, by rendezvous hash over the live nodes, lets at most two copies of it run in
the whole system until one has completed. Each crash uses up one of the two, so that a digest
takes down at most two upstreams, however often it is resent. The owner of the lane lets one
suspect of the whole system run at a time.
"""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from .actions import ClaimOutcome, DenyClaim, GrantClaim

__all__ = ["LANE_KEY", "MAX_COPIES", "ClaimRegistry", "owner_of"]

MAX_COPIES = 2
# Rendezvous key of the turn for suspects.
LANE_KEY = "suspects"
MAX_COMPLETED = 20_000
# Digests with crashes and no copy in flight that are kept; the suspect registry knows them too.
MAX_CRASHED = 20_000


def owner_of(digest: str, nodes: Iterable[str]) -> str:
    """Return the node that owns a digest: the greatest hash of digest and node name."""
    return max(nodes, key=lambda node: hashlib.blake2b(f"{digest}|{node}".encode()).digest())


@dataclass
class _Claims:
    holders: dict[tuple[str, str], None] = field(default_factory=dict)
    waiting: deque[tuple[str, str]] = field(default_factory=deque)
    incidents: set[str] = field(default_factory=set)


Answer = GrantClaim | DenyClaim


class ClaimRegistry:
    """Grants claims for the digests that this node owns.

    >>> registry = ClaimRegistry()
    >>> [len(registry.ask("n1", f"r{i}", "d1")) for i in range(3)]
    [1, 1, 0]
    >>> registry.release("n1", "r0", "d1", ClaimOutcome.COMPLETED)
    (GrantClaim(node='n1', request_id='r2', digest='d1', lane=False),)
    """

    def __init__(self) -> None:
        self._claims: dict[str, _Claims] = {}
        self._completed: OrderedDict[str, None] = OrderedDict()
        self._lane: tuple[str, str, str] | None = None
        self._lane_waiting: deque[tuple[str, str, str]] = deque()

    def ask(self, node: str, request_id: str, digest: str) -> tuple[Answer, ...]:
        """Grant, deny, or let the claim wait. A repeated question is answered again."""
        claims = self._claims.setdefault(digest, _Claims())
        key = (node, request_id)
        if key in claims.holders:
            return (GrantClaim(node, request_id, digest),)
        if key not in claims.waiting:
            claims.waiting.append(key)
        return self._serve(digest)

    def release(
        self, node: str, request_id: str, digest: str, outcome: ClaimOutcome, incident: str = ""
    ) -> tuple[Answer, ...]:
        """Take the end of a claimed run, or of waiting for a claim."""
        claims = self._claims.setdefault(digest, _Claims())
        claims.holders.pop((node, request_id), None)
        if (node, request_id) in claims.waiting:
            claims.waiting.remove((node, request_id))
        match outcome:
            case ClaimOutcome.COMPLETED:
                if len(claims.incidents) < MAX_COPIES:
                    claims.incidents.clear()
                    self._completed[digest] = None
                    if len(self._completed) > MAX_COMPLETED:
                        self._completed.popitem(last=False)
            case ClaimOutcome.CRASHED:
                claims.incidents.add(incident)
                self._completed.pop(digest, None)
            case ClaimOutcome.DROPPED:
                pass
        return self._serve(digest)

    def learn(self, digest: str, incidents: Iterable[str]) -> tuple[Answer, ...]:
        """Count crashes learned from another node, e.g. after taking over the digest."""
        claims = self._claims.setdefault(digest, _Claims())
        claims.incidents.update(incidents)
        if claims.incidents:
            self._completed.pop(digest, None)
        return self._serve(digest)

    def ask_lane(self, node: str, request_id: str, digest: str) -> tuple[Answer, ...]:
        """Grant the turn for suspects, or let the suspect wait for it."""
        key = (node, request_id, digest)
        if self._lane == key:
            return (GrantClaim(node, request_id, digest, lane=True),)
        if key not in self._lane_waiting:
            self._lane_waiting.append(key)
        return self._serve_lane()

    def release_lane(self, node: str, request_id: str, digest: str) -> tuple[Answer, ...]:
        """Take the end of a suspect's turn, or of its waiting."""
        key = (node, request_id, digest)
        if self._lane == key:
            self._lane = None
        elif key in self._lane_waiting:
            self._lane_waiting.remove(key)
        return self._serve_lane()

    def drop_nodes(self, live: Iterable[str]) -> tuple[Answer, ...]:
        """Release what nodes that are gone held. Their runs count as dropped."""
        kept = set(live)
        answers: list[Answer] = []
        for digest, claims in list(self._claims.items()):
            claims.holders = {key: None for key in claims.holders if key[0] in kept}
            claims.waiting = deque(key for key in claims.waiting if key[0] in kept)
            answers += self._serve(digest)
        self._lane_waiting = deque(key for key in self._lane_waiting if key[0] in kept)
        if self._lane and self._lane[0] not in kept:
            self._lane = None
        return (*answers, *self._serve_lane())

    def copies(self, digest: str) -> int:
        """Return how many claimed copies of a digest run."""
        claims = self._claims.get(digest)
        return len(claims.holders) if claims else 0

    def _serve(self, digest: str) -> tuple[Answer, ...]:
        claims = self._claims[digest]
        answers: list[Answer] = []
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
        elif len(self._claims) > MAX_CRASHED:
            self._forget_oldest()
        return tuple(answers)

    def _forget_oldest(self) -> None:
        for digest, claims in self._claims.items():
            if not claims.holders and not claims.waiting:
                del self._claims[digest]
                return

    def _serve_lane(self) -> tuple[Answer, ...]:
        if self._lane is not None or not self._lane_waiting:
            return ()
        self._lane = self._lane_waiting.popleft()
        return (GrantClaim(*self._lane, lane=True),)
