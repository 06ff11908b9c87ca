"""Why a model or adapter is or is not loaded, and what is under way."""

from collections.abc import Mapping
from dataclasses import dataclass

from .area_state import AreaState, Copy
from .demand import Demand
from .version_change import VersionState

__all__ = ["CopyState", "Explanation", "Progress", "explain_name", "report_progress"]


@dataclass(frozen=True)
class CopyState:
    """One copy: ``state`` is serving, loading, retiring or probing."""

    upstream: str
    version: str
    state: str
    detail: str = ""


@dataclass(frozen=True)
class Explanation:
    """The copies of a name and the reason for what is missing or going on."""

    name: str
    copies: tuple[CopyState, ...]
    demand: Demand
    reason: str


@dataclass(frozen=True)
class Progress:
    """What one controller has under way. ``epoch`` is None where it does not hold the lease."""

    epoch: int | None
    loads: tuple[str, ...]
    unloads: tuple[str, ...]
    changes: tuple[str, ...]
    wants: tuple[str, ...]
    not_ready: tuple[str, ...]
    foreign_reservations: int


def explain_name(
    area: AreaState,
    waiting: Mapping[str, str],
    changes: Mapping[str, tuple[VersionState, str]],
    name: str,
    now: float,
) -> Explanation:
    """Return why a model or adapter is loaded where it is, or is not loaded."""
    copies: list[CopyState] = []
    for upstream, state in area.upstreams.items():
        for resident in state.residents():
            if resident.item.name != name:
                continue
            copy = Copy(upstream, resident.item)
            kind, detail = "serving", ""
            if not state.is_available(now):
                kind, detail = "unavailable", "leaving, unreachable or not yet read"
            elif copy in area.unloads:
                kind, detail = "retiring", area.unloads[copy].reason
            elif copy in area.probing:
                kind, detail = "probing", "waits for its probe"
            copies.append(CopyState(upstream, resident.item.version, kind, detail))
        copies += [
            CopyState(upstream, item.version, "loading")
            for item in state.loading()
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
    """Return the reason in one sentence."""
    known = area.configured(name)
    if known is None:
        return "not in the deployment"
    if name in changes:
        state, detail = changes[name]
        return f"version change {state.value}" + (f": {detail}" if detail else "")
    if name in area.pinned:
        return f"version {known[0].version} was rejected by its probe; the old version stays"
    if has_copies:
        return "resident"
    if name in waiting:
        return waiting[name]
    failed = [c.upstream for c in area.failures if c.item.name == name and area.is_barred(c, now)]
    if failed:
        return f"the load failed on {', '.join(sorted(failed))} and is tried again later"
    assert area.deployment is not None
    adapter = area.deployment.adapters.get(name)
    if adapter is None:
        return "waits for its turn at the weight store or for a status of an upstream"
    if name not in area.wants:
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
    """Return what is under way."""
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
        tuple(area.wants),
        tuple(name for name, state in area.upstreams.items() if not state.is_available(now)),
        foreign,
    )
