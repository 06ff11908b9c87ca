"""A node's decisions on whether the quotas of tenants allow requests."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from ..fleet import ServiceBounds, Tenant
from .quota_admission import Admission, Admitted, Deferred, OverQuota
from .quota_limit import CLOSE_SHARE, QuotaLimit
from .quota_messages import QuotaAsk, QuotaGrant, QuotaReply, QuotaReport
from .quota_share import QuotaShare

__all__ = ["QuotaGate"]

# Without a message of the coordinator for this time, in seconds, a node does not ask but uses its
# own share. Views arrive every 0.1 to 0.3 s.
CONTACT_LOST_AFTER_S = 0.5
# For this time after the last message, in seconds, open tenants stay open, so that a successor can
# take over without a loss for callers. At several times its rate a tenant may use its whole margin
# in a little more.
OPEN_GRACE_S = 1.0
# A question without an answer for this time is decided by the node's own share, in seconds.
ANSWER_TIMEOUT_S = 0.2
# A late answer gives back what it has booked, for this time after the question, in seconds.
LATE_ANSWER_S = 5.0
# Time between two reports, in seconds. The coordinator closes a tenant that floods after this time
# and a message each way.
REPORT_INTERVAL_S = 0.1
# A request that was booked for a time is not sent later than this after it, in seconds.
GRANT_VALID_S = 0.5
# Requests wait for a grant this long at most, in seconds. Otherwise patient requests would take the
# grants ahead of urgent ones.
MAX_HOLD_S = 0.1
# The coordinator may have granted everything until this time after its last message, in seconds:
# the time between two views and the longest wait of a request.
GRANTED_AHEAD_S = 0.25
# Requests that the coordinator could not grant in time are refused without asking for this time at
# most, in seconds, because it may grant more by then.
REFUSE_WITHOUT_ASKING_S = 0.2
# Callers are asked to come back after this time when a node is on its own, in seconds. Contact is
# back by then in most cases, or another node answers.
RETRY_ALONE_S = 0.3
# Callers that were refused together come back spread over this time, in seconds.
RETRY_SPREAD_S = 0.2


@dataclass
class TenantGate:
    """State of one tenant: its limit and what the coordinator has last said.

    ``unreported`` are the units that were admitted without asking, and ``since_contact`` those
    since the last message of the coordinator. No request is granted before ``next_at``, in
    seconds. ``share`` is in use while there is no contact; then ``was_reset`` is whether the
    coordinator has stopped to count this node. Until ``debt_until``, in seconds, this node's share
    makes up for what it had overdrawn when it handed its share in.
    """

    limit: QuotaLimit
    is_open: bool = False
    next_at: float = float("-inf")
    unreported: float = 0.0
    since_contact: float = 0.0
    share: QuotaShare | None = None
    was_reset: bool = False
    debt_until: float = float("-inf")


@dataclass
class PendingAsk:
    """A question, or a grant for a later time, ``start_at``."""

    ask: QuotaAsk
    asked_at: float
    start_at: float | None = None


class QuotaGate:
    """Admits the requests of one node within the quotas of tenants.

    In touch with the coordinator, the node admits requests of open tenants at once and reports
    them, and asks for each request of the others. Otherwise it uses its share among
    ``node_count`` nodes.
    """

    def __init__(self, bounds: ServiceBounds, rng: Random, now: float) -> None:
        self.node_count = 1
        self._bounds = bounds
        self._rng = rng
        self._tenants: dict[str, TenantGate] = {}
        self._contact_at = float("-inf")
        self._next_id = 1
        self._unsent: list[QuotaAsk] = []
        self._pending: dict[int, PendingAsk] = {}
        self._late: dict[int, PendingAsk] = {}
        self._started_at = self._reported_at = now

    def set_tenants(self, tenants: Mapping[str, Tenant]) -> None:
        """Apply the limits of a new version of the configuration."""
        before, self._tenants = self._tenants, {}
        for name, tenant in tenants.items():
            limit = QuotaLimit.of(tenant, self._bounds)
            if limit is not None:
                state = before.get(name) or TenantGate(limit)
                state.limit = limit
                self._tenants[name] = state

    @property
    def has_pending(self) -> bool:
        """Whether requests wait for a decision."""
        return bool(self._pending)

    # Requests

    def admit(self, tenant: str, units: float, max_wait_s: float, now: float) -> Admission:
        """Decide on a request that may be held back for ``max_wait_s`` seconds."""
        state = self._tenants.get(tenant)
        if state is None or units <= 0.0:
            return Admitted(tenant, 0.0)
        if units > state.limit.largest:
            return OverQuota(tenant, None)
        silent_s = now - self._contact_at
        if state.is_open and silent_s <= OPEN_GRACE_S:
            state.unreported += units
            state.since_contact += units
            return Admitted(tenant, units)
        if silent_s > CONTACT_LOST_AFTER_S:
            return self._admit_by_share(tenant, state, units, now)
        max_wait_s = min(MAX_HOLD_S, max_wait_s)
        if now + max_wait_s < state.next_at:
            return self._refuse(tenant, state.next_at - now)
        ask = QuotaAsk(self._next_id, tenant, units, max_wait_s)
        self._next_id += 1
        self._unsent.append(ask)
        self._pending[ask.ask_id] = PendingAsk(ask, now)
        return Deferred(ask.ask_id)

    def give_back(self, admitted: Admitted) -> None:
        """Give back the units of a request that did not run."""
        state = self._tenants.get(admitted.tenant)
        if state is None or admitted.units <= 0.0:
            return
        if not admitted.by_share:
            state.unreported -= admitted.units
        elif state.share is not None:
            state.share.give_back(admitted.units)

    def cancel(self, deferred: Deferred) -> None:
        """Handle that a deferred request will not run."""
        pending = self._pending.pop(deferred.ask_id, None)
        if pending is None:
            return
        if pending.start_at is None:
            self._drop(pending)
        else:
            self._return_grant(pending.ask)

    def due(self, now: float) -> list[tuple[int, Admission]]:
        """Return the decisions on deferred requests that can be made now, by ``ask_id``."""
        decisions: list[tuple[int, Admission]] = []
        for ask_id, pending in list(self._pending.items()):
            ask, start_at = pending.ask, pending.start_at
            state = self._tenants.get(ask.tenant)
            if start_at is not None and now >= start_at:
                del self._pending[ask_id]
                if now - start_at <= GRANT_VALID_S:
                    decisions.append((ask_id, Admitted(ask.tenant, ask.units)))
                else:
                    self._return_grant(ask)
                    decisions.append((ask_id, self._refuse(ask.tenant, 0.0)))
            elif start_at is None and now - pending.asked_at >= ANSWER_TIMEOUT_S:
                del self._pending[ask_id]
                self._drop(pending)
                decisions.append((ask_id, self._decide_alone(ask, state, now)))
        for ask_id, pending in list(self._late.items()):
            if now - pending.asked_at > LATE_ANSWER_S:
                del self._late[ask_id]
        return decisions

    # Messages

    def record_contact(self, now: float) -> None:
        """Record that a message of the coordinator has arrived, which grants this node's share."""
        self._contact_at = now
        for state in self._tenants.values():
            state.since_contact = 0.0
            share, state.share = state.share, None
            if share is not None and state.was_reset:
                level = share.level(state.limit, self.node_count, now)
                state.unreported -= level
                state.debt_until = now - state.limit.seconds(level) * self.node_count
            elif share is not None:
                state.unreported += share.spent
            state.was_reset = False

    def reset(self, now: float) -> None:
        """Forget what the former coordinator has said, because another one or none follows.

        Its answers to open questions do not come any more, and reports to it are lost. The next one
        gets the questions that were not sent, and what is known to be unused of this node's share.
        """
        for state in self._tenants.values():
            self._use_share(state, now)
            state.is_open, state.next_at = False, float("-inf")
            state.unreported, state.was_reset = 0.0, True
        self._late.clear()

    def pop_report(self, now: float) -> QuotaReport | None:
        """Return the message to send to the coordinator, or None if there is none.

        Amounts are sent along with questions, and otherwise at intervals.
        """
        is_due = now - self._reported_at >= REPORT_INTERVAL_S
        if not self._unsent and not is_due:
            return None
        spent = {}
        for name, state in self._tenants.items():
            if state.unreported:
                spent[name] = state.unreported
            state.unreported = 0.0
        asks, self._unsent = tuple(self._unsent), []
        self._reported_at = now
        return QuotaReport(spent, asks) if spent or asks else None

    def apply(self, reply: QuotaReply, now: float) -> list[tuple[int, Admission]]:
        """Apply a message of the coordinator and return the decisions that follow."""
        for name, is_open in reply.is_open.items():
            state = self._tenants.get(name)
            if state is not None:
                state.is_open = is_open
        decisions = []
        for grant in reply.grants:
            decision = self._apply_grant(grant, now)
            if decision is not None:
                decisions.append((grant.ask_id, decision))
        return decisions

    # Details

    def _apply_grant(self, grant: QuotaGrant, now: float) -> Admission | None:
        late = self._late.pop(grant.ask_id, None)
        if late is not None and grant.start_at is not None:
            self._return_grant(late.ask)
        pending = self._pending.get(grant.ask_id)
        if pending is None:
            return None
        ask = pending.ask
        state = self._tenants.get(ask.tenant)
        if now - pending.asked_at > GRANT_VALID_S:
            # The answer waited while this process was frozen, and its times have passed.
            del self._pending[grant.ask_id]
            if grant.start_at is not None:
                self._return_grant(ask)
            return self._refuse(ask.tenant, 0.0)
        if grant.next_at is None or state is None:
            del self._pending[grant.ask_id]
            return self._decide_alone(ask, state, now)
        state.next_at = min(grant.next_at, now + REFUSE_WITHOUT_ASKING_S)
        if grant.start_at is None:
            del self._pending[grant.ask_id]
            return self._refuse(ask.tenant, grant.next_at - now)
        if grant.start_at > now:
            pending.start_at = grant.start_at
            return None
        del self._pending[grant.ask_id]
        return Admitted(ask.tenant, ask.units)

    def _decide_alone(self, ask: QuotaAsk, state: TenantGate | None, now: float) -> Admission:
        if state is None:
            return Admitted(ask.tenant, 0.0)
        return self._admit_by_share(ask.tenant, state, ask.units, now)

    def _admit_by_share(
        self, tenant: str, state: TenantGate, units: float, now: float
    ) -> Admission:
        share = self._use_share(state, now)
        if share.admit(state.limit, units, self.node_count, now, self._rng):
            return Admitted(tenant, units, by_share=True)
        return self._refuse(tenant, RETRY_ALONE_S)

    def _use_share(self, state: TenantGate, now: float) -> QuotaShare:
        """Return the share, whose use begins with the last message of the coordinator."""
        if state.share is None:
            unused, since = 0.0, self._contact_at + GRANTED_AHEAD_S
            if state.is_open:
                # At least this much of its depth is unused then, and nothing is booked ahead.
                unused = CLOSE_SHARE * state.limit.depth / self.node_count
                since = self._contact_at
            since = max(self._started_at, since)
            if not state.is_open:
                # The successor of a coordinator that was told of a debt does not know it.
                debt_s = max(0.0, state.debt_until - since)
                unused -= debt_s * state.limit.rate_per_s / self.node_count
            state.share = QuotaShare(unused - state.since_contact, since)
            state.since_contact = 0.0
        return state.share

    def _drop(self, pending: PendingAsk) -> None:
        """Drop a question; if it was sent already, an answer gives back what it has booked."""
        if pending.ask in self._unsent:
            self._unsent.remove(pending.ask)
        else:
            self._late[pending.ask.ask_id] = pending

    def _return_grant(self, ask: QuotaAsk) -> None:
        state = self._tenants.get(ask.tenant)
        if state is not None:
            state.unreported -= ask.units

    def _refuse(self, tenant: str, wait_s: float) -> OverQuota:
        return OverQuota(tenant, max(0.0, wait_s) + self._rng.uniform(0.0, RETRY_SPREAD_S))
