"""Differences between two deployments."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from .deployment import Deployment
from .load import list_values

__all__ = ["Difference", "combine_differences", "diff_deployments"]


@dataclass(frozen=True)
class Difference:
    """One value that differs. ``old`` or ``new`` is None where that side has no such value.

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

    Values are compared by meaning: ``12 GiB`` and ``12288 MiB`` are the same, and a default
    written out is the same as the default.
    """
    # Most changes touch few sections, and writing out all values takes as long as loading them.
    before = {(v.section, v.key): v.value for v in list_values(_drop_equal(old, new))}
    after = {(v.section, v.key): v.value for v in list_values(_drop_equal(new, old))}
    places = [*before, *(place for place in after if place not in before)]
    return tuple(
        Difference(section, key, before.get((section, key)), after.get((section, key)))
        for section, key in places
        if before.get((section, key)) != after.get((section, key))
    )


def _drop_equal(deployment: Deployment, other: Deployment) -> Deployment:
    """Return the deployment without the named sections that the other has just the same."""
    return replace(
        deployment,
        models=_only_in(deployment.models, other.models),
        adapters=_only_in(deployment.adapters, other.adapters),
        upstreams=_only_in(deployment.upstreams, other.upstreams),
        services=_only_in(deployment.services, other.services),
    )


def _only_in(items: Mapping[str, Any], others: Mapping[str, Any]) -> dict[str, Any]:
    return {name: item for name, item in items.items() if others.get(name) != item}


def combine_differences(steps: tuple[tuple[Difference, ...], ...]) -> tuple[Difference, ...]:
    """Return what a series of changes made together; a value changed back is left out."""
    combined: dict[tuple[str, str], Difference] = {}
    for difference in (d for step in steps for d in step):
        place = (difference.section, difference.key)
        first = combined.get(place, difference)
        combined[place] = Difference(*place, first.old, difference.new)
    return tuple(d for d in combined.values() if d.old != d.new)
