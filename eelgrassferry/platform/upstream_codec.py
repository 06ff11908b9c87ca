"""Decoders of upstreams' registry entries and engines' status reports."""

import re
from typing import Any

from result import Err, Ok, Result

from ..documents import MALFORMED, parse_json, to_count, to_flag, to_number, to_text
from ..fleet import UpstreamEntry
from ..ordering import EngineReport
from ..routing import UpstreamState
from .address import is_address
from .codec_error import CodecError

__all__ = ["decode_entry", "decode_report"]

# Largest number of requests that an upstream may run at the same time.
MAX_SLOTS = 1_000_000
# Longest part of a malformed value that an error shows, in characters.
MAX_SHOWN = 200
# Printable ASCII without spaces, as for ids of upstreams and hosts.
HEADER_VALUE = re.compile(r"[!-~]{1,255}")
STATES = {"ready": UpstreamState.LIVE, "draining": UpstreamState.LEAVING}


def decode_entry(instance: str, value: bytes) -> Result[UpstreamEntry, CodecError]:
    """Decode one registry entry.

    Other clients of the store write entries too, so an entry may have any content and any name.
    """
    try:
        spec = parse_json(value)
        at_hand = spec.get("at_hand") or {}
        leaving_ms = spec.get("remaining_ms")
        return Ok(
            UpstreamEntry(
                instance=_to_header_value(instance),
                service=to_text(spec["service"]),
                address=_to_address(spec["address"]),
                domain=to_text(spec["zone"]),
                slots=to_count(spec["slots"], low=1, high=MAX_SLOTS),
                state=STATES[spec["state"]],
                # "born" is the start time of the process in Unix milliseconds.
                started_ms=_to_whole(spec.get("born", 0)),
                # "sequence" is not decoded: in an entry it counts heartbeats; only in a report
                # does it count accepted orders.
                leaving_in_s=None if leaving_ms is None else to_number(leaving_ms) / 1000.0,
                residents=_decode_residents(spec.get("models") or ()),
                in_host_memory=_bare_names(at_hand.get("in_memory") or ()),
                on_disk=_bare_names(at_hand.get("on_disk") or ()),
            )
        )
    except MALFORMED as exc:
        return Err(CodecError("decode_entry", instance, _describe(exc)))


def decode_report(body: bytes) -> Result[EngineReport, CodecError]:
    """Decode the body of an engine's status report.

    A report without the models, the order in progress or the number of orders says nothing that
    the next order could rest on, so it is an error.
    """
    try:
        spec = parse_json(body)
        at_hand = spec.get("at_hand") or {}
        return Ok(
            EngineReport(
                residents=_decode_residents(spec["models"]),
                # "busy" is true while a model is being loaded or unloaded, not for adapters.
                order_in_progress=to_flag(spec["busy"]),
                accepted_orders=to_count(spec["sequence"]),
                running=to_count(spec.get("active", 0)),
                # "coming" lists the adapters in transit as MODEL/NAME@VERSION.
                adapters_in_transit=frozenset(
                    tuple(to_text(item).partition("@")[0].split("/", 1))
                    for item in spec.get("coming") or ()
                ),
                in_host_memory=_bare_names(at_hand.get("in_memory") or ()),
                on_disk=_bare_names(at_hand.get("on_disk") or ()),
            )
        )
    except MALFORMED as exc:
        return Err(CodecError("decode_report", "", _describe(exc)))


def _decode_residents(models: Any) -> dict[str, frozenset[str]]:
    return {
        to_text(model["name"]): frozenset(_bare_name(item) for item in model.get("adapters") or ())
        for model in models
    }


def _bare_name(item: Any) -> str:
    """Return a model's or adapter's name without the model prefix and the version.

    An item is a string like ``m0/a2@3`` or an object with a "name" of that form.
    """
    name = to_text(item["name"] if isinstance(item, dict) else item)
    return name.partition("@")[0].rpartition("/")[2]


def _bare_names(items: Any) -> frozenset[str]:
    return frozenset(_bare_name(item) for item in items)


def _to_header_value(text: str) -> str:
    """Return the id of an upstream, which each request to it names in a header."""
    if not HEADER_VALUE.fullmatch(text):
        raise ValueError(f"{text[:MAX_SHOWN]!r} cannot be sent in a header")
    return text


def _to_address(value: Any) -> str:
    address = to_text(value)
    if not is_address(address) or not HEADER_VALUE.fullmatch(address.rpartition(":")[0]):
        raise ValueError(f"address {address[:MAX_SHOWN]!r} is not HOST:PORT")
    return address


def _to_whole(value: Any) -> int:
    """Return a whole number that is not written as a fraction."""
    if type(value) is not int:
        raise TypeError(f"expected a whole number, got {type(value).__name__}")
    return to_count(value)


def _describe(exc: Exception) -> str:
    return repr(exc)[:MAX_SHOWN]
