"""Admission of requests within the quotas of tenants, before they are dispatched."""

from collections.abc import Callable

from ..dispatch import Job, Refuse, RefuseReason
from ..fleet import Tenant
from ..tenants import Admission, Admitted, Deferred, OverQuota, QuotaGate

__all__ = ["QuotaAdmission"]

# A request is held back for a grant for this share of its latency target at most. The rest is left
# for its run.
HOLD_SHARE = 0.2


class QuotaAdmission:
    """Admits jobs by the decisions of ``gate``, some of which follow later.

    ``submit`` is called with each job that may run, ``refuse`` with the refusal of each other one,
    ``send_soon`` when the gate has a question to send, and ``count_units`` with the tenant and the
    units of each job that may have run.
    """

    def __init__(
        self,
        gate: QuotaGate,
        submit: Callable[[Job], None],
        refuse: Callable[[Refuse], None],
        send_soon: Callable[[], None],
        count_units: Callable[[str, float], None],
    ) -> None:
        self._gate = gate
        self._submit = submit
        self._refuse = refuse
        self._send_soon = send_soon
        self._count_units = count_units
        self._admitted: dict[Job, Admitted] = {}
        self._deferred: dict[int, Job] = {}
        self._asks: dict[Job, Deferred] = {}

    def admit(self, job: Job, tenant: Tenant | None, tokens: int | None, now: float) -> None:
        """Submit or refuse a job, at once or after the coordinator's answer.

        ``tokens`` is the sum of the request's token counts, or None if it names none.
        """
        if tenant is None or tenant.rate_per_s <= 0.0:
            self._submit(job)
            return
        max_wait_s = HOLD_SHARE * job.route.target_latency_s
        decision = self._gate.admit(tenant.name, tenant.cost(tokens), max_wait_s, now)
        if isinstance(decision, Deferred):
            self._deferred[decision.ask_id] = job
            self._asks[job] = decision
            self._send_soon()
        else:
            self._decide(job, decision)

    def apply(self, decisions: list[tuple[int, Admission]]) -> None:
        """Submit or refuse the deferred jobs on which the gate has decided."""
        for ask_id, decision in decisions:
            job = self._deferred.pop(ask_id, None)
            if job is not None:
                del self._asks[job]
                self._decide(job, decision)
            elif isinstance(decision, Admitted):
                self._gate.give_back(decision)

    def finish(self, job: Job) -> None:
        """Handle the end of a job. Give back its units if it did not run."""
        ask = self._asks.pop(job, None)
        if ask is not None:
            del self._deferred[ask.ask_id]
            self._gate.cancel(ask)
        admitted = self._admitted.pop(job, None)
        if admitted is None:
            return
        if job.may_have_run:
            self._count_units(admitted.tenant, admitted.units)
        else:
            self._gate.give_back(admitted)

    def _decide(self, job: Job, decision: Admission) -> None:
        match decision:
            case Admitted():
                self._admitted[job] = decision
                self._submit(job)
            case OverQuota(_, retry_after_s):
                self._refuse(Refuse(job, RefuseReason.OVER_QUOTA, retry_after_s))
