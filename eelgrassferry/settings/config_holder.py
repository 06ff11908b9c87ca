"""The newest configuration a node knows."""

from result import Err, Ok, Result

from .config_change import SettingErrors
from .load import load_deployment
from .loaded import LoadedDeployment
from .revision import ConfigRecord

__all__ = ["ConfigHolder"]


class ConfigHolder:
    """Holds the newest accepted record and its deployment. Revisions never go back.

    Records arrive from the object API, from peers and from the node's own ``apply``, late and out
    of order, so ``offer`` compares revisions and nothing else.

    >>> holder = ConfigHolder()
    >>> holder.revision
    0
    """

    def __init__(self) -> None:
        self._record: ConfigRecord | None = None
        self._loaded: LoadedDeployment | None = None

    @property
    def revision(self) -> int:
        """The revision in force, or 0 where there is none."""
        return self._record.revision if self._record else 0

    @property
    def record(self) -> ConfigRecord | None:
        """The record in force, to pass on to peers."""
        return self._record

    @property
    def loaded(self) -> LoadedDeployment | None:
        """The deployment in force."""
        return self._loaded

    def offer(self, record: ConfigRecord) -> Result[bool, SettingErrors]:
        """Take a record if its revision is greater; return whether the configuration changed.

        An error means that the record does not load, which happens where it was written by a
        version with other checks; the record in force stays.
        """
        if record.revision <= self.revision:
            return Ok(False)
        match load_deployment(record.base, record.overlay):
            case Err(errors):
                return Err(SettingErrors("offer_config", record.author, errors))
            case Ok(loaded):
                self._record, self._loaded = record, loaded
                return Ok(True)
