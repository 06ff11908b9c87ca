"""What must hold after every scenario, whatever happened in it."""

from .system import System

__all__ = ["check_invariants"]

MAX_CRASHES = 2


def check_invariants(system: System) -> list[str]:
    """Return a line for each broken invariant of design section 1.2, by the stand-ins' counts."""
    return [
        *check_memory(system),
        *check_orders(system),
        *check_requests(system),
        *check_leaving(system),
        *check_crashes(system),
    ]


def check_memory(system: System) -> list[str]:
    """I1: no engine was ever asked to hold more than its memory."""
    faults = []
    for process in system.all_of_kind("engine"):
        counts = system.read_counts(process)
        if counts.get("overcommits", 0):
            faults.append(f"I1: {process.name} refused {counts['overcommits']} overcommits")
        if counts.get("max_used_mib", 0) > counts.get("memory_mib", 0):
            faults.append(f"I1: {process.name} used {counts['max_used_mib']} MiB")
    return faults


def check_orders(system: System) -> list[str]:
    """I4 and I5: each order ran at most once, and as its caller was told."""
    runs = system.count_orders()
    faults = [f"I5: order {key} ran {count} times" for key, count in runs.items() if count > 1]
    for order in system.orders:
        seen, ran = order.outcome, runs[order.key]
        if seen.ran == "no" and ran and not was_answered(system, order.key):
            faults.append(f"I4: order {order.key} ran although {seen.reason} said that it did not")
        if 200 <= seen.status < 300:
            if ran != 1:
                faults.append(f"I4: order {order.key} was confirmed and ran {ran} times")
            if seen.key != order.key:
                faults.append(f"I3: order {order.key} got the answer of {seen.key}")
    return faults


def was_answered(system: System, key: str) -> bool:
    """Return whether another attempt of the same order was confirmed or left unknown."""
    attempts = [order.outcome for order in system.orders if order.key == key]
    return any(seen.status in (200, 201) or seen.ran != "no" for seen in attempts)


def check_requests(system: System) -> list[str]:
    """I3 and I4: each request was answered in full or refused with a true ``ran``.

    A connection may break only if its process was killed, or if the scenario spoke to an engine
    itself, whose faults the node exists to hide.
    """
    starts = system.count_starts()
    attempts: dict[str, int] = {}
    for call in system.requests:
        attempts[call.digest] = attempts.get(call.digest, 0) + 1
    faults = []
    for call in system.requests:
        seen = call.outcome
        about = f"request {call.prompt!r} to {call.target.name}"
        if seen.status == 200 and seen.complete and not seen.ran:
            if wrong := call.judge():
                faults.append(f"I3: {about}: {wrong}")
        elif seen.ran == "no":
            if starts[call.digest] and attempts[call.digest] == 1:
                faults.append(f"I4: {about} was started although {seen.reason} said it was not")
        elif not seen.ran and not call.target.broke and call.target.kind == "node":
            faults.append(f"I3: {about}: {call.judge()}")
    return faults


def check_leaving(system: System) -> list[str]:
    """I6: an upstream that leaves got no new work later than 3 s after."""
    faults = []
    for process in (*system.all_of_kind("engine"), *system.all_of_kind("service")):
        late = system.read_counts(process).get("late_requests", 0)
        if late:
            faults.append(
                f"I6: {process.name} got {late} requests over 3 s after it began to leave"
            )
    return faults


def check_crashes(system: System) -> list[str]:
    """I10: nodes let each request that crashes engines crash at most two of them."""
    crashing = [call for call in system.requests if call.crashes]
    if any(call.target.kind != "node" for call in crashing):
        return []
    starts = system.count_starts()
    digests = {call.digest: call.prompt for call in crashing}
    return [
        f"I10: {prompt!r} was started {starts[digest]} times"
        for digest, prompt in digests.items()
        if starts[digest] > MAX_CRASHES
    ]
