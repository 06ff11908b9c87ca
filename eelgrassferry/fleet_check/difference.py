"""Differences between two configurations."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from typing import Any

from ..fleet import FleetConfig
from .finding import Entry, EntryKind

__all__ = ["FleetDifference", "diff_fleets"]


@dataclass(frozen=True)
class FleetDifference:
    """One field that differs; ``old`` or ``new`` is None if that side lacks the entry.

    >>> print(FleetDifference(Entry(EntryKind.ROUTE, "r1"), "timeout_s", "5.0", "4.0"))
    route r1: timeout_s: 5.0 -> 4.0
    """

    entry: Entry
    field: str
    old: str | None
    new: str | None

    def __str__(self) -> str:
        if self.old is None:
            return f"{self.entry}: added"
        if self.new is None:
            return f"{self.entry}: removed"
        return f"{self.entry}: {self.field}: {self.old} -> {self.new}"


def diff_fleets(old: FleetConfig, new: FleetConfig) -> tuple[FleetDifference, ...]:
    """Return what differs between two configurations, without the version.

    The keys of tenants are secret: only the numbers of added and removed keys are shown.
    """
    before, after = _list_entries(old), _list_entries(new)
    differences: list[FleetDifference] = []
    for entry in dict.fromkeys([*before, *after]):
        if entry not in before:
            differences.append(FleetDifference(entry, "", None, ""))
        elif entry not in after:
            differences.append(FleetDifference(entry, "", "", None))
        else:
            differences += _diff_values(entry, before[entry], after[entry])
    return tuple(differences)


def _list_entries(config: FleetConfig) -> dict[Entry, Mapping[str, Any]]:
    entries = {
        Entry(EntryKind.LIMITS): _values_of(config.limits),
        **{Entry(EntryKind.ROUTE, route.name): _values_of(route) for route in config.routes},
        **{Entry(EntryKind.TENANT, name): _values_of(t) for name, t in config.tenants.items()},
    }
    for service in config.services.values():
        engine = service.engine
        values = _values_of(engine) if engine is not None else {}
        models = values.pop("models", {})
        entries[Entry(EntryKind.SERVICE, service.name)] = values
        for model in models.values():
            entries[Entry(EntryKind.MODEL, model.name, service.name)] = _values_of(model)
    return entries


def _values_of(item: Any) -> dict[str, Any]:
    return {field.name: getattr(item, field.name) for field in fields(item)}


def _diff_values(
    entry: Entry, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[FleetDifference]:
    for name in dict.fromkeys([*old, *new]):
        before, after = old.get(name), new.get(name)
        if before == after:
            continue
        if entry.kind is EntryKind.TENANT and name == "keys":
            removed, added = set(before) - set(after), set(after) - set(before)
            yield FleetDifference(
                entry, name, f"{len(before)} keys", f"{len(removed)} removed, {len(added)} added"
            )
        else:
            yield FleetDifference(entry, name, _show(before), _show(after))


def _show(value: Any) -> str:
    match value:
        case tuple():
            return ", ".join(map(_show, value))
        case None:
            return "(absent)"
        case _ if hasattr(value, "weight"):
            return f"{value.service} ({value.weight:g})"
        case _ if hasattr(value, "value"):
            return str(value.value)
    return str(value)
