"""Client of the platform's object API over HTTP."""

import base64
import json
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from ..documents import MALFORMED
from ..http import HttpClient, HttpError, HttpResponse
from .errors import Conflict, ObjectError, RateLimited, TooLarge, Unavailable
from .object_store import Change, StoredObject, WatchResult

__all__ = ["HttpObjectStore"]

CALL_TIMEOUT_S = 3.0
# Added to the timeout of a watch, in seconds, so that the platform's empty response arrives
# before this client gives up.
WATCH_MARGIN_S = 2.0


class HttpObjectStore:
    """An ``ObjectStore`` over the platform's HTTP interface.

    A write is known to have had no effect only if it was rejected (412, 413, 429, another client
    error, or 503) or if no byte of the request was sent; any other failure is ``uncertain``.

    >>> store = HttpObjectStore(HttpClient(), "127.0.0.1:7000", "d1")
    >>> # res = await store.get("config/uy-sur")
    """

    # This interface names no eras.
    era = 0
    was_restored = False

    def __init__(
        self, client: HttpClient, address: str, domain: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._client = client
        self._address = address
        self._headers = (("x-domain", domain),)
        self._timeout_s = timeout_s

    async def get(self, key: str) -> Result[StoredObject | None, ObjectError]:
        """Return the object, or None if it does not exist."""
        outcome = await self._call("get", "GET", f"/objects/{quote(key)}")
        match outcome:
            case Ok(HttpResponse(status=404)):
                return Ok(None)
            case Ok(HttpResponse(status=200) as res):
                version = read_etag(res)
                if version is None:
                    return self._malformed_response("get", uncertain=False)
                return Ok(StoredObject(key, version, res.body))
            case Ok(res):
                return self._status_error("get", key, res, write=False)
            case Err(exc):
                return self._transport_error("get", exc, write=False)

    async def put(self, key: str, value: bytes, expected: int) -> Result[int, ObjectError]:
        """Write the object if its version is ``expected`` (0: the object does not exist)."""
        precondition = ("if-match", f'"{expected}"') if expected else ("if-none-match", "*")
        outcome = await self._call("put", "PUT", f"/objects/{quote(key)}", (precondition,), value)
        match outcome:
            case Ok(HttpResponse(status=200 | 201 | 204) as res):
                version = read_etag(res)
                return (
                    self._malformed_response("put", uncertain=True)
                    if version is None
                    else Ok(version)
                )
            case Ok(HttpResponse(status=413)):
                return Err(TooLarge("put", self._address, len(value)))
            case Ok(res):
                return self._status_error("put", key, res, write=True)
            case Err(exc):
                return self._transport_error("put", exc, write=True)

    async def delete(self, key: str, expected: int) -> Result[None, ObjectError]:
        """Delete the object if its version is ``expected``."""
        precondition = ("if-match", f'"{expected}"')
        outcome = await self._call("delete", "DELETE", f"/objects/{quote(key)}", (precondition,))
        match outcome:
            case Ok(HttpResponse(status=200 | 204)):
                return Ok(None)
            case Ok(res):
                return self._status_error("delete", key, res, write=True)
            case Err(exc):
                return self._transport_error("delete", exc, write=True)

    async def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ObjectError]:
        """Return all objects whose key starts with ``prefix``, sorted by key."""
        outcome = await self._call("list", "GET", f"/objects?{urlencode({'prefix': prefix})}")
        match outcome:
            case Ok(HttpResponse(status=200) as res):
                try:
                    return Ok(parse_objects(res.body))
                except MALFORMED:
                    return self._malformed_response("list", uncertain=False)
            case Ok(res):
                return self._status_error("list", prefix, res, write=False)
            case Err(exc):
                return self._transport_error("list", exc, write=False)

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[WatchResult, ObjectError]:
        """Wait up to ``timeout_s`` for changes under ``prefix`` after version ``after``."""
        query = urlencode({"prefix": prefix, "after": after, "timeout": timeout_s})
        limit_s = max(self._timeout_s, timeout_s + WATCH_MARGIN_S)
        outcome = await self._call("watch", "GET", f"/watch?{query}", timeout_s=limit_s)
        match outcome:
            case Ok(HttpResponse(status=200) as res):
                try:
                    return Ok(parse_watch(res.body))
                except MALFORMED:
                    return self._malformed_response("watch", uncertain=False)
            case Ok(res):
                return self._status_error("watch", prefix, res, write=False)
            case Err(exc):
                return self._transport_error("watch", exc, write=False)

    async def _call(
        self,
        step: str,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> Result[HttpResponse, HttpError]:
        return await self._client.request(
            self._address,
            method,
            target,
            headers=(*self._headers, *headers),
            body=body,
            timeout_s=timeout_s or self._timeout_s,
        )

    def _status_error(
        self, step: str, key: str, res: HttpResponse, *, write: bool
    ) -> Err[ObjectError]:
        match res.status:
            case 412:
                return Err(Conflict(step, self._address, key))
            case 404 if write:
                return Err(Conflict(step, self._address, key))
            case 429:
                return Err(RateLimited(step, self._address))
            case 503:
                return Err(Unavailable(step, self._address, "status 503", uncertain=False))
            case status:
                # A client error rejects the write; a server error may occur after the write.
                uncertain = write and not 400 <= status < 500
                return Err(Unavailable(step, self._address, f"status {status}", uncertain))

    def _transport_error(self, step: str, exc: HttpError, *, write: bool) -> Err[ObjectError]:
        detail = f"{exc.step}: {exc.detail}"
        return Err(Unavailable(step, self._address, detail, uncertain=write and exc.sent))

    def _malformed_response(self, step: str, *, uncertain: bool) -> Err[ObjectError]:
        return Err(Unavailable(step, self._address, "the answer cannot be read", uncertain))


def read_etag(res: HttpResponse) -> int | None:
    """Return the version in the ``ETag`` header, or None if there is no valid one.

    >>> read_etag(HttpResponse(200, (("etag", '"7"'),)))
    7
    """
    text = (res.header("etag") or "").strip('"')
    return int(text) if text.isascii() and text.isdigit() else None


def parse_objects(body: bytes) -> tuple[StoredObject, ...]:
    """Decode the response of a list call and return the objects sorted by key."""
    entries = json.loads(body)
    if isinstance(entries, dict):
        entries = entries["objects"]
    objects = (
        StoredObject(str(e["key"]), int(e["version"]), base64.b64decode(e["value"]))
        for e in entries
    )
    return tuple(sorted(objects, key=lambda obj: obj.key))


def parse_watch(body: bytes) -> WatchResult:
    """Decode the response of a watch call."""
    document = json.loads(body)
    changes = tuple(
        Change(str(c["key"]), int(c["version"]), bool(c["deleted"])) for c in document["changes"]
    )
    return WatchResult(int(document["version"]), changes)
