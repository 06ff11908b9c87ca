"""The check of a whole configuration."""

from ..fleet import FleetConfig
from .contradictions import find_contradictions
from .finding import Entry, EntryKind, Finding, Severity
from .unreachable import find_unreachable

__all__ = ["check_fleet"]


def check_fleet(config: FleetConfig, in_force: FleetConfig | None = None) -> tuple[Finding, ...]:
    """Return what is wrong with a configuration that can be decoded.

    ``in_force`` is the configuration that it would replace. Nodes ignore a version that is not
    greater than the one in force.
    """
    findings = [*find_unreachable(config), *find_contradictions(config)]
    if in_force is not None and config.version <= in_force.version:
        message = (
            f"version {config.version} is not greater than version {in_force.version} in force"
        )
        findings.insert(
            0,
            Finding(Severity.ERROR, "old_version", Entry(EntryKind.FLEET), "version", message),
        )
    return tuple(findings)
