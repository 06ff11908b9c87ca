"""An error in a settings file."""

from dataclasses import dataclass

__all__ = ["SettingError"]


@dataclass(frozen=True)
class SettingError:
    """An error in a settings file and its location.

    ``section`` and ``key`` are empty if the error does not belong to one. ``step`` is ``read`` (the
    text is not valid INI), ``parse`` (a section, key or value is not valid by itself) or ``check``
    (the values contradict each other).

    >>> str(SettingError("base.ini", "model m1", "memory", "parse", "'12' has no unit"))
    "base.ini: [model m1] memory: '12' has no unit"
    """

    file: str
    section: str
    key: str
    step: str
    message: str

    def __str__(self) -> str:
        section = f" [{self.section}]" if self.section else ""
        key = f" {self.key}" if self.key else ""
        return f"{self.file}:{section}{key}{':' if section or key else ''} {self.message}"
