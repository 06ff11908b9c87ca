"""Checks that nodes heed what servers say of themselves in their answers."""

from collections.abc import Iterator

from .records import ArrivalRecord, LimitRecord, NoticeRecord, SoakRecord
from .violation import Violation

__all__ = ["find_notice_violations"]

# The longest time until a node sends no more requests to a server that has told it that it leaves,
# and to one that has asked it for a pause, in seconds.
DRAIN_S = 2.0
PAUSE_REACTION_S = 0.5
# Requests of one node that may reach a server in its pause.
MAX_IN_PAUSE = 2
# A limit counts from this time after it was first named, in each span of this length, and for nodes
# that were told this long before, in seconds.
LIMIT_REACTION_S = 3.0
WINDOW_S = 4.0
TOLD_BEFORE_S = 0.5
# Tolerance of a limit: a factor, and a number of requests.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


def find_notice_violations(record: SoakRecord) -> Iterator[Violation]:
    """Yield the violations of the rules on notices."""
    for notice in record.notices:
        yield from _check_notice(record, notice)
    for limit in record.limits:
        yield from _check_limit(record, limit)


def _check_notice(record: SoakRecord, notice: NoticeRecord) -> Iterator[Violation]:
    """Check the requests that follow one answer to a node; its restart or freeze excuses it."""
    later = [
        arrival
        for arrival in record.arrivals
        if (arrival.server, arrival.node) == (notice.server, notice.node)
        and arrival.at > notice.at
        and record.is_undisturbed(notice.node, notice.at, arrival.at)
    ]
    if notice.is_leaving:
        sent_at = {call.request_id: call.sent_at for call in record.calls}
        for arrival in later:
            if sent_at.get(arrival.request_id, 0.0) > notice.at + DRAIN_S:
                yield Violation("drain", f"{arrival.request_id} at {notice.server}, which leaves")
    begin, end = notice.at + PAUSE_REACTION_S, notice.at + notice.pause_s
    in_pause = [arrival for arrival in later if begin < arrival.at < end]
    if len(in_pause) > MAX_IN_PAUSE:
        yield Violation("pause", f"{len(in_pause)} of {notice.node} at {notice.server}")


def _check_limit(record: SoakRecord, limit: LimitRecord) -> Iterator[Violation]:
    """Check the number of requests in each span in which a limit holds."""
    told_at: dict[str, float] = {}
    for notice in record.notices:
        if notice.server == limit.server and notice.is_limited and notice.at >= limit.since:
            told_at[notice.node] = min(notice.at, told_at.get(notice.node, notice.at))
    if not told_at:
        return
    first_at = min(told_at.values()) + LIMIT_REACTION_S
    counted = sorted(
        arrival.at
        for arrival in record.arrivals
        if arrival.server == limit.server and _is_counted(record, arrival, told_at)
    )
    allowed = LIMIT_FACTOR * WINDOW_S * limit.per_s + LIMIT_SLACK
    for at in counted:
        in_window = sum(at <= other < at + WINDOW_S for other in counted)
        if at >= first_at and at + WINDOW_S <= limit.until and in_window > allowed:
            yield Violation("limit", f"{in_window} at {limit.server}, which takes {limit.per_s}/s")
            return


def _is_counted(record: SoakRecord, arrival: ArrivalRecord, told_at: dict[str, float]) -> bool:
    """Return whether an arrival counts: its node was told before and undisturbed since."""
    told = told_at.get(arrival.node)
    if told is None or arrival.at < told + TOLD_BEFORE_S:
        return False
    return record.is_undisturbed(arrival.node, arrival.at - LIMIT_REACTION_S, arrival.at)
