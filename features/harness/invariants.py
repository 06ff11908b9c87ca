"""Checks of the invariants that hold after every scenario, whatever faults it injected."""

from .system import System

__all__ = ["check_invariants"]

MAX_CRASHES = 2


def check_invariants(system: System) -> list[str]:
    """Return a line for each violation of the invariants in section 1.2 of the design.

    The checks compare the outcomes at the callers with the counts of the stand-ins.
    """
    return [
        *check_memory(system),
        *check_orders(system),
        *check_requests(system),
        *check_leaving(system),
        *check_crashes(system),
    ]


def check_memory(system: System) -> list[str]:
    """Check I1: no engine was ever ordered to load more than fits into its memory."""
    faults = []
    for process in system.all_of_kind("engine"):
        counts = system.read_counts(process)
        if counts.get("overcommits", 0):
            faults.append(f"I1: {process.name} refused {counts['overcommits']} overcommits")
        if counts.get("max_used_mib", 0) > counts.get("memory_mib", 0):
            faults.append(f"I1: {process.name} used {counts['max_used_mib']} MiB")
    return faults


def check_orders(system: System) -> list[str]:
    """Check I3, I4 and I5 for orders.

    Each order ran at most once (I5), each answer agrees with whether the order ran (I4), and each
    confirmation belongs to the order that was sent (I3).
    """
    runs = system.count_order_runs()
    faults = [f"I5: order {key} ran {count} times" for key, count in runs.items() if count > 1]
    for order in system.orders:
        outcome, run_count = order.outcome, runs[order.key]
        if outcome.ran == "no" and run_count and not may_have_run(system, order.key):
            faults.append(
                f"I4: order {order.key} ran although refused with {outcome.reason} and ran=no"
            )
        if 200 <= outcome.status < 300:
            if run_count != 1:
                faults.append(f"I4: order {order.key} was confirmed and ran {run_count} times")
            if outcome.key != order.key:
                faults.append(f"I3: order {order.key} got the answer to {outcome.key}")
    return faults


def may_have_run(system: System, key: str) -> bool:
    """Return whether any attempt of an order was confirmed or has an unknown outcome.

    The order may then have run although another attempt was refused.
    """
    outcomes = [order.outcome for order in system.orders if order.key == key]
    return any(outcome.status in (200, 201) or outcome.ran != "no" for outcome in outcomes)


def check_requests(system: System) -> list[str]:
    """Check I3 and I4: each request was answered in full or refused with a correct ``ran``.

    A connection may break only if its process was killed, or if the scenario sent the request
    directly to an engine: only nodes hide the faults of engines from their callers.
    """
    starts = system.count_request_starts()
    attempts: dict[str, int] = {}
    for call in system.requests:
        attempts[call.digest] = attempts.get(call.digest, 0) + 1
    faults = []
    for call in system.requests:
        outcome = call.outcome
        label = f"request {call.prompt!r} to {call.target.name}"
        if outcome.status == 200 and outcome.complete and not outcome.ran:
            if fault := call.describe_fault():
                faults.append(f"I3: {label}: {fault}")
        elif outcome.ran == "no":
            if starts[call.digest] and attempts[call.digest] == 1:
                faults.append(
                    f"I4: {label} was started although refused with {outcome.reason} and ran=no"
                )
        elif not outcome.ran and not call.target.was_killed and call.target.kind == "node":
            faults.append(f"I3: {label}: {call.describe_fault()}")
    return faults


def check_leaving(system: System) -> list[str]:
    """Check I6: an upstream got no new work later than 3 s after it began to leave."""
    faults = []
    for process in (*system.all_of_kind("engine"), *system.all_of_kind("service")):
        late_count = system.read_counts(process).get("late_requests", 0)
        if late_count:
            faults.append(
                f"I6: {process.name} got {late_count} requests over 3 s after it began to leave"
            )
    return faults


def check_crashes(system: System) -> list[str]:
    """Check I10: a request that crashes engines crashes at most two of them.

    Nothing is checked if such a request was sent directly to an engine.
    """
    crashing = [call for call in system.requests if call.crashes]
    if any(call.target.kind != "node" for call in crashing):
        return []
    starts = system.count_request_starts()
    prompts = {call.digest: call.prompt for call in crashing}
    return [
        f"I10: {prompt!r} was started {starts[digest]} times"
        for digest, prompt in prompts.items()
        if starts[digest] > MAX_CRASHES
    ]
