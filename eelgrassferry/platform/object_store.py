"""Client of the platform's object store. Keys have the form ``kind/name``."""

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
)
from .names import OBJECTS_PATH

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

    ``address`` is the store's ``ip:port``.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def get(self, key: str) -> Result[StoredObject | None, ObjectError]:
        """Return the object stored under a key, or None if there is none."""
        result = await self._call("GET", self._path(key))
        match result:
            case Ok(HttpResponse(status=404)):
                return Ok(None)
            case Ok(HttpResponse(status=200) as res):
                return self._decode("get", res, lambda document: _decode_object(key, document))
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
            meta["revision"] = expected
            method, path = "PUT", self._path(key)
        body = json.dumps({"meta": meta, "spec": json.loads(value)}).encode()
        result = await self._call(method, path, body)
        match result:
            case Ok(HttpResponse(status=200 | 201) as res):
                version = self._decode(
                    "put", res, lambda document: _decode_object(key, document).version
                )
                return version if version.is_ok() else self._decode_error("put", uncertain=True)
            case _:
                return self._to_error("put", key, result, write=True)

    async def delete(self, key: str, expected: int) -> Result[None, ObjectError]:
        """Delete an object if its version is ``expected``; otherwise return ``Conflict``."""
        result = await self._call("DELETE", f"{self._path(key)}?revision={expected}")
        match result:
            case Ok(HttpResponse(status=200 | 202 | 204)):
                return Ok(None)
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
            page = self._decode(
                "list", result.ok_value, lambda document: _decode_page(kind, document)
            )
            if isinstance(page, Err):
                return page
            page_objects, after, as_of = page.ok_value
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
        kind = prefix.rstrip("/")
        query = urlencode({"watch": after, "wait_ms": int(timeout_s * 1000)})
        limit_s = timeout_s + WATCH_MARGIN_S
        result = await self._call("GET", f"{OBJECTS_PATH}/{quote(kind)}?{query}", timeout_s=limit_s)
        match result:
            case Ok(HttpResponse(status=410)):
                return Err(HistoryGone("watch", self._address, prefix))
            case Ok(HttpResponse(status=200) as res):
                return self._decode("watch", res, lambda document: _decode_changes(kind, document))
            case _:
                return self._to_error("watch", prefix, result, write=False)

    def _path(self, key: str) -> str:
        kind, _, name = key.partition("/")
        return f"{OBJECTS_PATH}/{quote(kind)}/{quote(name, safe='')}"

    async def _call(
        self, method: str, target: str, body: bytes = b"", timeout_s: float = CALL_TIMEOUT_S
    ) -> Result[HttpResponse, HttpError]:
        headers = (("content-type", "application/json"),) if body else ()
        return await self._client.request(
            self._address, method, target, headers=headers, body=body, timeout_s=timeout_s
        )

    def _decode(self, step: str, res: HttpResponse, decode: Any) -> Result[Any, ObjectError]:
        try:
            return Ok(decode(parse_json(res.body)))
        except MALFORMED:
            return self._decode_error(step, uncertain=False)

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


def _decode_object(key: str, document: dict[str, Any]) -> StoredObject:
    # "revision" is the value of the store-wide change counter at the object's last change.
    value = json.dumps(document.get("spec"), separators=(",", ":")).encode()
    return StoredObject(key, to_count(document["meta"]["revision"]), value)


def _decode_listed(kind: str, document: Any) -> StoredObject | None:
    """Decode one object of several, None if it cannot be read, so that the others can be used."""
    try:
        return _decode_object(f"{kind}/{to_text(document['meta']['name'])}", document)
    except MALFORMED as exc:
        log.warning("object not used", step="decode_object", kind=kind, detail=repr(exc)[:200])
        return None


def _decode_page(kind: str, document: dict[str, Any]) -> tuple[list[StoredObject], str, int]:
    """Return the objects of a page, the name after which the next one begins, and the version.

    The name is empty on the last page.
    """
    items = document["items"]
    objects = [stored for item in items if (stored := _decode_listed(kind, item)) is not None]
    is_last = not document.get("truncated") or not items
    after = "" if is_last else to_text(items[-1]["meta"]["name"])
    return objects, after, to_count(document["as_of"])


def _decode_changes(kind: str, document: dict[str, Any]) -> WatchResult:
    changes = []
    for event in document["events"]:
        stored = _decode_listed(kind, event["object"])
        if stored is not None:
            removed = bool(event["removed"])
            value = None if removed else stored.value
            changes.append(Change(stored.key, stored.version, removed, value))
    return WatchResult(to_count(document["as_of"]), tuple(changes))
