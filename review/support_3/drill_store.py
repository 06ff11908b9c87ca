"""Stand-in for the platform's object store that can come back from an older copy.

It follows PROTOCOL.md ("The platform's metadata store") and, for the drill, PAGES-NEWS.md: it is
away for a moment, comes back from a copy some seconds old, gives revisions out again, answers a
watch from a revision that it does not have with 410, and raises Store-Era by one.
"""

import asyncio
import copy
import json
import time
from typing import Any

from eelgrassferry.http import HttpRequest, HttpResponse, HttpServer, Responder

OBJECTS = "/eelgrassferry/objects/"
# Interval between two copies, and how many are kept: 20 s of them.
COPY_INTERVAL_S = 0.25
COPIES = 80


class DrillStore:
    """In-memory object store. ``writes`` lists (time, era, kind, name, revision, spec)."""

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self.down = False
        self.writes: list[tuple[float, int, str, str, int, Any]] = []
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._copies: list[tuple[float, int, dict, list]] = []
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle, host="127.0.0.1", port=0)
        self._copier: asyncio.Task[None] | None = None

    async def start(self) -> str:
        await self._server.start()
        self._copier = asyncio.ensure_future(self._make_copies())
        return self._server.address

    async def stop(self) -> None:
        if self._copier is not None:
            self._copier.cancel()
        await self._server.close(grace_s=0)

    async def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator and servers do; return the revision that acknowledges it.

        The store must not be away.
        """
        assert not self.down
        await self._put(kind, name, spec)
        return self.revision

    def spec(self, kind: str, name: str) -> Any:
        stored = self._objects.get((kind, name))
        return stored["spec"] if stored else None

    def meta_revision(self, kind: str, name: str) -> int:
        stored = self._objects.get((kind, name))
        return stored["meta"]["revision"] if stored else 0

    async def drill(self, away_s: float, copy_age_s: float) -> tuple[int, int]:
        """Be away, then come back from a copy; return the revisions before and after."""
        before = self.revision
        taken_before = time.monotonic() - copy_age_s
        _, revision, objects, events = [c for c in self._copies if c[0] <= taken_before][-1]
        self.down = True
        async with self._changed:
            self._changed.notify_all()
        await asyncio.sleep(away_s)
        self.revision = revision
        self._objects, self._events = copy.deepcopy(objects), list(events)
        self._copies.clear()
        self.era += 1
        self.down = False
        return before, self.revision

    async def _make_copies(self) -> None:
        while True:
            if not self.down:
                now = time.monotonic()
                self._copies.append(
                    (now, self.revision, copy.deepcopy(self._objects), list(self._events))
                )
                del self._copies[:-COPIES]
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        old = self._objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 1, "finalizers": []}
        stored = {"meta": {**meta, "deleting": False}, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        self.writes.append((time.monotonic(), self.era, kind, name, self.revision, spec))
        await self._record(kind, stored, removed=False)
        return stored

    async def _record(self, kind: str, stored: dict[str, Any], removed: bool) -> None:
        async with self._changed:
            self._events.append((self.revision, kind, stored, removed))
            self._changed.notify_all()

    async def _handle(self, req: HttpRequest, out: Responder) -> None:
        res = HttpResponse(503) if self.down else await self._answer(req)
        era = ("Store-Era", str(self.era))
        await out.send(HttpResponse(res.status, (*res.headers, era), res.body))

    async def _answer(self, req: HttpRequest) -> HttpResponse:
        kind, _, name = req.path.removeprefix(OBJECTS).partition("/")
        match req.method:
            case "GET" if "watch" in req.query:
                return await self._watch(
                    kind, int(req.query["watch"]), int(req.query.get("wait_ms", 0))
                )
            case "GET" if name:
                stored = self._objects.get((kind, name))
                return HttpResponse.of_json(stored) if stored else HttpResponse(404)
            case "GET":
                items = [stored for (k, _), stored in sorted(self._objects.items()) if k == kind]
                page = {"items": items, "truncated": False, "as_of": self.revision}
                return HttpResponse.of_json(page)
            case "POST" | "PUT":
                return await self._write(req, kind, name)
            case "DELETE":
                return await self._delete(req, kind, name)
            case _:
                return HttpResponse(405)

    async def _write(self, req: HttpRequest, kind: str, name: str) -> HttpResponse:
        body = json.loads(req.body)
        name = name or body["meta"]["name"]
        stored = self._objects.get((kind, name))
        if req.method == "POST" and stored is not None:
            return HttpResponse.of_json(stored, status=409)
        if req.method == "PUT":
            if stored is None:
                return HttpResponse(404)
            expected = body["meta"].get("revision")
            if expected is not None and expected != stored["meta"]["revision"]:
                return HttpResponse.of_json(stored, status=409)
        return HttpResponse.of_json(await self._put(kind, name, body["spec"]))

    async def _delete(self, req: HttpRequest, kind: str, name: str) -> HttpResponse:
        stored = self._objects.get((kind, name))
        if stored is None:
            return HttpResponse(404)
        expected = req.query.get("revision")
        if expected is not None and int(expected) != stored["meta"]["revision"]:
            return HttpResponse.of_json(stored, status=409)
        del self._objects[kind, name]
        self.revision += 1
        await self._record(kind, stored, removed=True)
        return HttpResponse.of_json(stored)

    async def _watch(self, kind: str, after: int, wait_ms: int) -> HttpResponse:
        if after > self.revision:
            return HttpResponse(410)
        try:
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(lambda: self.down or self._after(kind, after))
        except TimeoutError:
            pass
        if self.down:
            return HttpResponse(503)
        return HttpResponse.of_json({"events": self._after(kind, after), "as_of": self.revision})

    def _after(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            {"object": stored, "removed": removed}
            for revision, k, stored, removed in self._events
            if k == kind and revision > after
        ]
