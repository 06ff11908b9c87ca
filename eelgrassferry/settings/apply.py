"""Application of a configuration change by one conditional write to the object store."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from ..objects import Conflict, ObjectError, ObjectStore, RateLimited, Unavailable
from .config_change import (
    ApplyConflict,
    ConfigChange,
    ConflictReason,
    SettingErrors,
    check_change,
)
from .difference import combine_differences, diff_deployments
from .load import load_deployment
from .loaded import LoadedDeployment
from .revision import (
    AppliedChange,
    ConfigRecord,
    config_key,
    decode_record,
    digest_texts,
    encode_record,
)

__all__ = ["ApplyError", "apply_change", "read_config"]

ApplyError = ApplyConflict | SettingErrors | ObjectError

# A change must be in force within 8 s. With BACKOFF_S, all attempts take at most 1.6 s, which
# leaves most of that time for distributing the change.
MAX_ATTEMPTS = 6
BACKOFF_S = 0.05

# A repeated change id is recognized while its change is among the recent ones. At 2,700 changes a
# day, that is for more than two hours.
MAX_RECENT_CHANGES = 256
# Limits the size of the record, because an object holds at most 1 MB. The record contains at most
# 256 changes of about 100 bytes each, and the differences of the last ones, about 100 bytes each.
MAX_STORED_DIFFERENCES = 1000

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True)
class _StoredConfig:
    """A stored record and its object version; version 0 and no record if none is stored."""

    version: int
    record: ConfigRecord | None


async def read_config(store: ObjectStore, site: str) -> Result[ConfigRecord | None, ObjectError]:
    """Return the stored configuration, or None if the site does not have one yet."""
    return (await _read_stored(store, site)).map(lambda stored: stored.record)


async def apply_change(
    store: ObjectStore, site: str, change: ConfigChange, *, sleep: Sleep = asyncio.sleep
) -> Result[ConfigRecord, ApplyError]:
    """Validate the change and write it if the stored revision is ``change.based_on``.

    Return the record of the change, with the revision assigned to it. The call is idempotent: when
    it is repeated with the same change id, it returns the record of the original application, even
    if a later change has replaced it.

    If the answer to the write is lost, the stored record is read again to find out whether the
    write took effect. Because the write is conditional, sending it again cannot apply the change
    twice. Calls that are rate limited are repeated with exponential backoff.

    An error with ``Unavailable.uncertain`` set means that the change may be in force. The operator
    should then repeat the call with the same change id.
    """
    checked = check_change(site, change)
    if isinstance(checked, Err):
        return checked
    maybe_written = False
    last_error: ObjectError = Unavailable("apply_config", site, "no attempt was made", False)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await sleep(BACKOFF_S * 2 ** (attempt - 1) * random.uniform(0.5, 1.0))
        outcome = await _try_apply(store, site, change, checked.ok_value)
        match outcome:
            case Ok() | Err(ApplyConflict()):
                return outcome
            case Err(Unavailable() as error):
                maybe_written = maybe_written or error.uncertain
                last_error = replace(error, uncertain=maybe_written)
                if not maybe_written:
                    return Err(last_error)
            case Err(Conflict() | RateLimited() as error):
                last_error = error
            case Err(error):
                return Err(error)
    if maybe_written and not isinstance(last_error, Unavailable):
        detail = "the answer to the write was lost and reading back was refused"
        last_error = Unavailable("apply_config", last_error.peer, detail, uncertain=True)
    return Err(last_error)


async def _try_apply(
    store: ObjectStore, site: str, change: ConfigChange, loaded: LoadedDeployment
) -> Result[ConfigRecord, ApplyConflict | ObjectError]:
    read = await _read_stored(store, site)
    if isinstance(read, Err):
        return read
    stored, digest = read.ok_value, digest_texts(change.base, change.overlay)
    current = stored.record
    earlier = current.find_change(change.change_id) if current else None
    if current and earlier and earlier.digest != digest:
        reason = ConflictReason.CHANGE_ID_REUSED
        return Err(ApplyConflict("apply_config", site, reason, current.revision))
    if current and earlier:
        if earlier.revision == current.revision:
            return Ok(current)
        recent = tuple(c for c in current.recent if c.revision <= earlier.revision)
        return Ok(_make_record(change, earlier.revision, earlier.author, recent))
    revision = current.revision if current else 0
    if revision != change.based_on:
        return Err(_make_conflict(site, change.based_on, current))
    entry = _make_entry(change, digest, revision + 1, current, loaded)
    recent = _truncate_history((*(current.recent if current else ()), entry))
    record = _make_record(change, revision + 1, change.author, recent)
    outcome = await store.put(config_key(site), encode_record(record), stored.version)
    return outcome.map(lambda _: record)


async def _read_stored(store: ObjectStore, site: str) -> Result[_StoredConfig, ObjectError]:
    outcome = await store.get(config_key(site))
    match outcome:
        case Err():
            return outcome
        case Ok(None):
            return Ok(_StoredConfig(0, None))
        case Ok(stored):
            match decode_record(stored.value):
                case Ok(record):
                    return Ok(_StoredConfig(stored.version, record))
                case Err(detail):
                    return Err(Unavailable("read_config", stored.key, detail, uncertain=False))


def _make_record(
    change: ConfigChange, revision: int, author: str, recent: tuple[AppliedChange, ...]
) -> ConfigRecord:
    return ConfigRecord(revision, change.base, change.overlay, change.change_id, author, recent)


def _make_entry(
    change: ConfigChange,
    digest: str,
    revision: int,
    current: ConfigRecord | None,
    loaded: LoadedDeployment,
) -> AppliedChange:
    """Return the history entry of a change, with its differences from the current record.

    The entry is marked as incomplete if there is no current record or if it can't be loaded.
    """
    entry = AppliedChange(change.change_id, revision, change.author, digest, (), complete=False)
    if current is None:
        return entry
    match load_deployment(current.base, current.overlay):
        case Ok(before):
            differences = diff_deployments(before.deployment, loaded.deployment)
            return replace(entry, differences=differences, complete=True)
        case Err():
            # The record was accepted by a program version with different checks.
            return entry


def _truncate_history(recent: tuple[AppliedChange, ...]) -> tuple[AppliedChange, ...]:
    """Return the last ``MAX_RECENT_CHANGES`` changes with a limited number of differences.

    The last changes keep their differences, up to ``MAX_STORED_DIFFERENCES`` in total. The older
    ones lose them and are marked as incomplete.
    """
    retained: list[AppliedChange] = []
    count = 0
    for change in reversed(recent[-MAX_RECENT_CHANGES:]):
        count += len(change.differences)
        if count > MAX_STORED_DIFFERENCES:
            change = replace(change, differences=(), complete=False)
        retained.append(change)
    return tuple(reversed(retained))


def _make_conflict(site: str, based_on: int, current: ConfigRecord | None) -> ApplyConflict:
    """Return a conflict that lists the differences made since revision ``based_on``."""
    revision = current.revision if current else 0
    since = [c for c in (current.recent if current else ()) if c.revision > based_on]
    complete = len(since) == revision - based_on and all(c.complete for c in since)
    differences = combine_differences(tuple(c.differences for c in since))
    return ApplyConflict(
        "apply_config", site, ConflictReason.REVISION, revision, differences, complete
    )
