"""Operator listener for tests, which runs in a thread because commands run their own loop."""

import asyncio
import threading

from result import Ok

from ...http import HttpServer
from ...objects import MemoryObjectStore
from ...settings import ConfigHolder, Explanation, NodeState, OperatorApi, StatusView


class OperatorServer:
    """Server of the operators' API for a simulated node with two peers.

    The live peer reports the new revision only after ``lag_polls`` status requests. The first
    ``lose_answers`` apply requests take effect, but their answers are lost.
    """

    def __init__(self) -> None:
        self.holder = ConfigHolder()
        self.store = MemoryObjectStore()
        self.lag_polls = 0
        self.lose_answers = 0
        self._api = OperatorApi("uy-sur", "secret", self.store, self.holder, self)
        self._server = HttpServer(self._handle, host="127.0.0.1", port=0)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._run_in_thread(self._server.start())
        self.address = self._server.address

    def close(self) -> None:
        """Stop the server and its thread."""
        self._run_in_thread(self._server.close(0))
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def status(self) -> StatusView:
        revision = self.holder.revision
        self.lag_polls -= 1
        peer_revision = revision - 1 if self.lag_polls >= 0 else revision
        nodes = (
            NodeState("n1", "montevideo-a", "live", revision),
            NodeState("n2", "montevideo-b", "live", peer_revision),
            NodeState("n3", "montevideo-b", "gone", 0),
        )
        return StatusView("n1", revision, nodes, (), {"refused.queue_full": 2})

    async def drain(self, name: str):
        return Ok("draining")

    def explain(self, request_id: str, model: str):
        return Explanation(model, ("resident on pampa-1",)) if model else None

    async def _handle(self, req, out) -> None:
        response = await self._api.handle(req)
        if req.path == "/config/apply" and self.lose_answers > 0:
            self.lose_answers -= 1
            raise ConnectionResetError
        await out.send(response)

    def _run_in_thread(self, coroutine) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)
