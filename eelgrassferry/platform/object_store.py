"""The platform's store as the project's object store. Keys are ``kind/name``."""

import json
from typing import Any
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

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

# A call of a store that is up is answered within a few ms, and within 300 ms when it is slow.
CALL_TIMEOUT_S = 0.7
# Added to a watch's own timeout so that the store's empty answer arrives before this client
# gives up.
WATCH_MARGIN_S = 0.8
MAX_VALUE_BYTES = 1_048_576


class PlatformObjectStore:
    """Implements ``ObjectStore``. A value is the JSON of an object's "spec".

    Only a definite refusal or a request of which no byte was sent counts as a write that did not
    take effect; every other failure of a write is ``uncertain``.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def get(self, key: str) -> Result[StoredObject | None, ObjectError]:
        """Return the object, or None where there is none."""
        sent = await self._call("GET", self._path(key))
        match sent:
            case Ok(HttpResponse(status=404)):
                return Ok(None)
            case Ok(HttpResponse(status=200) as res):
                return self._decode("get", res, lambda document: _stored(key, document))
            case _:
                return self._failed("get", key, sent, write=False)

    async def put(self, key: str, value: bytes, expected: int) -> Result[int, ObjectError]:
        """Write if the object's version is ``expected`` (0: it does not exist)."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(TooLarge("put", self._address, len(value)))
        kind, _, name = key.partition("/")
        meta: dict[str, object] = {"name": name, "finalizers": []}
        method, path = "POST", f"{OBJECTS_PATH}/{quote(kind)}"
        if expected:
            meta["revision"] = expected
            method, path = "PUT", self._path(key)
        body = json.dumps({"meta": meta, "spec": json.loads(value)}).encode()
        sent = await self._call(method, path, body)
        match sent:
            case Ok(HttpResponse(status=200 | 201) as res):
                read = self._decode("put", res, lambda document: _stored(key, document).version)
                return read if read.is_ok() else self._garbled("put", uncertain=True)
            case _:
                return self._failed("put", key, sent, write=True)

    async def delete(self, key: str, expected: int) -> Result[None, ObjectError]:
        """Delete if the object's version is ``expected``."""
        sent = await self._call("DELETE", f"{self._path(key)}?revision={expected}")
        match sent:
            case Ok(HttpResponse(status=200 | 202 | 204)):
                return Ok(None)
            case _:
                return self._failed("delete", key, sent, write=True)

    async def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ObjectError]:
        """Return all objects of a kind, by key."""
        return (await self.snapshot(prefix)).map(lambda found: found.objects)

    async def snapshot(self, prefix: str) -> Result[Snapshot, ObjectError]:
        """Return all objects of a kind and the version from which to watch for changes."""
        kind = prefix.rstrip("/")
        objects: list[StoredObject] = []
        after, version = "", None
        while True:
            query = f"?{urlencode({'after': after})}" if after else ""
            sent = await self._call("GET", f"{OBJECTS_PATH}/{quote(kind)}{query}")
            if not isinstance(sent, Ok) or sent.ok_value.status != 200:
                return self._failed("list", prefix, sent, write=False)
            page = self._decode("list", sent.ok_value, lambda document: _page(kind, document))
            if isinstance(page, Err):
                return page
            found, truncated, as_of = page.ok_value
            objects += found
            # Changes between two pages are seen again by a watch from the first page's version.
            version = as_of if version is None else version
            if not truncated or not found:
                return Ok(Snapshot(version, tuple(sorted(objects, key=lambda obj: obj.key))))
            after = found[-1].key.partition("/")[2]

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[WatchResult, ObjectError]:
        """Wait up to ``timeout_s`` for changes of a kind later than version ``after``."""
        kind = prefix.rstrip("/")
        query = urlencode({"watch": after, "wait_ms": int(timeout_s * 1000)})
        limit_s = timeout_s + WATCH_MARGIN_S
        sent = await self._call("GET", f"{OBJECTS_PATH}/{quote(kind)}?{query}", timeout_s=limit_s)
        match sent:
            case Ok(HttpResponse(status=410)):
                return Err(HistoryGone("watch", self._address, prefix))
            case Ok(HttpResponse(status=200) as res):
                return self._decode("watch", res, lambda document: _changes(kind, document))
            case _:
                return self._failed("watch", prefix, sent, write=False)

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

    def _decode(self, step: str, res: HttpResponse, read: Any) -> Result[Any, ObjectError]:
        try:
            return Ok(read(json.loads(res.body)))
        except (ValueError, KeyError, TypeError, AttributeError):
            return self._garbled(step, uncertain=False)

    def _garbled(self, step: str, *, uncertain: bool) -> Err[ObjectError]:
        return Err(Unavailable(step, self._address, "the answer cannot be read", uncertain))

    def _failed(
        self, step: str, key: str, sent: Result[HttpResponse, HttpError], *, write: bool
    ) -> Err[ObjectError]:
        if isinstance(sent, Err):
            exc = sent.err_value
            detail = f"{exc.step}: {exc.detail}"
            return Err(Unavailable(step, self._address, detail, uncertain=write and exc.sent))
        match sent.ok_value.status:
            case 409:
                return Err(Conflict(step, self._address, key))
            case 404 if write:
                return Err(Conflict(step, self._address, key))
            case 429:
                return Err(RateLimited(step, self._address))
            case status:
                uncertain = write and status != 503 and not 400 <= status < 500
                return Err(Unavailable(step, self._address, f"status {status}", uncertain))


def _stored(key: str, document: dict[str, Any]) -> StoredObject:
    # "revision" is the store's counter at the object's last change.
    value = json.dumps(document["spec"], separators=(",", ":")).encode()
    return StoredObject(key, int(document["meta"]["revision"]), value)


def _page(kind: str, document: dict[str, Any]) -> tuple[list[StoredObject], bool, int]:
    items = [_stored(f"{kind}/{item['meta']['name']}", item) for item in document["items"]]
    return items, bool(document.get("truncated")), int(document["as_of"])


def _changes(kind: str, document: dict[str, Any]) -> WatchResult:
    changes = []
    for event in document["events"]:
        stored = _stored(f"{kind}/{event['object']['meta']['name']}", event["object"])
        removed = bool(event["removed"])
        value = None if removed else stored.value
        changes.append(Change(stored.key, stored.version, removed, value))
    return WatchResult(int(document["as_of"]), tuple(changes))
