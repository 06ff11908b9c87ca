"""What the upstreams say of themselves in their answers, as known to all nodes."""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, replace

from ..fleet import UpstreamNotice

__all__ = ["ProcessNotice", "UpstreamNotices"]

# Least rate at which an upstream gets requests, per second. Its answers tell when a limit ends, so
# an upstream that takes hardly any requests, or none, gets one from time to time.
MIN_LIMIT_PER_S = 0.25
# Time for which the notices of a process that is not registered are kept, in seconds: longer than
# an outage of the registry and the last requests of a server that leaves.
KEEP_S = 60.0


@dataclass(frozen=True)
class ProcessNotice:
    """What one process of an upstream has said of itself, which the nodes share.

    ``process_id`` is the id of the process and ``seen_at`` the time of its answer, in seconds.
    ``limit_per_s`` is the rate of requests that it takes from all nodes together, or None.
    """

    process_id: str
    seen_at: float
    leaving: bool = False
    limit_per_s: float | None = None

    def merged(self, other: "ProcessNotice") -> "ProcessNotice":
        """Return the state after two answers of a process.

        A process that leaves does not cease to; its limit is the one that its latest answer names.
        """
        latest = max(self, other, key=lambda notice: notice.seen_at)
        return replace(latest, leaving=self.leaving or other.leaving)

    def says_the_same(self, other: "ProcessNotice") -> bool:
        """Return whether two notices differ in nothing but the time."""
        return (self.leaving, self.limit_per_s) == (other.leaving, other.limit_per_s)


class UpstreamNotices:
    """The latest notices of all upstreams.

    Nodes exchange them: ``pop_updates`` returns what other nodes may not know, and ``merge`` adds
    what they know. A notice that changes nothing is not sent. The pauses that upstreams ask for
    concern one node each and are not exchanged.

    ``on_leaving`` is called with the id of each process that newly says that it leaves, in the same
    step in which this is learned. Whether a process leaves is kept by the directory, not here.

    >>> notices = UpstreamNotices()
    >>> notices.on_leaving = print
    >>> notices.record("u1/5", UpstreamNotice(leaving=True), now=2.0)
    u1/5
    >>> notices.record("u2/7", UpstreamNotice(pause_s=1.5), now=2.0)
    >>> notices.paused_until("u2/7")
    3.5
    """

    def __init__(self) -> None:
        self.on_leaving: Callable[[str], None] = lambda _process_id: None
        self._known: dict[str, ProcessNotice] = {}
        self._updates: dict[str, ProcessNotice] = {}
        self._changed: dict[str, ProcessNotice] = {}
        self._paused_until: dict[str, float] = {}
        # A set of its own, because it is looked up for each waiting request.
        self._limited: set[str] = set()

    def record(self, process_id: str, notice: UpstreamNotice, now: float) -> None:
        """Record what a process says of itself in an answer."""
        self._apply(ProcessNotice(process_id, now, notice.leaving, notice.limit_per_s), share=True)
        if notice.pause_s > 0.0:
            self._paused_until[process_id] = max(
                now + notice.pause_s, self.paused_until(process_id)
            )

    def merge(self, notices: Iterable[ProcessNotice], share: bool = True) -> None:
        """Add the notices of another node; with ``share``, they are sent on to other nodes."""
        for notice in notices:
            merged = self._apply(notice, share)
            if not merged.says_the_same(notice):
                # The sender lacks what this node knows.
                self._updates[notice.process_id] = merged

    @property
    def has_restrictions(self) -> bool:
        """Whether any process limits its rate or has asked for a pause."""
        return bool(self._limited or self._paused_until)

    def limit_per_s(self, process_id: str) -> float | None:
        """Return the rate at which a process gets requests from all nodes together, per second.

        None means that it names no limit.
        """
        if process_id not in self._limited:
            return None
        return max(MIN_LIMIT_PER_S, self._known[process_id].limit_per_s or 0.0)

    def paused_until(self, process_id: str) -> float:
        """Return the time until which a process asks this node for no requests, in seconds.

        It is minus infinity if the process has not asked for a pause.
        """
        return self._paused_until.get(process_id, float("-inf"))

    @property
    def has_updates(self) -> bool:
        """Whether there are notices that have not been sent to other nodes."""
        return bool(self._updates)

    def pop_updates(self) -> tuple[ProcessNotice, ...]:
        """Return the notices to send to other nodes, and mark them as sent."""
        updates, self._updates = self._updates, {}
        return tuple(updates.values())

    def pop_changed(self) -> tuple[ProcessNotice, ...]:
        """Return the notices that have changed since the last call, for the log."""
        changed, self._changed = self._changed, {}
        return tuple(changed.values())

    def share_all(self) -> None:
        """Send all notices again, because another node may lack them."""
        self._updates = dict(self._known)

    def all(self) -> tuple[ProcessNotice, ...]:
        """Return all notices."""
        return tuple(self._known.values())

    def expire(self, registered: Container[str], now: float) -> None:
        """Remove the notices of processes that have ended, and the pauses that are over.

        ``registered`` contains the ids of the registered processes. The registration of a process
        that still runs may lapse for some time, so its notices are kept meanwhile.
        """
        ended = [
            notice.process_id
            for notice in self._known.values()
            if notice.process_id not in registered and now - notice.seen_at > KEEP_S
        ]
        for process_id in ended:
            for entries in (self._known, self._updates, self._changed):
                entries.pop(process_id, None)
            self._limited.discard(process_id)
        self._paused_until = {key: at for key, at in self._paused_until.items() if at > now}

    def _apply(self, notice: ProcessNotice, share: bool) -> ProcessNotice:
        """Merge one notice and return the result; with ``share``, send it on if it has changed."""
        known = self._known.get(notice.process_id, ProcessNotice(notice.process_id, float("-inf")))
        merged = known.merged(notice)
        self._known[notice.process_id] = merged
        if merged.leaving and not known.leaving:
            self.on_leaving(notice.process_id)
        if merged.limit_per_s is None:
            self._limited.discard(notice.process_id)
        else:
            self._limited.add(notice.process_id)
        if not merged.says_the_same(known):
            self._changed[notice.process_id] = merged
            if share:
                self._updates[notice.process_id] = merged
        return merged
