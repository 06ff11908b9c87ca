"""What the upstreams say of themselves in their answers, as known to all nodes."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..fleet import UpstreamNotice

__all__ = ["ProcessNotice", "UpstreamNotices"]


@dataclass(frozen=True)
class ProcessNotice:
    """What one process of an upstream has said of itself, which the nodes share.

    ``process_id`` is the id of the process and ``seen_at`` the time of its answer, in seconds.
    """

    process_id: str
    seen_at: float
    leaving: bool = False

    def merged(self, other: "ProcessNotice") -> "ProcessNotice":
        """Return the state after two answers of a process, which does not cease to leave."""
        latest = max(self, other, key=lambda notice: notice.seen_at)
        return ProcessNotice(self.process_id, latest.seen_at, self.leaving or other.leaving)

    def says_the_same(self, other: "ProcessNotice") -> bool:
        """Return whether two notices differ in nothing but the time."""
        return self.leaving == other.leaving


class UpstreamNotices:
    """The latest notices of all upstreams.

    Nodes exchange them: ``pop_updates`` returns what other nodes may not know, and ``merge`` adds
    what they know. A notice that changes nothing is not sent. The pauses that upstreams ask for
    concern one node each and are not exchanged.

    >>> notices = UpstreamNotices()
    >>> notices.record("u1/5", UpstreamNotice(leaving=True), now=2.0)
    >>> notices.leaving
    ['u1/5']
    >>> notices.record("u2/7", UpstreamNotice(pause_s=1.5), now=2.0)
    >>> notices.paused_until("u2/7")
    3.5
    """

    def __init__(self) -> None:
        self._known: dict[str, ProcessNotice] = {}
        self._updates: dict[str, ProcessNotice] = {}
        self._changed: dict[str, ProcessNotice] = {}
        self._paused_until: dict[str, float] = {}

    def record(self, process_id: str, notice: UpstreamNotice, now: float) -> None:
        """Record what a process says of itself in an answer."""
        self._apply(ProcessNotice(process_id, now, notice.leaving), share=True)
        if notice.pause_s > 0.0:
            self._paused_until[process_id] = max(
                now + notice.pause_s, self.paused_until(process_id)
            )

    def merge(self, notices: Iterable[ProcessNotice], share: bool = True) -> None:
        """Add the notices of another node; with ``share``, they are sent on to other nodes."""
        for notice in notices:
            self._apply(notice, share)

    @property
    def leaving(self) -> list[str]:
        """The ids of the processes that leave."""
        return [notice.process_id for notice in self._known.values() if notice.leaving]

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

    def forget(self, instance: str) -> None:
        """Remove the notices of an upstream that has stopped or restarted."""
        for process_id in [key for key in self._known if key.rpartition("/")[0] == instance]:
            for entries in (self._known, self._updates, self._changed, self._paused_until):
                entries.pop(process_id, None)

    def _apply(self, notice: ProcessNotice, share: bool) -> None:
        """Merge one notice; share the result if it says something new here or to the sender."""
        known = self._known.get(notice.process_id, ProcessNotice(notice.process_id, float("-inf")))
        merged = known.merged(notice)
        self._known[notice.process_id] = merged
        if not merged.says_the_same(known):
            self._changed[notice.process_id] = merged
            if share:
                self._updates[notice.process_id] = merged
        elif not merged.says_the_same(notice):
            self._updates[notice.process_id] = merged
