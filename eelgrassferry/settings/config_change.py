"""Configuration changes proposed by an operator, and the reasons for refusing them."""

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
    """A complete new configuration, proposed as a change of revision ``based_on``.

    ``based_on`` is 0 for the first configuration of a site. ``change_id`` is chosen by the
    operator's client, which reuses it when it repeats the call.
    """

    base: SettingsText
    overlay: SettingsText
    based_on: int
    change_id: str
    author: str


class ConflictReason(Enum):
    """Reason why a change conflicts with the stored configuration."""

    REVISION = "conflict"
    CHANGE_ID_REUSED = "change_id_reused"


@dataclass(frozen=True)
class ApplyConflict:
    """Error: the change was not applied because it conflicts with the stored configuration.

    ``revision`` is the revision in force. ``differences`` lists the values changed since revision
    ``based_on``; ``complete`` is False if the differences of some of these changes are no longer
    stored.

    A change id that was already used for other content is refused. Confirming the earlier change
    would suggest to the operator that this one is in force.
    """

    step: str
    peer: str
    reason: ConflictReason
    revision: int
    differences: tuple[Difference, ...] = ()
    complete: bool = True


@dataclass(frozen=True)
class SettingErrors:
    """Error: the change was not applied because its settings are invalid."""

    step: str
    peer: str
    errors: tuple[SettingError, ...]


def check_change(site: str, change: ConfigChange) -> Result[LoadedDeployment, SettingErrors]:
    """Load and check the deployment of a change, and check that it belongs to the site."""
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
