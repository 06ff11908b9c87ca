"""Explanations of the placement of an item, and reports of the operations in progress."""

from collections.abc import Mapping
from dataclasses import dataclass

from .area_state import AreaState, Copy
from .demand import Demand
from .version_change import VersionState

__all__ = ["CopyState", "Explanation", "Progress", "explain_name", "report_progress"]


@dataclass(frozen=True)
class CopyState:
    """State of one copy: serving, loading, retiring, probing or unavailable."""

    upstream: str
    version: str
    state: str
    detail: str = ""


@dataclass(frozen=True)
class Explanation:
    """Copies and demand of an item, and the reason for its current placement."""

    name: str
    copies: tuple[CopyState, ...]
    demand: Demand
    reason: str


@dataclass(frozen=True)
class Progress:
    """Operations in progress in one controller.

    ``epoch`` is None if the controller does not hold the lease.
    """

    epoch: int | None
    loads: tuple[str, ...]
    unloads: tuple[str, ...]
    changes: tuple[str, ...]
    pending_demand: tuple[str, ...]
    not_ready: tuple[str, ...]
    foreign_reservations: int


def explain_name(
    area: AreaState,
    waiting: Mapping[str, str],
    changes: Mapping[str, tuple[VersionState, str]],
    name: str,
    now: float,
) -> Explanation:
    """Return the copies of a model or adapter and the reason for its current placement."""
    copies: list[CopyState] = []
    for upstream, state in area.upstreams.items():
        for resident in state.residents():
            if resident.item.name != name:
                continue
            copy = Copy(upstream, resident.item)
            kind, detail = "serving", ""
            if not state.is_available(now):
                kind, detail = (
                    "unavailable",
                    "leaving, unreachable or not yet read",
                )
            elif copy in area.unloads:
                kind, detail = "retiring", area.unloads[copy].reason
            elif copy in area.probing:
                kind, detail = "probing", "waits for its probe"
            copies.append(CopyState(upstream, resident.item.version, kind, detail))
        copies += [
            CopyState(upstream, item.version, "loading")
            for item in state.pending_loads()
            if item.name == name and not state.is_resident(item)
        ]
    reason = find_reason(area, waiting, changes, name, bool(copies), now)
    return Explanation(name, tuple(copies), area.estimator.demand(name, now), reason)


def find_reason(
    area: AreaState,
    waiting: Mapping[str, str],
    changes: Mapping[str, tuple[VersionState, str]],
    name: str,
    has_copies: bool,
    now: float,
) -> str:
    """Return the reason for an item's current placement in one sentence."""
    configured = area.configured_item(name)
    if configured is None:
        return "not in the deployment"
    if name in changes:
        state, detail = changes[name]
        return f"version change {state.value}" + (f": {detail}" if detail else "")
    if name in area.pinned:
        return f"version {configured[0].version} was rejected by its probe; the old version stays"
    if has_copies:
        return "resident"
    if name in waiting:
        return waiting[name]
    failed = [
        c.upstream for c in area.failures if c.item.name == name and area.is_backing_off(c, now)
    ]
    if failed:
        return f"the load failed on {', '.join(sorted(failed))} and is tried again later"
    assert area.deployment is not None
    adapter = area.deployment.adapters.get(name)
    if adapter is None:
        return "waits for its turn at the weight store or for a status of an upstream"
    if name not in area.pending_demand:
        return "loaded on demand; no request waits for it"
    if not area.copies_of(adapter.base, now):
        return f"base model {adapter.base} is not resident"
    return "waits for memory: every other adapter beside its base is in use"


def report_progress(
    area: AreaState,
    epoch: int | None,
    changes: Mapping[str, tuple[VersionState, str]],
    now: float,
) -> Progress:
    """Return the operations in progress."""
    foreign = sum(
        r.writer != area.instance for s in area.upstreams.values() for r in s.ledger.reservations
    )
    return Progress(
        epoch,
        tuple(f"{c.item.name}@{c.item.version} on {c.upstream}" for c in area.loads),
        tuple(
            f"{c.item.name}@{c.item.version} on {c.upstream}: {u.reason}"
            for c, u in area.unloads.items()
        ),
        tuple(f"{name}: {s.value} {reason}".rstrip() for name, (s, reason) in changes.items()),
        tuple(area.pending_demand),
        tuple(name for name, state in area.upstreams.items() if not state.is_available(now)),
        foreign,
    )
