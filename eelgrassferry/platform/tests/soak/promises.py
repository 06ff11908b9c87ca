"""Checks of what callers and servers have seen against what the system promises."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise

from .records import CallRecord, OrderRecord, RunRecord, SoakRecord

__all__ = ["Violation", "find_violations"]

# Figures of the settings that the soak gives to the nodes, in seconds: the least time between the
# orders of two holders, after which a changed configuration is in force, and after which a server
# that leaves gets no requests.
HANDOVER_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
# A node is held to a bound in time once it was undisturbed for this long, in seconds.
CONTACT_S = 3.0
# Slack for an order that was on its way when its sender was paused, in seconds.
THAW_S = 0.3
# A request has its final answer this long after its route's timeout, in seconds.
ROUTE_TIMEOUT_S = 4.0
ANSWER_SLACK_S = 0.5
# A request reaches no server this long after its caller has gone, in seconds.
GONE_S = 0.5
# Statuses that say that a request has not run and never will.
NOT_RUN = {408, 421, 429, 503}
# Kinds of requests that may run once at most.
ONCE = {"order", "stream"}


@dataclass(frozen=True)
class Violation:
    """A broken promise, with what shows it."""

    promise: str
    detail: str


def find_violations(record: SoakRecord) -> list[Violation]:
    """Return every promise that a run has broken."""
    checks = (
        _check_runs(record),
        _check_answers(record),
        _check_orders(record),
        _check_times(record),
        _check_leaving(record),
        (Violation("exits", name) for name in record.exits),
        (Violation("recovers", detail) for detail in record.unserved),
    )
    return [violation for check in checks for violation in check]


def _check_runs(record: SoakRecord) -> Iterator[Violation]:
    """Requests reach servers as callers sent them, as often as they may, and not if refused."""
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
        if call.kind in ONCE and count > 1:
            yield Violation("once", f"{request_id} ran {count} times")
        if call.kind in ONCE and call.status in NOT_RUN and not call.sealed:
            yield Violation("refused", f"{request_id} answered {call.status} and ran")


def _check_answers(record: SoakRecord) -> Iterator[Violation]:
    """Successes are the whole answers of servers to their own requests."""
    for call in record.calls:
        if call.status is None or call.left:
            continue
        if call.status == 200 and call.complete:
            if not call.sealed or call.answer_id != call.request_id:
                yield Violation("mixed", f"{call.request_id} got the answer to {call.answer_id}")
            elif not _is_whole(call):
                yield Violation("mixed", f"{call.request_id} got {call.answer[:80]!r}")
        elif 300 <= call.status < 500 and call.status not in NOT_RUN:
            known_at = record.routes.get(call.path, 0.0)
            calm = record.is_calm(call.node, call.sent_at - CONTACT_S, call.sent_at)
            if call.status != 404 or (calm and call.sent_at > known_at):
                yield Violation("denied", f"{call.request_id} answered {call.status}")


def _is_whole(call: CallRecord) -> bool:
    if call.kind in ("order", "look"):
        return call.answer == b"done by " + call.body
    ids = [line[4:] for line in call.answer.split(b"\n") if line.startswith(b"id: ")]
    return ids == [b"1", b"2", b"3"] and call.answer.endswith(b"\n\n")


def _check_orders(record: SoakRecord) -> Iterator[Violation]:
    """Each server has orders of one holder at a time, and none beyond its memory."""
    by_server: dict[str, list[OrderRecord]] = {}
    for order in record.orders:
        by_server.setdefault(order.server, []).append(order)
        if order.overcommits:
            yield Violation("limit", f"{order.server} by {order.holder}")
    for server, orders in by_server.items():
        for before, after in pairwise(order for order in orders if not _is_late(record, order)):
            if before.holder == after.holder:
                continue
            if after.epoch <= before.epoch:
                yield Violation("one", f"{server}: epoch {after.epoch} after {before.epoch}")
            elif after.at - before.at < HANDOVER_S:
                gap_s = round(after.at - before.at, 3)
                yield Violation("one", f"{server}: {before.holder}, then {after.holder} {gap_s} s")


def _is_late(record: SoakRecord, order: OrderRecord) -> bool:
    """Whether an order arrives within the slack after a disturbance of its sender or its link,
    which may have held it back; the platform does not count it.
    """
    since = order.at - THAW_S
    return not all(record.is_calm(name, since, order.at) for name in (order.holder, order.server))


def _check_times(record: SoakRecord) -> Iterator[Violation]:
    """Requests at undisturbed nodes have a final answer in time."""
    limit_s = ROUTE_TIMEOUT_S + ANSWER_SLACK_S
    for call in record.calls:
        if call.left:
            continue
        until = call.sent_at + limit_s
        took_long = call.ended_at is None or call.ended_at > until
        if took_long and record.is_calm(call.node, call.sent_at - CONTACT_S, until):
            yield Violation("answered", f"{call.request_id} has no answer after {limit_s} s")


def _check_leaving(record: SoakRecord) -> Iterator[Violation]:
    """Servers that leave get no new requests, and callers that have gone leave no work behind."""
    calls = {call.request_id: call for call in record.calls}
    for run in record.runs:
        call = calls.get(run.request_id)
        if call is None:
            continue
        gone_at = record.gone.get(run.server)
        drains = gone_at is not None and run.at > gone_at + DRAIN_S
        if drains and _is_in_touch(record, call, run, gone_at):
            late_s = round(run.at - gone_at, 3)
            yield Violation("drain", f"{run.request_id} at {run.server} {late_s} s late")
        left = call.left and call.ended_at is not None and run.at > call.ended_at + GONE_S
        if left and _is_in_touch(record, call, run, call.ended_at):
            yield Violation("gone", f"{run.request_id} ran after its caller had gone")


def _is_in_touch(record: SoakRecord, call: CallRecord, run: RunRecord, since: float) -> bool:
    """Whether a request's node and server were undisturbed from before ``since`` to its run."""
    begun = since - CONTACT_S
    return all(record.is_calm(name, begun, run.at) for name in (call.node, run.server))
