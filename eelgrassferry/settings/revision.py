"""The configuration object of a site, as stored under ``config/<site>``."""

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

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
    """One change that took effect, kept so that its operator can ask again.

    ``differences`` is what it changed; ``complete`` is False where they were too many to keep.
    """

    change_id: str
    revision: int
    author: str
    digest: str
    differences: tuple[Difference, ...] = ()
    complete: bool = True


@dataclass(frozen=True)
class ConfigRecord:
    """One accepted configuration. ``recent`` ends with the change that made this revision."""

    revision: int
    base: SettingsText
    overlay: SettingsText
    change_id: str
    author: str
    recent: tuple[AppliedChange, ...] = ()

    def find_change(self, change_id: str) -> AppliedChange | None:
        """Return a recent change by its id, or None."""
        return next((c for c in self.recent if c.change_id == change_id), None)


def config_key(site: str) -> str:
    """Return the key of a site's configuration object."""
    return f"config/{site}"


def digest_texts(base: SettingsText, overlay: SettingsText) -> str:
    """Return a digest that tells whether two changes have the same content."""
    data = json.dumps([base.text, overlay.text]).encode()
    return hashlib.sha256(data).hexdigest()[:16]


def encode_record(record: ConfigRecord) -> bytes:
    """Return the record as JSON."""
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
    """Return the record, or why the bytes are not one."""
    try:
        document = json.loads(data)
        return Ok(
            ConfigRecord(
                _checked(document["revision"], int),
                _decode_text(document["base"]),
                _decode_text(document["overlay"]),
                _checked(document["change_id"], str),
                _checked(document["author"], str),
                tuple(_decode_change(change) for change in document["recent"]),
            )
        )
    except (ValueError, KeyError, TypeError) as exc:
        return Err(f"not a configuration record: {type(exc).__name__}: {exc}")


def _decode_text(document: dict[str, Any]) -> SettingsText:
    return SettingsText(_checked(document["file"], str), _checked(document["text"], str))


def _decode_change(document: dict[str, Any]) -> AppliedChange:
    return AppliedChange(
        _checked(document["change_id"], str),
        _checked(document["revision"], int),
        _checked(document["author"], str),
        _checked(document["digest"], str),
        tuple(Difference(*fields) for fields in document["differences"]),
        _checked(document["complete"], bool),
    )


def _checked(value: Any, expected: type) -> Any:
    if type(value) is not expected:
        raise TypeError(f"expected {expected.__name__}, got {type(value).__name__}")
    return value
