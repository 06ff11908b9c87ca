"""Encoding and decoding of the body of the operators' configuration calls."""

import json
import re
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from .config_change import ConfigChange
from .settings_text import SettingsText

__all__ = ["BadRequest", "decode_change", "encode_change"]

# Change ids, authors and file names are stored in the record and written to logs, so they must be
# short and printable.
LABEL_PATTERN = re.compile(r"[\x21-\x7e](?:[\x20-\x7e]{0,98}[\x21-\x7e])?")


@dataclass(frozen=True)
class BadRequest:
    """Error: the body is not a valid configuration call."""

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
    """Decode the body of a configuration call sent by ``peer``.

    ``based_on``, ``change_id`` and ``author`` are required only with ``for_apply``. The optional
    ``base_file`` and ``overlay_file`` are the file names used in error messages.
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
        if not LABEL_PATTERN.fullmatch(document[name]):
            message = f"the field {name!r} is not 1 to 100 printable ASCII characters"
            return Err(BadRequest("decode_change", peer, message))
    based_on = document.get("based_on", 0 if not for_apply else None)
    if type(based_on) is not int or based_on < 0:
        message = "the field 'based_on' is not a revision number"
        return Err(BadRequest("decode_change", peer, message))
    return Ok(
        ConfigChange(
            SettingsText(_get_file_name(document, "base"), document["base"]),
            SettingsText(_get_file_name(document, "overlay"), document["overlay"]),
            based_on,
            document["change_id"] if for_apply else "",
            document["author"] if for_apply else "",
        )
    )


def _get_file_name(document: dict[str, Any], name: str) -> str:
    given = document.get(f"{name}_file")
    return given if isinstance(given, str) and LABEL_PATTERN.fullmatch(given) else name
