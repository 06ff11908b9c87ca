"""The body of the operators' configuration calls."""

import json
import re
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from .config_change import ConfigChange
from .settings_text import SettingsText

__all__ = ["BadRequest", "decode_change", "encode_change"]

# Kept in the record and shown in logs, so they are short and printable.
LABEL = re.compile(r"[\x21-\x7e](?:[\x20-\x7e]{0,98}[\x21-\x7e])?")


@dataclass(frozen=True)
class BadRequest:
    """A body that is not a configuration call."""

    step: str
    peer: str
    message: str


def encode_change(change: ConfigChange) -> bytes:
    """Return the JSON body of ``POST /config/check``, ``diff`` and ``apply``."""
    document = {
        "base": change.base.text,
        "overlay": change.overlay.text,
        "base_file": change.base.file,
        "overlay_file": change.overlay.file,
        "based_on": change.based_on,
        "change_id": change.change_id,
        "author": change.author,
    }
    return json.dumps(document).encode()


def decode_change(body: bytes, peer: str, *, for_apply: bool) -> Result[ConfigChange, BadRequest]:
    """Return the change. Only ``apply`` needs ``based_on``, ``change_id`` and ``author``.

    ``base_file`` and ``overlay_file`` name the texts in error messages and are optional.
    """
    try:
        document: Any = json.loads(body)
    except ValueError:
        return Err(BadRequest("decode_change", peer, "the body is not JSON"))
    if not isinstance(document, dict):
        return Err(BadRequest("decode_change", peer, "the body is not a JSON object"))
    names = ["base", "overlay", "change_id", "author"] if for_apply else ["base", "overlay"]
    for name in names:
        if not isinstance(document.get(name), str):
            return Err(BadRequest("decode_change", peer, f"the field {name!r} is not a string"))
    for name in names[2:]:
        if not LABEL.fullmatch(document[name]):
            message = f"the field {name!r} is not 1 to 100 printable ASCII characters"
            return Err(BadRequest("decode_change", peer, message))
    based_on = document.get("based_on", 0 if not for_apply else None)
    if type(based_on) is not int or based_on < 0:
        message = "the field 'based_on' is not a revision number"
        return Err(BadRequest("decode_change", peer, message))
    return Ok(
        ConfigChange(
            SettingsText(_file_of(document, "base"), document["base"]),
            SettingsText(_file_of(document, "overlay"), document["overlay"]),
            based_on,
            document["change_id"] if for_apply else "",
            document["author"] if for_apply else "",
        )
    )


def _file_of(document: dict[str, Any], name: str) -> str:
    given = document.get(f"{name}_file")
    return given if isinstance(given, str) and LABEL.fullmatch(given) else name
