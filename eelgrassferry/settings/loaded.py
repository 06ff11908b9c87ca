"""A checked deployment together with where each value came from."""

from dataclasses import dataclass

from .deployment import Deployment

__all__ = ["DEFAULT_ORIGIN", "EffectiveValue", "LoadedDeployment"]

DEFAULT_ORIGIN = "default"


@dataclass(frozen=True)
class EffectiveValue:
    """One value in canonical form. ``file`` is ``default`` where no file gives the value."""

    section: str
    key: str
    value: str
    file: str


@dataclass(frozen=True)
class LoadedDeployment:
    """The deployment and the origin of every value, section by section."""

    deployment: Deployment
    values: tuple[EffectiveValue, ...]

    def origin_of(self, section: str, key: str) -> str | None:
        """Return the file a value came from, or None for a key the deployment does not have."""
        found = (v.file for v in self.values if (v.section, v.key) == (section, key))
        return next(found, None)
