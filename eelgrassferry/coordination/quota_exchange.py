"""Exchange of messages on the quotas of tenants between a node and the coordinator."""

import asyncio
import random
from collections.abc import Callable, Mapping

import structlog
from result import Err

from ..fleet import ServiceBounds, Tenant
from ..peers.frame import Frame
from ..tenants import Admission, QuotaBook, QuotaGate, QuotaReply
from .peer_link import PeerLink
from .quota_codec import (
    decode_quota_reply,
    decode_quota_report,
    encode_quota_reply,
    encode_quota_report,
)

__all__ = ["QUOTAS", "QuotaExchange"]

log = structlog.get_logger()

# Kind of the frames that carry a node's reports and questions, and the coordinator's answers.
QUOTAS = "quotas"
# The coordinator grants the share of a node only while the node's last status is not older than
# this, in seconds. Nodes send one at least every half second.
HEARD_WITHIN_S = 1.0
# Number of nodes that is assumed until the registry is read. A node that knows no others must not
# use the share of all of them.
UNKNOWN_NODES = 10_000


class QuotaExchange:
    """Driver of this node's gate and, while it is the coordinator, of the book.

    ``term_epoch`` returns the epoch of this node's term as the coordinator, or None, and
    ``registered`` the number of registered nodes, 0 before the registry is read. ``on_decisions``
    is called with the decisions on deferred requests.
    """

    def __init__(
        self,
        bounds: ServiceBounds,
        clock: Callable[[], float],
        term_epoch: Callable[[], int | None],
        registered: Callable[[], int],
    ) -> None:
        self.gate = QuotaGate(bounds, random.Random(), clock())
        self.on_decisions: Callable[[list[tuple[int, Admission]]], None] = lambda _decisions: None
        self._bounds = bounds
        self._clock = clock
        self._term_epoch = term_epoch
        self._registered = registered
        self._tenants: Mapping[str, Tenant] = {}
        self._book: QuotaBook | None = None
        self._epoch: int | None = None
        self._leader: PeerLink | None = None
        self._is_new_leader = False
        self._send_timer: asyncio.TimerHandle | None = None
        self._members: dict[str, PeerLink] = {}
        self._heard_at: dict[str, float] = {}

    def set_tenants(self, tenants: Mapping[str, Tenant]) -> None:
        """Apply the limits of a new version of the configuration."""
        self._tenants = tenants
        self.gate.set_tenants(tenants)
        if self._book is not None:
            now = self._clock()
            self._book.set_tenants(tenants, now)
            # A tenant that was removed and added again is closed here, but not at nodes that have
            # seen the last version only.
            reply = QuotaReply(is_open=self._book.open_tenants())
            for link in self._members.values():
                self._send(link, reply)
            self._apply(reply, now)

    def step(self) -> None:
        """Send what is due, and make the decisions that are due."""
        if not self._tenants and not self.gate.has_pending:
            return
        now = self._clock()
        self._apply_term(now)
        self.gate.node_count = self._registered() or UNKNOWN_NODES
        if self._book is not None:
            self._coordinate(self._book, now)
        self._send_report(now)
        decisions = self.gate.due(now)
        if decisions:
            self.on_decisions(decisions)

    def send_soon(self) -> None:
        """Send this node's questions in the next event loop iteration."""
        if self._send_timer is None:
            self._send_timer = asyncio.get_running_loop().call_later(0.0, self._send_now)

    def _send_now(self) -> None:
        self._send_timer = None
        self._send_report(self._clock())

    def _send_report(self, now: float) -> None:
        """Send this node's questions and reports, if it is in touch with a coordinator."""
        if self._book is None and (self._leader is None or self._is_new_leader):
            return
        report = self.gate.pop_report(now)
        if report is None:
            return
        if self._book is not None:
            self._apply(self._book.apply(report, now), now)
        elif self._leader is not None:
            self._leader.send(QUOTAS, encode_quota_report(report))

    def record_view(self) -> None:
        """Record that the coordinator's view has arrived or was published."""
        now = self._clock()
        self._apply_term(now)
        if self._is_new_leader:
            self._is_new_leader = False
            self.gate.reset(now)
        self.gate.record_contact(now)

    def follow(self, link: PeerLink) -> None:
        """Exchange messages with another coordinator, or on another link, from its first view on.

        Until then, what the former coordinator has said stays in force for its time.
        """
        self._leader, self._is_new_leader = link, True

    def stop_following(self) -> None:
        """Handle that the link to the coordinator has ended."""
        self._leader, self._is_new_leader = None, False

    # Methods of the coordinator

    def record_status(self, link: PeerLink) -> None:
        """Record that a node that is linked to this coordinator is in touch."""
        if not self._tenants:
            return
        self._apply_term(self._clock())
        self._heard_at[link.peer] = self._clock()
        if self._members.get(link.peer) is not link and self._book is not None:
            self._members[link.peer] = link
            self._send(link, QuotaReply(is_open=self._book.open_tenants()))

    def remove_member(self, link: PeerLink) -> None:
        """Handle that the link to a node has ended."""
        if self._members.get(link.peer) is link:
            del self._members[link.peer]
            self._heard_at.pop(link.peer, None)

    def on_member_frame(self, link: PeerLink, frame: Frame) -> None:
        """Apply the message of a node and answer its questions."""
        decoded = decode_quota_report(frame.body)
        if isinstance(decoded, Err):
            log.warning("report not used", step="decode_quotas", detail=decoded.err_value.detail)
            return
        now = self._clock()
        self._apply_term(now)
        if self._book is not None:
            reply = self._book.apply(decoded.ok_value, now)
            if reply.grants:
                self._send(link, reply)

    # Methods of all nodes

    def on_leader_frame(self, frame: Frame) -> None:
        """Apply a message of the coordinator."""
        now = self._clock()
        decoded = decode_quota_reply(frame.body, now)
        if isinstance(decoded, Err):
            log.warning("reply not used", step="decode_quotas", detail=decoded.err_value.detail)
        else:
            self._apply(decoded.ok_value, now)

    def _apply_term(self, now: float) -> None:
        """Begin a new book with each term of this node, and end it with the term."""
        epoch = self._term_epoch()
        if epoch == self._epoch:
            return
        self._epoch = epoch
        self._members.clear()
        self._heard_at.clear()
        self._book = None
        self.gate.reset(now)
        if epoch is not None:
            self._book = QuotaBook(self._tenants, self._bounds, self._share(now), now)

    def _coordinate(self, book: QuotaBook, now: float) -> None:
        book.set_share(self._share(now), now)
        changes = book.update(now)
        if not changes:
            return
        for name, is_open in changes.items():
            log.info("quota state", step="update_quotas", tenant=name, is_open=is_open)
        reply = QuotaReply(is_open=changes)
        for link in self._members.values():
            self._send(link, reply)
        self._apply(reply, now)

    def _share(self, now: float) -> float:
        """Return the share of the registered nodes that is in touch with this coordinator."""
        in_touch = 1 + sum(now - at <= HEARD_WITHIN_S for at in self._heard_at.values())
        return in_touch / max(in_touch, self._registered())

    def _apply(self, reply: QuotaReply, now: float) -> None:
        decisions = self.gate.apply(reply, now)
        if decisions:
            self.on_decisions(decisions)

    def _send(self, link: PeerLink, reply: QuotaReply) -> None:
        link.send(QUOTAS, encode_quota_reply(reply, self._clock()))
