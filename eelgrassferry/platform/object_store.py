"""Client of the platform's object store. Keys have the form ``kind/name``."""

import asyncio
import json
from typing import Any
from urllib.parse import quote, urlencode

import structlog
from result import Err, Ok, Result

from ..documents import MALFORMED, parse_json, to_count, to_text
from ..http import HttpClient, HttpError, HttpResponse
from ..objects import (
    Change,
    Conflict,
    HistoryGone,
    ObjectError,
    RateLimited,
    Snapshot,
    StoredObject,
    TooLarge,
    Unavailable,
    WatchResult,
    era_of,
    make_version,
    revision_of,
)
from ..objects.store_version import MAX_ERA
from .names import OBJECTS_PATH, STORE_ERA_HEADER

__all__ = ["PlatformObjectStore"]

log = structlog.get_logger()

# Seconds. A healthy store answers within a few ms, a slow one within 300 ms.
CALL_TIMEOUT_S = 0.7
# Seconds added to the wait time of a watch, so that the store's empty response arrives before the
# client times out.
WATCH_MARGIN_S = 0.8
MAX_VALUE_BYTES = 1_048_576


class PlatformObjectStore:
    """Implementation of ``ObjectStore`` over the platform's HTTP interface.

    A value is the JSON text of an object's "spec". A failed write has ``uncertain`` set unless the
    store rejected it or no byte of the request was sent: the write may have taken effect.

    A version consists of the store's era and a revision. The store itself compares revisions only,
    so a write under the condition of a version of an earlier era is not sent, and one that met a
    later era is uncertain. A watch from a version of an earlier era fails with ``HistoryGone``.

    ``era`` is the latest era that an answer has named, 0 if none has, and ``was_restored`` is
    whether one has named an earlier era before. ``address`` is the store's ``ip:port``.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self.era = 0
        self.was_restored = False
        self._names_eras = False
        self._era_begun = asyncio.Event()
        self._client = client
        self._address = address

    async def get(self, key: str) -> Result[StoredObject | None, ObjectError]:
        """Return the object stored under a key, or None if there is none."""
        result = await self._call("GET", self._path(key))
        match result:
            case Ok(HttpResponse(status=404)):
                return Ok(None)
            case Ok(HttpResponse(status=200) as res):
                return self._decode(
                    "get", res, lambda document: _decode_object(key, document, _read_era(res))
                )
            case _:
                return self._to_error("get", key, result, write=False)

    async def put(self, key: str, value: bytes, expected: int) -> Result[int, ObjectError]:
        """Write an object if its version is ``expected`` (0: it must not exist).

        Return the new version. The error is ``Conflict`` if the version differs and ``TooLarge`` if
        the value exceeds ``MAX_VALUE_BYTES``.
        """
        if len(value) > MAX_VALUE_BYTES:
            return Err(TooLarge("put", self._address, len(value)))
        kind, _, name = key.partition("/")
        meta: dict[str, object] = {"name": name, "finalizers": []}
        method, path = "POST", f"{OBJECTS_PATH}/{quote(kind)}"
        if expected:
            if era_of(expected) < self.era:
                return Err(Conflict("put", self._address, key))
            meta["revision"] = revision_of(expected)
            method, path = "PUT", self._path(key)
        body = json.dumps({"meta": meta, "spec": json.loads(value)}).encode()
        result = await self._call(method, path, body)
        match result:
            case Ok(HttpResponse(status=200 | 201) as res):
                version = self._decode(
                    "put", res, lambda document: _decode_object(key, document, _read_era(res))
                ).map(lambda stored: stored.version)
                if version.is_err():
                    return self._decode_error("put", uncertain=True)
                if expected and era_of(version.ok_value) != era_of(expected):
                    return self._era_error("put")
                return version
            case _:
                return self._to_error("put", key, result, write=True)

    async def delete(self, key: str, expected: int) -> Result[None, ObjectError]:
        """Delete an object if its version is ``expected``; otherwise return ``Conflict``."""
        if era_of(expected) < self.era:
            return Err(Conflict("delete", self._address, key))
        path = f"{self._path(key)}?revision={revision_of(expected)}"
        result = await self._call("DELETE", path)
        match result:
            case Ok(HttpResponse(status=200 | 202 | 204) as res):
                return Ok(None) if self._is_of_era(res, expected) else self._era_error("delete")
            case _:
                return self._to_error("delete", key, result, write=True)

    async def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ObjectError]:
        """Return all objects of a kind, sorted by key."""
        return (await self.snapshot(prefix)).map(lambda snapshot: snapshot.objects)

    async def snapshot(self, prefix: str) -> Result[Snapshot, ObjectError]:
        """Return all objects of a kind, sorted by key, and the version to start a watch from."""
        kind = prefix.rstrip("/")
        objects: list[StoredObject] = []
        after, version = "", None
        while True:
            query = f"?{urlencode({'after': after})}" if after else ""
            result = await self._call("GET", f"{OBJECTS_PATH}/{quote(kind)}{query}")
            if not isinstance(result, Ok) or result.ok_value.status != 200:
                return self._to_error("list", prefix, result, write=False)
            page = self._decode_listing("list", result.ok_value, kind, _decode_page)
            if isinstance(page, Err):
                return page
            page_objects, after, as_of = page.ok_value
            if version is not None and era_of(as_of) != era_of(version):
                # The pages come from before and after a restore.
                return Err(HistoryGone("list", self._address, prefix))
            objects += page_objects
            # A watch from the first page's version repeats changes made between two pages; one from
            # a later version could miss them.
            version = as_of if version is None else version
            if not after:
                return Ok(Snapshot(version, tuple(sorted(objects, key=lambda obj: obj.key))))

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[WatchResult, ObjectError]:
        """Wait up to ``timeout_s`` seconds for changes of a kind later than version ``after``.

        The error is ``HistoryGone`` if the store no longer has the changes since that version.
        """
        if era_of(after) < self.era:
            return Err(HistoryGone("watch", self._address, prefix))
        kind = prefix.rstrip("/")
        query = urlencode({"watch": revision_of(after), "wait_ms": int(timeout_s * 1000)})
        limit_s = timeout_s + WATCH_MARGIN_S
        result = await self._call_within_era(f"{OBJECTS_PATH}/{quote(kind)}?{query}", limit_s)
        match result:
            case None | Ok(HttpResponse(status=410)):
                return Err(HistoryGone("watch", self._address, prefix))
            case Ok(HttpResponse(status=200) as res):
                changes = self._decode_listing("watch", res, kind, _decode_changes)
                if isinstance(changes, Ok) and era_of(changes.ok_value.version) != era_of(after):
                    return Err(HistoryGone("watch", self._address, prefix))
                return changes
            case _:
                return self._to_error("watch", prefix, result, write=False)

    def _path(self, key: str) -> str:
        kind, _, name = key.partition("/")
        return f"{OBJECTS_PATH}/{quote(kind)}/{quote(name, safe='')}"

    async def _call(
        self, method: str, target: str, body: bytes = b"", timeout_s: float = CALL_TIMEOUT_S
    ) -> Result[HttpResponse, HttpError]:
        headers = (("content-type", "application/json"),) if body else ()
        result = await self._client.request(
            self._address, method, target, headers=headers, body=body, timeout_s=timeout_s
        )
        if isinstance(result, Ok):
            self._record_era(result.ok_value)
        return result

    async def _call_within_era(
        self, target: str, timeout_s: float
    ) -> Result[HttpResponse, HttpError] | None:
        """Return the result of a GET call, or None as soon as another call finds a later era."""
        call = asyncio.ensure_future(self._call("GET", target, timeout_s=timeout_s))
        era_begun = asyncio.ensure_future(self._era_begun.wait())
        try:
            await asyncio.wait({call, era_begun}, return_when=asyncio.FIRST_COMPLETED)
            return call.result() if call.done() else None
        finally:
            call.cancel()
            era_begun.cancel()

    def _record_era(self, res: HttpResponse) -> None:
        try:
            era = _read_era(res)
        except MALFORMED as exc:
            log.warning("era not used", step="read_era", peer=self._address, detail=repr(exc))
            return
        previous, was_named = self.era, self._names_eras
        self._names_eras |= res.header(STORE_ERA_HEADER) is not None
        if era <= previous:
            return
        self.era = era
        self.was_restored |= was_named
        report = log.warning if was_named else log.info
        report("store era begins", step="read_era", peer=self._address, era=era, previous=previous)
        self._era_begun.set()
        self._era_begun = asyncio.Event()

    def _is_of_era(self, res: HttpResponse, version: int) -> bool:
        try:
            return _read_era(res) == era_of(version)
        except MALFORMED:
            return False

    def _decode(self, step: str, res: HttpResponse, decode: Any) -> Result[Any, ObjectError]:
        try:
            return Ok(decode(parse_json(res.body)))
        except MALFORMED:
            return self._decode_error(step, uncertain=False)

    def _decode_listing(
        self, step: str, res: HttpResponse, kind: str, decode: Any
    ) -> Result[Any, ObjectError]:
        return self._decode(step, res, lambda document: decode(kind, document, _read_era(res)))

    def _era_error(self, step: str) -> Err[ObjectError]:
        """Return the error of a write that met another object under the same revision."""
        detail = "the store was restored before it carried the write out"
        return Err(Unavailable(step, self._address, detail, uncertain=True))

    def _decode_error(self, step: str, *, uncertain: bool) -> Err[ObjectError]:
        return Err(Unavailable(step, self._address, "the store's answer cannot be read", uncertain))

    def _to_error(
        self, step: str, key: str, result: Result[HttpResponse, HttpError], *, write: bool
    ) -> Err[ObjectError]:
        if isinstance(result, Err):
            exc = result.err_value
            detail = f"{exc.step}: {exc.detail}"
            return Err(Unavailable(step, self._address, detail, uncertain=write and exc.sent))
        match result.ok_value.status:
            case 409:
                return Err(Conflict(step, self._address, key))
            case 404 if write:
                return Err(Conflict(step, self._address, key))
            case 429:
                return Err(RateLimited(step, self._address))
            case status:
                uncertain = write and status != 503 and not 400 <= status < 500
                return Err(Unavailable(step, self._address, f"status {status}", uncertain))


def _read_era(res: HttpResponse) -> int:
    """Return the era that an answer names, 0 if it names none.

    Raises ``TypeError`` or ``ValueError`` if it is malformed.
    """
    text = res.header(STORE_ERA_HEADER)
    if text is None:
        return 0
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"{text[:40]!r} is not an era")
    return to_count(int(text[:20]), high=MAX_ERA)


def _decode_object(key: str, document: dict[str, Any], era: int) -> StoredObject:
    # "revision" is the value of the store-wide change counter at the object's last change.
    value = json.dumps(document.get("spec"), separators=(",", ":")).encode()
    version = make_version(era, to_count(document["meta"]["revision"]))
    return StoredObject(key, version, value)


def _decode_listed(kind: str, document: Any, era: int) -> StoredObject | None:
    """Decode one object of several, None if it cannot be read, so that the others can be used."""
    try:
        return _decode_object(f"{kind}/{to_text(document['meta']['name'])}", document, era)
    except MALFORMED as exc:
        log.warning("object not used", step="decode_object", kind=kind, detail=repr(exc)[:200])
        return None


def _decode_page(
    kind: str, document: dict[str, Any], era: int
) -> tuple[list[StoredObject], str, int]:
    """Return the objects of a page, the name after which the next one begins, and the version.

    The name is empty on the last page.
    """
    items = document["items"]
    decoded = (_decode_listed(kind, item, era) for item in items)
    objects = [stored for stored in decoded if stored is not None]
    is_last = not document.get("truncated") or not items
    after = "" if is_last else to_text(items[-1]["meta"]["name"])
    return objects, after, make_version(era, to_count(document["as_of"]))


def _decode_changes(kind: str, document: dict[str, Any], era: int) -> WatchResult:
    changes = []
    for event in document["events"]:
        stored = _decode_listed(kind, event["object"], era)
        if stored is not None:
            removed = bool(event["removed"])
            value = None if removed else stored.value
            changes.append(Change(stored.key, stored.version, removed, value))
    return WatchResult(make_version(era, to_count(document["as_of"])), tuple(changes))
