"""Findings of a check, and the entries of a configuration that they belong to."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Entry", "EntryKind", "Finding", "Severity"]


class Severity(Enum):
    """How a finding affects the configuration.

    With an ``ERROR``, some requests cannot be served as the configuration says. A ``WARNING`` marks
    a value without effect, which is probably a mistake.
    """

    ERROR = "error"
    WARNING = "warning"


class EntryKind(Enum):
    """The kinds of entries of a configuration."""

    FLEET = "fleet"
    ROUTE = "route"
    SERVICE = "service"
    MODEL = "model"
    TENANT = "tenant"
    LIMITS = "limits"


@dataclass(frozen=True)
class Entry:
    """An entry of a configuration, by its kind and name.

    The name of a model is qualified with its service, because two services may have models of one
    name. ``FLEET`` and ``LIMITS`` have no name.

    >>> str(Entry(EntryKind.MODEL, "m1", "engines"))
    'model engines/m1'
    """

    kind: EntryKind
    name: str = ""
    service: str = ""

    def __str__(self) -> str:
        qualified = f"{self.service}/{self.name}" if self.service else self.name
        return f"{self.kind.value} {qualified}".rstrip()


@dataclass(frozen=True)
class Finding:
    """One finding of a check.

    ``code`` names the kind of finding for scripts. ``field`` is the field of the entry's data class
    that the finding is about, "" for the whole entry.
    """

    severity: Severity
    code: str
    entry: Entry
    field: str
    message: str
