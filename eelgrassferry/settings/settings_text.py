"""The text of one settings file."""

from dataclasses import dataclass

__all__ = ["SettingsText"]


@dataclass(frozen=True)
class SettingsText:
    """A file's name, used in error messages and as the origin of values, and its INI text."""

    file: str
    text: str
