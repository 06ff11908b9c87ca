"""Reading of the settings files given on the command line."""

from pathlib import Path

from result import Err, Ok, Result

from ..settings import SettingError, SettingsText

__all__ = ["read_settings_file", "read_settings_files"]


def read_settings_file(path: Path) -> Result[SettingsText, tuple[SettingError, ...]]:
    """Read a file. Error messages show its path as it was given on the command line."""
    try:
        return Ok(SettingsText(str(path), path.read_text(encoding="utf-8")))
    except OSError as exc:
        message = f"cannot be read: {exc.strerror or exc}"
    except UnicodeDecodeError:
        message = "is not UTF-8 text"
    return Err((SettingError(str(path), "", "", "read", message),))


def read_settings_files(
    *paths: Path,
) -> Result[tuple[SettingsText, ...], tuple[SettingError, ...]]:
    """Read several files, and return their texts or the errors of all unreadable files."""
    read = [read_settings_file(path) for path in paths]
    errors = [error for outcome in read if isinstance(outcome, Err) for error in outcome.err_value]
    if errors:
        return Err(tuple(errors))
    return Ok(tuple(outcome.unwrap() for outcome in read))
