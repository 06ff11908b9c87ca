"""The configuration record of a site, stored as the object ``config/<site>``."""

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..documents import MALFORMED
from .difference import Difference
from .settings_text import SettingsText

__all__ = [
    "AppliedChange",
    "ConfigRecord",
    "config_key",
    "decode_record",
    "digest_texts",
    "encode_record",
]


@dataclass(frozen=True)
class AppliedChange:
    """Entry in the history of applied changes, used to recognize repeated calls.

    ``differences`` lists the values that the change modified; ``complete`` is False if they are not
    stored, for example because there were too many. ``digest`` identifies the content.
    """

    change_id: str
    revision: int
    author: str
    digest: str
    differences: tuple[Difference, ...] = ()
    complete: bool = True


@dataclass(frozen=True)
class ConfigRecord:
    """One accepted configuration. The last entry of ``recent`` is the change that created it."""

    revision: int
    base: SettingsText
    overlay: SettingsText
    change_id: str
    author: str
    recent: tuple[AppliedChange, ...] = ()

    def find_change(self, change_id: str) -> AppliedChange | None:
        """Return the recent change with this id, or None if there is none."""
        return next((c for c in self.recent if c.change_id == change_id), None)


def config_key(site: str) -> str:
    """Return the object key of a site's configuration record."""
    return f"config/{site}"


def digest_texts(base: SettingsText, overlay: SettingsText) -> str:
    """Return a digest of the content of a change, which is equal for equal texts."""
    data = json.dumps([base.text, overlay.text]).encode()
    return hashlib.sha256(data).hexdigest()[:16]


def encode_record(record: ConfigRecord) -> bytes:
    """Encode a record as JSON."""
    document = {
        "revision": record.revision,
        "base": {"file": record.base.file, "text": record.base.text},
        "overlay": {"file": record.overlay.file, "text": record.overlay.text},
        "change_id": record.change_id,
        "author": record.author,
        "recent": [
            {
                "change_id": change.change_id,
                "revision": change.revision,
                "author": change.author,
                "digest": change.digest,
                "differences": [[d.section, d.key, d.old, d.new] for d in change.differences],
                "complete": change.complete,
            }
            for change in record.recent
        ],
    }
    return json.dumps(document, separators=(",", ":"), ensure_ascii=False).encode()


def decode_record(data: bytes) -> Result[ConfigRecord, str]:
    """Decode a record from JSON; return an error message if it is invalid."""
    try:
        document = json.loads(data)
        return Ok(
            ConfigRecord(
                _check_type(document["revision"], int),
                _decode_text(document["base"]),
                _decode_text(document["overlay"]),
                _check_type(document["change_id"], str),
                _check_type(document["author"], str),
                tuple(_decode_change(change) for change in document["recent"]),
            )
        )
    except MALFORMED as exc:
        return Err(f"not a configuration record: {type(exc).__name__}: {exc}")


def _decode_text(document: dict[str, Any]) -> SettingsText:
    return SettingsText(_check_type(document["file"], str), _check_type(document["text"], str))


def _decode_change(document: dict[str, Any]) -> AppliedChange:
    return AppliedChange(
        _check_type(document["change_id"], str),
        _check_type(document["revision"], int),
        _check_type(document["author"], str),
        _check_type(document["digest"], str),
        tuple(Difference(*fields) for fields in document["differences"]),
        _check_type(document["complete"], bool),
    )


def _check_type(value: Any, expected: type) -> Any:
    """Return the value, or raise TypeError; a bool is not accepted as an int."""
    if type(value) is not expected:
        raise TypeError(f"expected {expected.__name__}, got {type(value).__name__}")
    return value
