"""Comparison of two deployments."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from .deployment import Deployment
from .load import list_values

__all__ = ["Difference", "combine_differences", "diff_deployments"]


@dataclass(frozen=True)
class Difference:
    """One value that differs. ``old`` or ``new`` is None if that side does not have the value.

    >>> str(Difference("site", "move_cost", "10", "40"))
    '[site] move_cost: 10 -> 40'
    """

    section: str
    key: str
    old: str | None
    new: str | None

    def __str__(self) -> str:
        old = "(absent)" if self.old is None else self.old
        new = "(absent)" if self.new is None else self.new
        return f"[{self.section}] {self.key}: {old} -> {new}"


def diff_deployments(old: Deployment, new: Deployment) -> tuple[Difference, ...]:
    """Return the values that differ, in the order of the sections.

    Parsed values are compared, not their texts: ``12 GiB`` equals ``12288 MiB``, and an explicit
    value that is the default equals a value that is left out.
    """
    # Formatting all values takes as long as loading them, and most changes affect few sections, so
    # equal sections are dropped first.
    before = {(v.section, v.key): v.value for v in list_values(_drop_equal_sections(old, new))}
    after = {(v.section, v.key): v.value for v in list_values(_drop_equal_sections(new, old))}
    locations = [*before, *(location for location in after if location not in before)]
    return tuple(
        Difference(section, key, before.get((section, key)), after.get((section, key)))
        for section, key in locations
        if before.get((section, key)) != after.get((section, key))
    )


def _drop_equal_sections(deployment: Deployment, other: Deployment) -> Deployment:
    """Return the deployment without the named sections that are equal in the other one."""
    return replace(
        deployment,
        models=_select_different(deployment.models, other.models),
        adapters=_select_different(deployment.adapters, other.adapters),
        upstreams=_select_different(deployment.upstreams, other.upstreams),
        services=_select_different(deployment.services, other.services),
    )


def _select_different(items: Mapping[str, Any], others: Mapping[str, Any]) -> dict[str, Any]:
    return {name: item for name, item in items.items() if others.get(name) != item}


def combine_differences(changes: tuple[tuple[Difference, ...], ...]) -> tuple[Difference, ...]:
    """Return the net differences of successive changes.

    A value that was changed and then changed back is left out.
    """
    combined: dict[tuple[str, str], Difference] = {}
    for difference in (d for differences in changes for d in differences):
        location = (difference.section, difference.key)
        first = combined.get(location, difference)
        combined[location] = Difference(*location, first.old, difference.new)
    return tuple(d for d in combined.values() if d.old != d.new)
