"""Check of a configuration file of the platform before an operator writes it to the store."""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..documents import MALFORMED, Path, map_lines, parse_json
from ..fleet import FleetConfig
from ..fleet_check import (
    Entry,
    EntryKind,
    Finding,
    FleetDifference,
    Severity,
    check_fleet,
    diff_fleets,
)
from .config_codec import ENTRY_DECODERS, decode_config

__all__ = ["ConfigReport", "LocatedFinding", "check_config"]

# Keys of the file whose names differ from the fields of the data classes.
KEYS = {
    "batch_slots": "slots",
    "cache_tokens": "kv_capacity_tokens",
    "cold_loads_per_s": "loads_per_s",
    "gap_target_s": "gap_aim_ms",
    "header_timeout_s": "header_timeout_ms",
    "idle_timeout_s": "idle_timeout_ms",
    "keys": "api_keys",
    "target_latency_s": "target_latency_ms",
    "timeout_s": "timeout_ms",
}


@dataclass(frozen=True)
class LocatedFinding:
    """A finding with the line and key of the file that it is about; ``key`` may be empty."""

    line: int
    key: str
    finding: Finding


@dataclass(frozen=True)
class ConfigReport:
    """The result of a check; ``differences`` is empty without a configuration in force."""

    version: int
    findings: tuple[LocatedFinding, ...] = ()
    differences: tuple[FleetDifference, ...] = ()


def check_config(
    data: bytes, in_force: bytes | None = None
) -> Result[ConfigReport, tuple[LocatedFinding, ...]]:
    """Check the text of a configuration, and compare it with the one in force.

    ``data`` is the configuration itself or the object of the store that contains it as its "spec".
    The errors are those with which the nodes would not use it.
    """
    try:
        # Unlike the nodes, which read what they can, the check accepts only proper JSON.
        document = json.loads(data)
    except (ValueError, RecursionError) as exc:
        line = exc.lineno if isinstance(exc, json.JSONDecodeError) else 1
        return Err((_located_error(line, "", Entry(EntryKind.FLEET), f"is not JSON: {exc}"),))
    root, spec = _find_spec(document)
    lines = map_lines(data.decode("utf-8", "replace"))
    decoded = decode_config(json.dumps(spec).encode())
    if isinstance(decoded, Err):
        errors = tuple(_find_undecodable(spec, root, lines))
        detail = decoded.err_value.detail
        return Err(errors or (_located_error(1, "", Entry(EntryKind.FLEET), detail),))
    config = decoded.ok_value
    current = _decode_in_force(in_force)
    findings = tuple(
        _locate(finding, spec, root, lines) for finding in check_fleet(config, current)
    )
    differences = () if current is None else diff_fleets(current, config)
    return Ok(ConfigReport(config.version, findings, differences))


def _decode_in_force(data: bytes | None) -> FleetConfig | None:
    """Return the configuration in force, None if there is none that nodes can use."""
    if data is None:
        return None
    try:
        document = parse_json(data)
    except ValueError:
        return None
    _, spec = _find_spec(document)
    return decode_config(json.dumps(spec).encode()).ok()


def _find_spec(document: Any) -> tuple[Path, Any]:
    """Return the configuration in a document, which may be an object of the store, and its path."""
    if isinstance(document, dict) and "spec" in document:
        return ("spec",), document["spec"]
    return (), document


def _find_undecodable(spec: Any, root: Path, lines: dict[Path, int]) -> Iterator[LocatedFinding]:
    """Yield an error for each part of a configuration that cannot be decoded by itself."""
    if not isinstance(spec, dict):
        yield _located_error(1, "", Entry(EntryKind.FLEET), "is not an object")
        return
    for section, (kind, decode) in ENTRY_DECODERS.items():
        items = spec.get(section, [])
        if not isinstance(items, list):
            line = lines.get((*root, section), 1)
            yield _located_error(line, section, Entry(EntryKind.FLEET), "is not a list")
            continue
        for index, item in enumerate(items):
            detail = _decoding_error(decode, item)
            if detail:
                name = item.get("name", "") if isinstance(item, dict) else ""
                line = lines.get((*root, section, index), 1)
                yield _located_error(line, section, Entry(EntryKind(kind), str(name)), detail)


def _decoding_error(decode: Callable[[Any], object], item: Any) -> str:
    """Return why an entry cannot be decoded, "" if it can be."""
    try:
        decode(item)
    except KeyError as exc:
        return f"{exc.args[0]!r} is missing"
    except MALFORMED as exc:
        return str(exc)
    return ""


def _located_error(line: int, key: str, entry: Entry, message: str) -> LocatedFinding:
    return LocatedFinding(line, key, Finding(Severity.ERROR, "undecodable", entry, "", message))


def _locate(
    finding: Finding, spec: dict[str, Any], root: Path, lines: dict[Path, int]
) -> LocatedFinding:
    """Return a finding with the line of its field, or of its entry if the field is left out."""
    path = _path_of(finding.entry, spec)
    key = KEYS.get(finding.field, finding.field)
    if finding.entry.kind is EntryKind.SERVICE and key:
        path = (*path, "engine")
    if key == "backends" and (*root, *path, key) not in lines:
        key = "service"
    candidates = ((*root, *path, key), (*root, *path), root)
    return LocatedFinding(next(lines[at] for at in candidates if at in lines), key, finding)


def _path_of(entry: Entry, spec: dict[str, Any]) -> Path:
    match entry.kind:
        case EntryKind.FLEET:
            return ()
        case EntryKind.LIMITS:
            return ("limits",)
        case EntryKind.MODEL:
            service = _index_of(entry.service, spec["services"])
            models = spec["services"][service]["engine"]["models"]
            index = _index_of(entry.name, models)
            return ("services", service, "engine", "models", index)
    section = f"{entry.kind.value}s"
    return (section, _index_of(entry.name, spec[section]))


def _index_of(name: str, items: list[dict[str, Any]]) -> int:
    """Return the index of the last item of a name, which is the one that nodes use."""
    return max(index for index, item in enumerate(items) if item["name"] == name)
