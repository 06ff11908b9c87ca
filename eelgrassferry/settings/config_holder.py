"""The configuration in force at a node."""

from result import Err, Ok, Result

from .config_change import SettingErrors
from .load import load_deployment
from .loaded import LoadedDeployment
from .revision import ConfigRecord

__all__ = ["ConfigHolder"]


class ConfigHolder:
    """The configuration in force: the record with the highest revision, and its deployment.

    Records come from the object API, from peers and from changes applied at this node. They may
    arrive late and out of order, so only their revisions are compared; the revision in force never
    decreases.

    >>> holder = ConfigHolder()
    >>> holder.revision
    0
    """

    def __init__(self) -> None:
        self._record: ConfigRecord | None = None
        self._loaded: LoadedDeployment | None = None

    @property
    def revision(self) -> int:
        """The revision in force, or 0 if there is none."""
        return self._record.revision if self._record else 0

    @property
    def record(self) -> ConfigRecord | None:
        """The record in force, which is sent to peers, or None if there is none."""
        return self._record

    @property
    def loaded(self) -> LoadedDeployment | None:
        """The deployment in force with the origins of its values, or None if there is none."""
        return self._loaded

    def apply_if_newer(self, record: ConfigRecord) -> Result[bool, SettingErrors]:
        """Put a record into force if its revision is higher than the current one.

        Return whether the configuration changed, or the errors if the record can't be loaded,
        which happens if it was written by a program version with different checks. In that case
        the current record stays in force.
        """
        if record.revision <= self.revision:
            return Ok(False)
        match load_deployment(record.base, record.overlay):
            case Err(errors):
                return Err(SettingErrors("offer_config", record.author, errors))
            case Ok(loaded):
                self._record, self._loaded = record, loaded
                return Ok(True)
