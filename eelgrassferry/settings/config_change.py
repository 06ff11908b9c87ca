"""A change that an operator proposes, and the reasons it can be refused."""

from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from .difference import Difference
from .load import load_deployment
from .loaded import LoadedDeployment
from .setting_error import SettingError
from .settings_text import SettingsText

__all__ = ["ApplyConflict", "ConfigChange", "ConflictReason", "SettingErrors", "check_change"]


@dataclass(frozen=True)
class ConfigChange:
    """The whole configuration an operator wants, based on revision ``based_on`` (0: none yet).

    ``change_id`` is chosen by the operator's client and stays the same when it asks again.
    """

    base: SettingsText
    overlay: SettingsText
    based_on: int
    change_id: str
    author: str


class ConflictReason(Enum):
    """Why a change conflicts with the stored configuration."""

    REVISION = "conflict"
    CHANGE_ID_REUSED = "change_id_reused"


@dataclass(frozen=True)
class ApplyConflict:
    """The change was not applied. ``revision`` is the one in force.

    ``differences`` is what the changes since ``based_on`` made; ``complete`` is False where some
    of them are no longer known. A change id that was used for other content is refused, because
    confirming the earlier change would let the operator believe that this one is in force.
    """

    step: str
    peer: str
    reason: ConflictReason
    revision: int
    differences: tuple[Difference, ...] = ()
    complete: bool = True


@dataclass(frozen=True)
class SettingErrors:
    """The change was not applied because its settings are invalid."""

    step: str
    peer: str
    errors: tuple[SettingError, ...]


def check_change(site: str, change: ConfigChange) -> Result[LoadedDeployment, SettingErrors]:
    """Check the whole merged deployment, and that it is meant for this site."""
    match load_deployment(change.base, change.overlay):
        case Err(errors):
            return Err(SettingErrors("check_config", site, errors))
        case Ok(loaded):
            name = loaded.deployment.site.name
            if name == site:
                return Ok(loaded)
            file = loaded.origin_of("site", "name") or change.overlay.file
            message = f"the settings are for site {name!r}, and this is site {site!r}"
            error = SettingError(file, "site", "name", "check", message)
            return Err(SettingErrors("check_config", site, (error,)))
