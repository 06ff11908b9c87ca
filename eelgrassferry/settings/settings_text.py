"""The text of one settings file."""

from dataclasses import dataclass

__all__ = ["SettingsText"]


@dataclass(frozen=True)
class SettingsText:
    """INI text and its file name, which is used in error messages and as the origin of values."""

    file: str
    text: str
