"""Decodes what upstreams say of themselves: registry entries and status reports."""

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
    """Decode one entry of the registry. Entries of other writers may be anything."""
    try:
        spec = json.loads(value)
        at_hand = spec.get("at_hand") or {}
        leaving_ms = spec.get("remaining_ms")
        started_ms = spec.get("born", 0)
        service, address = spec["service"], spec["address"]
        if type(service) is not str or type(address) is not str or type(started_ms) is not int:
            return Err(CodecError("decode_entry", instance, "fields of another type"))
        host, _, port = address.rpartition(":")
        if not host or not 0 < int(port) < 65536:
            return Err(CodecError("decode_entry", instance, f"address {address!r}"))
        return Ok(
            UpstreamEntry(
                instance=instance,
                service=service,
                address=address,
                domain=_text(spec["zone"]),
                slots=_number(spec["slots"]),
                state=STATES[spec["state"]],
                # "born" is the Unix millisecond at which the process started.
                started_ms=started_ms,
                # "sequence" numbers the heartbeats here, and the accepted orders in a report.
                leaving_in_s=None if leaving_ms is None else float(leaving_ms) / 1000.0,
                residents=_residents(spec.get("models") or ()),
                in_host_memory=_names(at_hand.get("in_memory") or ()),
                on_disk=_names(at_hand.get("on_disk") or ()),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        return Err(CodecError("decode_entry", instance, repr(exc)))


def decode_report(body: bytes) -> Result[EngineReport, CodecError]:
    """Decode an engine's answer to a call of its status report."""
    try:
        spec = json.loads(body)
        at_hand = spec.get("at_hand") or {}
        return Ok(
            EngineReport(
                residents=_residents(spec.get("models") or ()),
                # "busy" is true while a model is loaded or unloaded; adapters do not count.
                order_in_progress=bool(spec.get("busy", False)),
                accepted_orders=int(spec.get("sequence", 0)),
                running=int(spec.get("active", 0)),
                # "coming" are adapters in transit, as MODEL/NAME@VERSION.
                adapters_in_transit=frozenset(
                    tuple(str(item).partition("@")[0].split("/", 1))
                    for item in spec.get("coming") or ()
                ),
                in_host_memory=_names(at_hand.get("in_memory") or ()),
                on_disk=_names(at_hand.get("on_disk") or ()),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        return Err(CodecError("decode_report", "", repr(exc)))


def _residents(models: Any) -> dict[str, frozenset[str]]:
    return {
        _text(model["name"]): frozenset(_adapter(item) for item in model.get("adapters") or ())
        for model in models
    }


def _adapter(item: Any) -> str:
    """Return the name of an adapter, which is listed by itself or with its version."""
    name = item["name"] if isinstance(item, dict) else _text(item)
    return name.partition("@")[0].rpartition("/")[2]


def _names(items: Any) -> frozenset[str]:
    return frozenset(_adapter(item) for item in items)


def _text(value: Any) -> str:
    if type(value) is not str:
        raise TypeError(f"expected text, got {type(value).__name__}")
    return value


def _number(value: Any) -> int:
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    return int(value)
