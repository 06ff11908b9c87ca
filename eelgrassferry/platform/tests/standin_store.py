"""Stand-in for the platform's object store, for tests on loopback."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from ...http import HttpRequest, HttpResponse, HttpServer, Responder

__all__ = ["StandinCopy", "StandinStore"]

OBJECTS = "/eelgrassferry/objects/"
# The kinds that operators and servers write.
FOREIGN_KINDS = ("config", "servers")


@dataclass(frozen=True)
class StandinCopy:
    """The content of a store at one revision, and the events up to it."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    events: list[tuple[int, str, dict[str, Any], bool]]


class StandinStore:
    """In-memory object store with revisions, conditional writes and watches.

    Attributes for injecting faults: while ``down`` is set, every call fails with status 503.
    ``answers_to_lose`` is the number of further writes that are applied although their connection
    is closed without a response. A watch from a revision before ``oldest_revision`` fails with
    status 410, because that history has been discarded. ``restore`` returns to a copy of the
    content, which begins a new ``era``; all responses name it, unless it is 0.
    """

    def __init__(self) -> None:
        self.down = False
        self.answers_to_lose = 0
        self.oldest_revision = 0
        self.calls: list[tuple[str, str]] = []
        self.revision = 1
        self.era = 1
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle, host="127.0.0.1", port=0)

    async def start(self) -> str:
        """Start listening and return the address ``ip:port``."""
        await self._server.start()
        return self._server.address

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close(grace_s=0)

    async def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object unconditionally, as operators and servers do; return its revision."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 1, "finalizers": []}
        stored = {"meta": {**meta, "deleting": False}, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        await self._record_event(kind, stored, removed=False)
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object and report the removal to watches."""
        self.revision += 1
        await self._record_event(kind, self._objects.pop((kind, name)), removed=True)

    def make_copy(self) -> StandinCopy:
        """Return a copy of the present content."""
        return StandinCopy(self.revision, dict(self._objects), list(self._events))

    async def drill(self, copy: StandinCopy, away_s: float, rewrite_after_s: float) -> None:
        """Be away for some time, then come back from a copy.

        What operators and servers have written since is written again after ``rewrite_after_s``.
        """
        await self.go_down()
        await asyncio.sleep(away_s)
        before = dict(self._objects)
        self.restore(copy)
        self.down = False
        await asyncio.sleep(rewrite_after_s)
        for kind, name in sorted(before.keys() | copy.objects.keys()):
            old, new = before.get((kind, name)), self._objects.get((kind, name))
            is_lost = new is copy.objects.get((kind, name)) and new is not old
            if kind not in FOREIGN_KINDS or not is_lost:
                continue
            if old is None:
                await self.remove(kind, name)
            else:
                await self.write(kind, name, old["spec"])

    def restore(self, copy: StandinCopy) -> None:
        """Return to the content of a copy; what was written since is lost."""
        self.era += 1
        self.revision = copy.revision
        self.oldest_revision = min(self.oldest_revision, copy.revision)
        self._objects, self._events = dict(copy.objects), list(copy.events)

    async def go_down(self) -> None:
        """Fail all calls, also the watches that wait."""
        self.down = True
        async with self._changed:
            self._changed.notify_all()

    def spec(self, kind: str, name: str) -> Any:
        """Return the spec of an object, or None if there is none."""
        stored = self._objects.get((kind, name))
        return stored["spec"] if stored else None

    async def _record_event(self, kind: str, stored: dict[str, Any], removed: bool) -> None:
        async with self._changed:
            self._events.append((self.revision, kind, stored, removed))
            self._changed.notify_all()

    async def _handle(self, req: HttpRequest, responder: Responder) -> None:
        self.calls.append((req.method, req.target))
        res = HttpResponse(503) if self.down else await self._answer(req)
        if self.answers_to_lose and not self.down and req.method != "GET":
            self.answers_to_lose -= 1
            raise ConnectionResetError("injected fault: answer lost")
        era = (("Store-Era", str(self.era)),) if self.era else ()
        await responder.send(HttpResponse(res.status, (*res.headers, *era), res.body))

    async def _answer(self, req: HttpRequest) -> HttpResponse:
        kind, _, name = req.path.removeprefix(OBJECTS).partition("/")
        match req.method:
            case "GET" if "watch" in req.query:
                return await self._watch(kind, int(req.query["watch"]), int(req.query["wait_ms"]))
            case "GET" if name:
                stored = self._objects.get((kind, name))
                return HttpResponse.of_json(stored) if stored else HttpResponse(404)
            case "GET":
                items = [stored for (k, _), stored in sorted(self._objects.items()) if k == kind]
                page = {"items": items, "truncated": False, "as_of": self.revision}
                return HttpResponse.of_json(page)
            case "POST" | "PUT":
                return await self._write(req, kind, name)
            case _:
                return HttpResponse(405)

    async def _write(self, req: HttpRequest, kind: str, name: str) -> HttpResponse:
        body = json.loads(req.body)
        name = name or body["meta"]["name"]
        stored = self._objects.get((kind, name))
        expected = body["meta"].get("revision", 0) if req.method == "PUT" else 0
        if (stored["meta"]["revision"] if stored else 0) != expected:
            return HttpResponse.of_json(stored, status=409)
        await self.write(kind, name, body["spec"])
        return HttpResponse.of_json(self._objects[kind, name])

    async def _watch(self, kind: str, after: int, wait_ms: int) -> HttpResponse:
        if not self.oldest_revision <= after <= self.revision:
            return HttpResponse(410)
        try:
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(lambda: self.down or self._events_after(kind, after))
        except TimeoutError:
            pass
        if self.down:
            return HttpResponse(503)
        return HttpResponse.of_json(
            {"events": self._events_after(kind, after), "as_of": self.revision}
        )

    def _events_after(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            {"object": stored, "removed": removed}
            for revision, k, stored, removed in self._events
            if k == kind and revision > after
        ]
