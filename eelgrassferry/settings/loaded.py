"""A validated deployment with the origin of each value."""

from dataclasses import dataclass

from .deployment import Deployment

__all__ = ["DEFAULT_ORIGIN", "EffectiveValue", "LoadedDeployment"]

DEFAULT_ORIGIN = "default"


@dataclass(frozen=True)
class EffectiveValue:
    """One value in canonical form. ``file`` is ``default`` if no file defines the value."""

    section: str
    key: str
    value: str
    file: str


@dataclass(frozen=True)
class LoadedDeployment:
    """A validated deployment and all its values with their origins, in the order of sections."""

    deployment: Deployment
    values: tuple[EffectiveValue, ...]

    def origin_of(self, section: str, key: str) -> str | None:
        """Return the origin of a value, or None if the deployment does not have the key."""
        found = (v.file for v in self.values if (v.section, v.key) == (section, key))
        return next(found, None)
