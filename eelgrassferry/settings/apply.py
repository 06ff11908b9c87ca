"""Applying a configuration change with one conditional write."""

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

# With BACKOFF_S the attempts span at most 1.6 s, which leaves most of the 8 s in which a change
# must be in force for its distribution.
MAX_ATTEMPTS = 6
BACKOFF_S = 0.05

# At 2,700 changes a day this covers more than two hours of asking again.
MAX_RECENT = 256
# Bounds the record, whose object holds 1 MB: at most 256 changes of about 100 bytes and the
# differences of the last changes, about 100 bytes each.
MAX_DIFFERENCES = 1000

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True)
class _Held:
    version: int
    record: ConfigRecord | None


async def read_config(store: ObjectStore, site: str) -> Result[ConfigRecord | None, ObjectError]:
    """Return the stored configuration, or None where the site has none yet."""
    return (await _read(store, site)).map(lambda held: held.record)


async def apply_change(
    store: ObjectStore, site: str, change: ConfigChange, *, sleep: Sleep = asyncio.sleep
) -> Result[ConfigRecord, ApplyError]:
    """Check the change as a whole and write it if the stored revision is ``change.based_on``.

    Asking again with the same change id returns the record with the revision that the change got,
    whether or not a later change replaced it. A lost answer is settled by reading back: the write
    is conditional, so sending it again cannot apply it twice. Rate-limited calls are repeated with
    backoff. ``Unavailable.uncertain`` in the result means that the change may be in force; the
    operator asks again with the same change id.
    """
    checked = check_change(site, change)
    if isinstance(checked, Err):
        return checked
    maybe_written = False
    last: ObjectError = Unavailable("apply_config", site, "no attempt was made", False)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await sleep(BACKOFF_S * 2 ** (attempt - 1) * random.uniform(0.5, 1.0))
        outcome = await _attempt(store, site, change, checked.ok_value)
        match outcome:
            case Ok() | Err(ApplyConflict()):
                return outcome
            case Err(Unavailable() as error):
                maybe_written = maybe_written or error.uncertain
                last = replace(error, uncertain=maybe_written)
                if not maybe_written:
                    return Err(last)
            case Err(Conflict() | RateLimited() as error):
                last = error
            case Err(error):
                return Err(error)
    if maybe_written and not isinstance(last, Unavailable):
        detail = "the answer to the write was lost and reading back was refused"
        last = Unavailable("apply_config", last.peer, detail, uncertain=True)
    return Err(last)


async def _attempt(
    store: ObjectStore, site: str, change: ConfigChange, loaded: LoadedDeployment
) -> Result[ConfigRecord, ApplyConflict | ObjectError]:
    read = await _read(store, site)
    if isinstance(read, Err):
        return read
    held, digest = read.ok_value, digest_texts(change.base, change.overlay)
    current = held.record
    known = current.find_change(change.change_id) if current else None
    if current and known and known.digest != digest:
        reason = ConflictReason.CHANGE_ID_REUSED
        return Err(ApplyConflict("apply_config", site, reason, current.revision))
    if current and known:
        if known.revision == current.revision:
            return Ok(current)
        recent = tuple(c for c in current.recent if c.revision <= known.revision)
        return Ok(_record_of(change, known.revision, known.author, recent))
    revision = current.revision if current else 0
    if revision != change.based_on:
        return Err(_conflict(site, change.based_on, current))
    entry = _describe(change, digest, revision + 1, current, loaded)
    recent = _bound((*(current.recent if current else ()), entry))
    record = _record_of(change, revision + 1, change.author, recent)
    put = await store.put(config_key(site), encode_record(record), held.version)
    return put.map(lambda _: record)


async def _read(store: ObjectStore, site: str) -> Result[_Held, ObjectError]:
    got = await store.get(config_key(site))
    match got:
        case Err():
            return got
        case Ok(None):
            return Ok(_Held(0, None))
        case Ok(held):
            match decode_record(held.value):
                case Ok(record):
                    return Ok(_Held(held.version, record))
                case Err(detail):
                    return Err(Unavailable("read_config", held.key, detail, uncertain=False))


def _record_of(
    change: ConfigChange, revision: int, author: str, recent: tuple[AppliedChange, ...]
) -> ConfigRecord:
    return ConfigRecord(revision, change.base, change.overlay, change.change_id, author, recent)


def _describe(
    change: ConfigChange,
    digest: str,
    revision: int,
    current: ConfigRecord | None,
    loaded: LoadedDeployment,
) -> AppliedChange:
    """Return the change with its differences, where the current record can still be loaded."""
    entry = AppliedChange(change.change_id, revision, change.author, digest, (), complete=False)
    if current is None:
        return entry
    match load_deployment(current.base, current.overlay):
        case Ok(before):
            differences = diff_deployments(before.deployment, loaded.deployment)
            return replace(entry, differences=differences, complete=True)
        case Err():
            # The record was accepted by a version with other checks.
            return entry


def _bound(recent: tuple[AppliedChange, ...]) -> tuple[AppliedChange, ...]:
    """Drop the oldest changes, and the differences of those before the last ``MAX_DIFFERENCES``."""
    kept: list[AppliedChange] = []
    count = 0
    for change in reversed(recent[-MAX_RECENT:]):
        count += len(change.differences)
        if count > MAX_DIFFERENCES:
            change = replace(change, differences=(), complete=False)
        kept.append(change)
    return tuple(reversed(kept))


def _conflict(site: str, based_on: int, current: ConfigRecord | None) -> ApplyConflict:
    revision = current.revision if current else 0
    since = [c for c in (current.recent if current else ()) if c.revision > based_on]
    complete = len(since) == revision - based_on and all(c.complete for c in since)
    differences = combine_differences(tuple(c.differences for c in since))
    return ApplyConflict(
        "apply_config", site, ConflictReason.REVISION, revision, differences, complete
    )
