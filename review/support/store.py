"""Stand-in for the platform's store."""

from eelgrassferry.http import HttpRequest, HttpResponse, Responder
from eelgrassferry.platform.tests.standin_store import OBJECTS, StandinStore

__all__ = ["UNREADABLE", "Store"]

# A value of an entry that the store sends as the JSON number ``1e999``, which no double can hold.
UNREADABLE = float("inf")


class _Answers:
    """Responder that writes ``UNREADABLE`` as a number which is valid JSON."""

    def __init__(self, responder: Responder) -> None:
        self._responder = responder

    async def send(self, res: HttpResponse) -> None:
        body = res.body.replace(b"Infinity", b"1e999")
        await self._responder.send(HttpResponse(res.status, res.headers, body))


class Store(StandinStore):
    """The project's stand-in, with removals of objects as on the users' pages."""

    async def _handle(self, req: HttpRequest, responder: Responder) -> None:
        answers = _Answers(responder)
        if req.method != "DELETE" or self.down:
            await super()._handle(req, answers)
            return
        self.calls.append((req.method, req.target))
        kind, _, name = req.path.removeprefix(OBJECTS).partition("/")
        stored = self._objects.get((kind, name))
        if stored is None:
            await answers.send(HttpResponse(404))
            return
        revision = stored["meta"]["revision"]
        if int(req.query.get("revision", revision)) != revision:
            await answers.send(HttpResponse.of_json(stored, status=409))
        else:
            await self.remove(kind, name)
            await answers.send(HttpResponse.of_json(stored))
