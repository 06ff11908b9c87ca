"""Checks of a soak's record against the guarantees that the system gives to callers."""

from collections import Counter
from collections.abc import Iterator
from itertools import pairwise

from .key_invariants import find_key_violations
from .notice_invariants import find_notice_violations
from .records import CallRecord, OrderRecord, RunRecord, SoakRecord
from .violation import Violation

__all__ = ["Violation", "find_violations"]

# Limits from the nodes' settings in the soak, in seconds: the shortest time between the orders of
# two lease holders, the longest time until a changed configuration is in force, and the longest
# time until a draining server gets no more requests.
HANDOVER_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
# Time limits are checked only for nodes that were undisturbed for this long before, in seconds.
UNDISTURBED_S = 3.0
# Orders that arrive this soon after a disturbance of their sender may have been delayed by it, in
# seconds.
RESUME_SLACK_S = 0.3
# A request is answered within its route's timeout plus this slack, in seconds.
ROUTE_TIMEOUT_S = 4.0
ANSWER_SLACK_S = 0.5
# No server starts a request later than this after its caller has disconnected, in seconds.
ABANDON_SLACK_S = 0.5
# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = {408, 421, 429, 503}
# Kinds of requests that must not run more than once.
AT_MOST_ONCE_KINDS = {"order", "stream"}


def find_violations(record: SoakRecord) -> list[Violation]:
    """Return all violations of the system's invariants in the record of a run."""
    checks = (
        _check_runs(record),
        _check_answers(record),
        _check_orders(record),
        _check_times(record),
        _check_late_runs(record),
        find_notice_violations(record),
        find_key_violations(record),
        (Violation("exits", name) for name in record.exits),
        (Violation("recovers", detail) for detail in record.unserved),
    )
    return [violation for check in checks for violation in check]


def _check_runs(record: SoakRecord) -> Iterator[Violation]:
    """Check that requests run unaltered, once at most if not repeatable, and never if refused."""
    calls = {call.request_id: call for call in record.calls}
    counts = Counter(run.request_id for run in record.runs)
    for run in record.runs:
        call = calls.get(run.request_id)
        if call is None or (call.path, call.body) != (run.path, run.body):
            yield Violation("unasked", f"{run.request_id} {run.path} at {run.server}")
    for request_id, count in counts.items():
        call = calls.get(request_id)
        if call is None:
            continue
        if call.kind in AT_MOST_ONCE_KINDS and count > 1:
            yield Violation("once", f"{request_id} ran {count} times")
        if call.kind in AT_MOST_ONCE_KINDS and call.status in NOT_RUN_STATUSES and not call.sealed:
            yield Violation("refused", f"{request_id} answered {call.status} and ran")


def _check_answers(record: SoakRecord) -> Iterator[Violation]:
    """Check that a successful answer is a server's complete answer to that request.

    A 3xx or 4xx status that does not mean "not run" is a violation too, unless it is a 404 and the
    node may not have loaded the route yet, or a 401 in a fleet with tenants, which
    ``key_invariants`` checks.
    """
    for call in record.calls:
        if call.status is None or call.abandoned or (call.status == 401 and record.keys):
            continue
        if call.status == 200 and call.complete:
            if not call.sealed or call.answer_id != call.request_id:
                yield Violation("mixed", f"{call.request_id} got the answer to {call.answer_id}")
            elif not _is_complete(call):
                yield Violation("mixed", f"{call.request_id} got {call.answer[:80]!r}")
        elif 300 <= call.status < 500 and call.status not in NOT_RUN_STATUSES:
            known_at = record.routes.get(call.path, 0.0)
            undisturbed = record.is_undisturbed(
                call.node, call.sent_at - UNDISTURBED_S, call.sent_at
            )
            if call.status != 404 or (undisturbed and call.sent_at > known_at):
                yield Violation("denied", f"{call.request_id} answered {call.status}")


def _is_complete(call: CallRecord) -> bool:
    if call.kind in ("order", "look"):
        return call.answer == b"done by " + call.body
    ids = [line[4:] for line in call.answer.split(b"\n") if line.startswith(b"id: ")]
    return ids == [b"1", b"2", b"3"] and call.answer.endswith(b"\n\n")


def _check_orders(record: SoakRecord) -> Iterator[Violation]:
    """Check that a server gets orders from one lease holder at a time, within its capacity."""
    by_server: dict[str, list[OrderRecord]] = {}
    for order in record.orders:
        by_server.setdefault(order.server, []).append(order)
        if order.overcommits:
            yield Violation("limit", f"{order.server} by {order.holder}")
    for server, orders in by_server.items():
        for before, after in pairwise(
            order for order in orders if not _may_be_delayed(record, order)
        ):
            if before.holder == after.holder:
                continue
            if after.epoch <= before.epoch:
                yield Violation("one", f"{server}: epoch {after.epoch} after {before.epoch}")
            elif after.at - before.at < HANDOVER_S:
                gap_s = round(after.at - before.at, 3)
                yield Violation("one", f"{server}: {before.holder}, then {after.holder} {gap_s} s")


def _may_be_delayed(record: SoakRecord, order: OrderRecord) -> bool:
    """Return whether a disturbance of an order's sender or link may have delayed the order.

    The platform does not count such orders.
    """
    since = order.at - RESUME_SLACK_S
    return not all(
        record.is_undisturbed(name, since, order.at) for name in (order.holder, order.server)
    )


def _check_times(record: SoakRecord) -> Iterator[Violation]:
    """Check that requests to undisturbed nodes are answered in time."""
    limit_s = ROUTE_TIMEOUT_S + ANSWER_SLACK_S
    for call in record.calls:
        if call.abandoned:
            continue
        until = call.sent_at + limit_s
        took_long = call.ended_at is None or call.ended_at > until
        if took_long and record.is_undisturbed(call.node, call.sent_at - UNDISTURBED_S, until):
            yield Violation("answered", f"{call.request_id} has no answer after {limit_s} s")


def _check_late_runs(record: SoakRecord) -> Iterator[Violation]:
    """Check that no request starts at a draining server or after its caller has disconnected."""
    calls = {call.request_id: call for call in record.calls}
    for run in record.runs:
        call = calls.get(run.request_id)
        if call is None:
            continue
        draining_at = record.draining_since.get(run.server)
        is_late = draining_at is not None and run.at > draining_at + DRAIN_S
        if is_late and _is_undisturbed_since(record, call, run, draining_at):
            late_s = round(run.at - draining_at, 3)
            yield Violation("drain", f"{run.request_id} at {run.server} {late_s} s late")
        abandoned = (
            call.abandoned
            and call.ended_at is not None
            and run.at > call.ended_at + ABANDON_SLACK_S
        )
        if abandoned and _is_undisturbed_since(record, call, run, call.ended_at):
            yield Violation("gone", f"{run.request_id} ran after its caller had gone")


def _is_undisturbed_since(
    record: SoakRecord, call: CallRecord, run: RunRecord, since: float
) -> bool:
    """Return whether a request's node and server were undisturbed until its run.

    The period starts ``UNDISTURBED_S`` before ``since``.
    """
    start = since - UNDISTURBED_S
    return all(record.is_undisturbed(name, start, run.at) for name in (call.node, run.server))
