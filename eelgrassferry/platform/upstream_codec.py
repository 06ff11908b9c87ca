"""Decoders of upstreams' registry entries and engines' status reports."""

import json
from typing import Any

from result import Err, Ok, Result

from ..fleet import UpstreamEntry
from ..ordering import EngineReport
from ..routing import UpstreamState
from .codec_error import CodecError

__all__ = ["decode_entry", "decode_report"]

STATES = {"ready": UpstreamState.LIVE, "draining": UpstreamState.LEAVING}


def decode_entry(instance: str, value: bytes) -> Result[UpstreamEntry, CodecError]:
    """Decode one registry entry.

    Other clients of the store write entries too, so an entry may have any content.
    """
    try:
        spec = json.loads(value)
        at_hand = spec.get("at_hand") or {}
        leaving_ms = spec.get("remaining_ms")
        started_ms = spec.get("born", 0)
        service, address = spec["service"], spec["address"]
        if type(service) is not str or type(address) is not str or type(started_ms) is not int:
            return Err(
                CodecError("decode_entry", instance, "service, address or born has the wrong type")
            )
        host, _, port = address.rpartition(":")
        if not host or not 0 < int(port) < 65536:
            return Err(
                CodecError("decode_entry", instance, f"address {address!r} is not HOST:PORT")
            )
        return Ok(
            UpstreamEntry(
                instance=instance,
                service=service,
                address=address,
                domain=_require_str(spec["zone"]),
                slots=_require_number(spec["slots"]),
                state=STATES[spec["state"]],
                # "born" is the start time of the process in Unix milliseconds.
                started_ms=started_ms,
                # "sequence" is not decoded: in an entry it counts heartbeats; only in a report
                # does it count accepted orders.
                leaving_in_s=None if leaving_ms is None else float(leaving_ms) / 1000.0,
                residents=_decode_residents(spec.get("models") or ()),
                in_host_memory=_bare_names(at_hand.get("in_memory") or ()),
                on_disk=_bare_names(at_hand.get("on_disk") or ()),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        return Err(CodecError("decode_entry", instance, repr(exc)))


def decode_report(body: bytes) -> Result[EngineReport, CodecError]:
    """Decode the body of an engine's status report."""
    try:
        spec = json.loads(body)
        at_hand = spec.get("at_hand") or {}
        return Ok(
            EngineReport(
                residents=_decode_residents(spec.get("models") or ()),
                # "busy" is true while a model is being loaded or unloaded, not for adapters.
                order_in_progress=bool(spec.get("busy", False)),
                accepted_orders=int(spec.get("sequence", 0)),
                running=int(spec.get("active", 0)),
                # "coming" lists the adapters in transit as MODEL/NAME@VERSION.
                adapters_in_transit=frozenset(
                    tuple(str(item).partition("@")[0].split("/", 1))
                    for item in spec.get("coming") or ()
                ),
                in_host_memory=_bare_names(at_hand.get("in_memory") or ()),
                on_disk=_bare_names(at_hand.get("on_disk") or ()),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        return Err(CodecError("decode_report", "", repr(exc)))


def _decode_residents(models: Any) -> dict[str, frozenset[str]]:
    return {
        _require_str(model["name"]): frozenset(
            _bare_name(item) for item in model.get("adapters") or ()
        )
        for model in models
    }


def _bare_name(item: Any) -> str:
    """Return a model's or adapter's name without the model prefix and the version.

    An item is a string like ``m0/a2@3`` or an object with a "name" of that form.
    """
    name = item["name"] if isinstance(item, dict) else _require_str(item)
    return name.partition("@")[0].rpartition("/")[2]


def _bare_names(items: Any) -> frozenset[str]:
    return frozenset(_bare_name(item) for item in items)


def _require_str(value: Any) -> str:
    if type(value) is not str:
        raise TypeError(f"expected text, got {type(value).__name__}")
    return value


def _require_number(value: Any) -> int:
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    return int(value)
