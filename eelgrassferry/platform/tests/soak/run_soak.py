"""Run of the soak for one seed."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from .caller import PATHS, Caller
from .fault_plan import Fault, draw_extra_faults, draw_notices, draw_plan
from .invariants import Violation, find_violations
from .key_ring import KEY_PREFIX
from .records import SoakRecord
from .soak_fleet import NODES, SoakFleet

__all__ = ["SoakReport", "run_soak"]

# Time limit after the last fault by which every node serves every kind of request, in seconds: the
# platform's recovery limit.
RECOVERY_LIMIT_S = 12.0
# Time for which callers go on sending after the last fault, in seconds.
CALLERS_CONTINUE_S = 1.0


@dataclass(frozen=True)
class SoakReport:
    """Summary of a run.

    ``outcomes`` counts the requests by status and ``notices`` the answers with notices by kind.
    """

    seed: int
    faults: tuple[Fault, ...]
    calls: int
    outcomes: dict[str, int]
    orders: int
    notices: dict[str, int]
    violations: tuple[Violation, ...]


async def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    notices: bool = False,
    extra: bool = False,
    nodes: int = NODES,
    tenants: bool = False,
) -> SoakReport:
    """Run a fleet under the faults of a seed and check the invariants.

    The nodes' settings and logs are written to ``folder``. With ``notices``, servers also speak of
    themselves in their answers; with ``extra``, the faults of ``draw_extra_faults`` are added. With
    ``tenants``, requests need keys, and the nodes' logs must not contain any.
    """
    plan = draw_plan(seed, seconds)
    plan += draw_notices(seed, seconds) if notices else []
    plan += draw_extra_faults(seed, seconds) if extra else []
    plan.sort(key=lambda fault: fault.at)
    fleet = SoakFleet(seed, folder, nodes, tenants)
    try:
        await fleet.start()
        callers = fleet.start_callers()
        began = fleet.clock()
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                await asyncio.sleep(max(0.0, began + fault.at - fleet.clock()))
                group.create_task(fleet.inject(fault))
        await asyncio.sleep(max(CALLERS_CONTINUE_S, began + seconds - fleet.clock()))
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        _mark_unfinished_as_abandoned(fleet.record)
        await fleet.wait_until_ready()
        await _check_recovery(fleet)
        violations = tuple(find_violations(fleet.record))
    finally:
        await fleet.stop()
    violations += tuple(_find_logged_keys(folder))
    record = fleet.record
    outcomes = Counter(_outcome(call.status, call.abandoned) for call in record.calls)
    notice_counts = Counter(kind for notice in record.notices for kind in notice.kinds)
    counts = (len(record.calls), dict(outcomes), len(record.orders), dict(notice_counts))
    return SoakReport(seed, tuple(plan), *counts, violations)


async def _check_recovery(fleet: SoakFleet) -> None:
    """Check that every node serves every kind of request within ``RECOVERY_LIMIT_S``."""
    until = fleet.clock() + RECOVERY_LIMIT_S
    wanted = [
        (node, kind, f"m{number}")
        for node in fleet.nodes
        for kind in PATHS
        for number in range(4 if kind == "stream" else 1)
    ]
    callers = {node: fleet.make_caller(node) for node in fleet.nodes}
    async with asyncio.TaskGroup() as group:
        for node, kind, model in wanted:
            group.create_task(_send_until_served(fleet, callers[node], node, (kind, model), until))


async def _send_until_served(
    fleet: SoakFleet, caller: Caller, node: str, wanted: tuple[str, str], until: float
) -> None:
    kind, model = wanted
    while True:
        call = await caller.send(kind, PATHS[kind], model, with_good_key=True)
        if call.status == 200:
            return
        if fleet.clock() > until:
            fleet.record.unserved.append(f"{node} {kind} {model}: {call.status} {call.detail}")
            return
        await asyncio.sleep(0.2)


def _find_logged_keys(folder: Path) -> list[Violation]:
    """Return a violation for each log of a node that contains a key."""
    logs = [path for path in folder.glob("*.log") if KEY_PREFIX in path.read_text()]
    return [Violation("logged", f"{path.name} contains a key") for path in logs]


def _mark_unfinished_as_abandoned(record: SoakRecord) -> None:
    """Mark the requests that were in flight when the callers ended as abandoned."""
    for call in record.calls:
        if call.ended_at is None:
            call.abandoned = True


def _outcome(status: int | None, abandoned: bool) -> str:
    if abandoned:
        return "left"
    return "closed" if status is None else str(status)
