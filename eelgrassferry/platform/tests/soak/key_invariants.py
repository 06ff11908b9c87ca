"""Checks that requests run for the tenant whose key came with them, and for no other."""

from collections.abc import Iterator

from .records import CallRecord, KeyRecord, SoakRecord
from .violation import Violation

__all__ = ["find_key_violations"]

# The longest time until a changed configuration is in force, and the time for which a node has to
# be undisturbed before a time limit holds for it, in seconds.
CONFIG_APPLY_S = 2.0
UNDISTURBED_S = 3.0
# Kind of the requests that need no key.
ANONYMOUS_KIND = "look"
NO_TENANT = ""


def find_key_violations(record: SoakRecord) -> Iterator[Violation]:
    """Yield the violations of the rules on keys, if callers send any."""
    if not record.keys:
        return
    calls = {call.request_id: call for call in record.calls}
    for run in record.runs:
        call = calls.get(run.request_id)
        if call is None:
            continue
        if run.has_key:
            yield Violation("key", f"{run.request_id} at {run.server} has a key")
        if run.tenant not in _allowed_tenants(record, call):
            yield Violation("tenant", f"{run.request_id} at {run.server} for {run.tenant!r}")
    for call in record.calls:
        key = _key_of(record, call)
        if call.status == 401 and (
            call.kind == ANONYMOUS_KIND or (key is not None and _is_in_force(record, call, key))
        ):
            yield Violation("denied", f"{call.request_id} answered 401")


def _allowed_tenants(record: SoakRecord, call: CallRecord) -> set[str]:
    """Return the tenants for which a request may run; the empty one stands for none."""
    is_anonymous = call.kind == ANONYMOUS_KIND
    key = _key_of(record, call)
    if key is None:
        return {NO_TENANT} if is_anonymous else set()
    is_over = (
        key.until is not None
        and call.sent_at > key.until + CONFIG_APPLY_S
        and _is_undisturbed(record, call, call.sent_at)
    )
    allowed = set() if is_over else {key.tenant}
    if is_anonymous and not _is_in_force(record, call, key):
        allowed.add(NO_TENANT)
    return allowed


def _is_in_force(record: SoakRecord, call: CallRecord, key: KeyRecord) -> bool:
    """Return whether a key was held, at the call's node, as long as the call lasted."""
    ended_at = call.sent_at if call.ended_at is None else call.ended_at
    if key.until is not None and ended_at >= key.until:
        return False
    if key.since == float("-inf"):
        # All versions that a node may have contain this key.
        return True
    return call.sent_at > key.since + CONFIG_APPLY_S and _is_undisturbed(record, call, ended_at)


def _is_undisturbed(record: SoakRecord, call: CallRecord, until: float) -> bool:
    return record.is_undisturbed(call.node, call.sent_at - UNDISTURBED_S, until)


def _key_of(record: SoakRecord, call: CallRecord) -> KeyRecord | None:
    """Return what is recorded of a call's key, None if no tenant has ever held it."""
    return record.keys.get(call.keys[0]) if len(call.keys) == 1 else None
