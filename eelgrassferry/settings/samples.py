"""The sample deployments shipped with the program."""

from importlib import resources

from .settings_text import SettingsText

__all__ = ["read_sample"]


def read_sample(file: str) -> SettingsText:
    """Read a file of ``deployments/`` from the source tree or from the single-file binary.

    Raises ``FileNotFoundError`` if the file does not exist.

    >>> read_sample("base.ini").file
    'base.ini'
    """
    found = resources.files(__package__.partition(".")[0]).parent / "deployments" / file
    return SettingsText(file, found.read_text(encoding="utf-8"))
