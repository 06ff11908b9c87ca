"""HTTP/1.1 server over asyncio streams."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import h11
import structlog

from ..eventloop import Work
from .address import peer_address
from .incoming_request import IncomingRequest
from .limits import HttpLimits
from .listener import Listener
from .message import HttpRequest
from .problem import ExecutionStatus, Problem
from .responder import Responder

__all__ = ["Handler", "HttpServer"]

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]

READ_BYTES = 64 * 1024

log = structlog.get_logger()


class HttpServer:
    """A server that passes all requests on one address to a handler.

    The handler's task is cancelled when the caller closes its connection. ``close`` stops
    accepting connections, waits for the exchanges in flight and then closes idle connections.

    >>> async def hello(req, out):
    ...     await out.send(HttpResponse(200, (), b"hello"))
    >>> server = HttpServer(hello, host="127.0.0.1", port=0)
    """

    def __init__(
        self, handler: Handler, *, host: str, port: int, limits: HttpLimits | None = None
    ) -> None:
        self._handler = handler
        self._host = host
        self._port = port
        self._limits = limits or HttpLimits()
        self._listener = Listener(self._make_protocol, self._make_room)
        # In the order of their last request, so that the first one has made least progress.
        self._conn_tasks: dict[asyncio.Task[None], None] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._closing = False

    @property
    def port(self) -> int:
        """The port in use; port 0 is replaced by the port that the kernel assigns."""
        return self._port

    @property
    def address(self) -> str:
        """The address in use as ``host:port``."""
        return f"{self._host}:{self._port}"

    @property
    def busy(self) -> int:
        """The number of exchanges in flight."""
        return len(self._handler_tasks)

    async def start(self) -> None:
        """Bind the address and start accepting connections."""
        self._port = self._listener.start(self._host, self._port)

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(), self._accept)

    def _make_room(self) -> bool:
        """Return True, after ending the connection whose last request is oldest if necessary."""
        limit = self._limits.max_connections
        if limit is not None and len(self._conn_tasks) >= limit:
            task = next(iter(self._conn_tasks))
            del self._conn_tasks[task]
            task.cancel()
        return True

    async def close(self, grace_s: float | None = None) -> None:
        """Stop accepting, wait up to ``grace_s`` for exchanges in flight, then close the rest.

        ``None`` waits without a limit.
        """
        self._closing = True
        self._listener.close()
        if self._handler_tasks and grace_s != 0:
            await asyncio.wait(set(self._handler_tasks), timeout=grace_s)
        for task in set(self._conn_tasks):
            task.cancel()
        if self._conn_tasks:
            await asyncio.wait(set(self._conn_tasks), timeout=1.0)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._conn_tasks[task] = None
        peer = peer_address(writer.transport)
        try:
            await self._serve(reader, writer, peer)
        except (ConnectionError, asyncio.CancelledError, TimeoutError):
            pass
        except Exception as exc:
            log.error("connection failed", step="serve", peer=peer, exc_info=exc)
        finally:
            self._conn_tasks.pop(task, None)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: str
    ) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes)
        while True:
            try:
                req = await self._read_request(conn, reader, peer)
            except h11.RemoteProtocolError as exc:
                await self._refuse(conn, writer, exc)
                return
            if req is None:
                return
            if not await self._answer(conn, req, reader, writer):
                return
            conn.start_next_cycle()
            task = asyncio.current_task()
            if task in self._conn_tasks:
                del self._conn_tasks[task]
                self._conn_tasks[task] = None

    async def _read_request(
        self, conn: h11.Connection, reader: asyncio.StreamReader, peer: str
    ) -> HttpRequest | None:
        incoming = IncomingRequest(conn, peer, self._limits.max_body_bytes)
        work = Work("http", incoming.parse, lambda: peer)
        loop = asyncio.get_running_loop()
        began = False
        deadline = loop.time() + self._limits.idle_timeout_s
        while True:
            async with asyncio.timeout_at(deadline):
                await work.run()
                if not incoming.needs_data:
                    return incoming.request
                conn.receive_data(await reader.read(READ_BYTES))
            if not began:
                began = True
                deadline = loop.time() + self._limits.request_timeout_s

    async def _refuse(
        self, conn: h11.Connection, writer: asyncio.StreamWriter, exc: h11.RemoteProtocolError
    ) -> None:
        status = exc.error_status_hint
        reason = {413: "body_too_large", 431: "headers_too_large"}.get(status, "malformed_http")
        response = Problem(
            status, reason, ExecutionStatus.NO, str(exc), step="read_request"
        ).to_response()
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await Responder(conn, writer, close=True).send(response)

    async def _answer(
        self,
        conn: h11.Connection,
        req: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run the handler; return whether the connection can carry another request."""
        out = Responder(conn, writer, close=self._closing)
        task = asyncio.ensure_future(self._run_handler(req, out))
        self._handler_tasks.add(task)
        hangup = asyncio.ensure_future(self._watch_hangup(conn, reader))
        try:
            await asyncio.wait({task, hangup}, return_when=asyncio.FIRST_COMPLETED)
            if not task.done() and hangup.result():
                task.cancel()
            await asyncio.wait({task})
        finally:
            self._handler_tasks.discard(task)
            task.cancel()
            hangup.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await hangup
        reusable = out.finished and conn.our_state is h11.DONE and conn.their_state is h11.DONE
        return reusable and not self._closing and not reader.at_eof()

    async def _watch_hangup(self, conn: h11.Connection, reader: asyncio.StreamReader) -> bool:
        """Return True when the caller closes the connection, False when it sends more data."""
        data = await reader.read(READ_BYTES)
        if data:
            conn.receive_data(data)
        return not data

    async def _run_handler(self, req: HttpRequest, out: Responder) -> None:
        try:
            await self._handler(req, out)
        except ConnectionError:
            return
        except Exception as exc:
            log.error("handler failed", step="handle", peer=req.peer, exc_info=exc)
            if not out.started:
                detail = "the handler failed; see the log"
                problem = Problem(500, "internal_error", ExecutionStatus.UNKNOWN, detail)
                await out.send(problem.to_response())
