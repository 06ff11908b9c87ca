"""HTTP/1.1 client over asyncio streams with a pool of connections for each peer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import h11
from result import Err, Ok, Result

from .address import split_address
from .liveness import set_liveness_options
from .message import Headers, HttpResponse, find_header

__all__ = ["HttpClient", "HttpError", "HttpStream"]

READ_BYTES = 64 * 1024
MAX_IDLE_PER_PEER = 16
MAX_HEADER_BYTES = 64 * 1024


@dataclass(frozen=True)
class HttpError:
    """A failed exchange.

    ``sent`` is False only where no byte of the request can have reached the peer.
    """

    step: str
    peer: str
    sent: bool
    detail: str


@dataclass
class _Conn:
    h11: h11.Connection
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class HttpStream:
    """A response whose body is read in parts. Closing early closes the connection."""

    def __init__(
        self, client: "HttpClient", peer: str, conn: _Conn, status: int, headers: Headers
    ) -> None:
        self._client = client
        self._conn = conn
        self._done = False
        self._complete = False
        self._needs_data = False
        self.peer = peer
        self.status = status
        self.headers = headers

    def header(self, name: str) -> str | None:
        """Return the first value of a header given in lower case, or None."""
        return find_header(self.headers, name)

    async def read(self) -> Result[bytes, HttpError]:
        """Return the next part of the body; an empty part is the end."""
        # The connection went back to the pool with the last part, and may carry another request.
        if self._done:
            return Ok(b"") if self._complete else self._fail("the stream was closed early")
        parts: list[bytes] = []
        try:
            while True:
                # After NEED_DATA, h11 has nothing new until it has received more.
                event = h11.NEED_DATA if self._needs_data else self._conn.h11.next_event()
                if event is h11.NEED_DATA:
                    self._needs_data = True
                    if parts:
                        return Ok(b"".join(parts))
                    data = await self._conn.reader.read(READ_BYTES)
                    self._needs_data = False
                    self._conn.h11.receive_data(data)
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._done = self._complete = True
                    self._client._release(self.peer, self._conn)
                    return Ok(b"".join(parts))
                elif isinstance(event, h11.ConnectionClosed):
                    return self._fail("the peer closed the connection")
                elif event is h11.PAUSED:
                    return Ok(b"".join(parts))
        except (OSError, h11.ProtocolError) as exc:
            return self._fail(str(exc) or type(exc).__name__)

    async def read_all(self) -> Result[bytes, HttpError]:
        """Return the whole body."""
        body = bytearray()
        while not self._done:
            part = await self.read()
            match part:
                case Err():
                    return part
                case Ok(data):
                    body += data
        return Ok(bytes(body))

    def close(self) -> None:
        """Give up the rest of the body."""
        if not self._done:
            self._done = True
            self._conn.writer.close()

    def abort(self) -> None:
        """Give up at once and drop unsent data; a read that waits fails in the next loop step."""
        # A connection that went back to the pool may carry another request.
        if not self._done:
            self._done = True
            self._conn.writer.transport.abort()

    def _fail(self, detail: str) -> Err[HttpError]:
        self.close()
        return Err(HttpError("receive_body", self.peer, True, detail))


class HttpClient:
    """Sends requests to peers named ``host:port`` and keeps idle connections.

    The Host header names the peer, unless the headers of a request have one.

    ``fresh=True`` opens a new connection, so that a request that may not be repeated never fails
    on a connection the peer had closed while it was idle.

    >>> client = HttpClient()
    >>> # res = await client.request("127.0.0.1:80", "GET", "/healthz")
    """

    def __init__(self, connect_timeout_s: float = 2.0) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[_Conn]] = {}

    async def request(
        self,
        peer: str,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_s: float = 10.0,
        fresh: bool = False,
        guard: Callable[[], bool] | None = None,
    ) -> Result[HttpResponse, HttpError]:
        """Send a request and return its whole response, within ``timeout_s`` seconds."""
        stream: HttpStream | None = None
        try:
            async with asyncio.timeout(timeout_s):
                opened = await self.open(
                    peer, method, target, headers=headers, body=body, fresh=fresh, guard=guard
                )
                if isinstance(opened, Err):
                    return opened
                stream = opened.ok_value
                read = await stream.read_all()
        except TimeoutError:
            return Err(HttpError("timeout", peer, True, f"no answer within {timeout_s} s"))
        finally:
            if stream is not None:
                stream.close()
        return read.map(lambda data: HttpResponse(stream.status, stream.headers, data))

    async def open(
        self,
        peer: str,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        fresh: bool = False,
        guard: Callable[[], bool] | None = None,
    ) -> Result[HttpStream, HttpError]:
        """Send a request and return once the response's head has arrived.

        ``guard`` is asked in the loop step in which the request is written, after a connection
        was found; where it says no, nothing is sent and the error's step is ``guard``.
        """
        taken = await self._acquire(peer, fresh)
        if isinstance(taken, Err):
            return taken
        conn = taken.ok_value
        if guard is not None and not guard():
            self._release_unused(peer, conn)
            return Err(HttpError("guard", peer, False, "not sent: the guard said no"))
        length = ("content-length", str(len(body)))
        host = () if find_header(headers, "host") else (("host", peer),)
        head = h11.Request(method=method, target=target, headers=[*host, length, *headers])
        step = "send"
        try:
            data = conn.h11.send(head)
            if body:
                data += conn.h11.send(h11.Data(data=body))
            data += conn.h11.send(h11.EndOfMessage()) or b""
            conn.writer.write(data)
            await conn.writer.drain()
            step = "receive_head"
            status, received = await self._read_head(conn)
        except h11.LocalProtocolError as exc:
            conn.writer.close()
            return Err(HttpError("encode", peer, False, str(exc)))
        except (OSError, h11.RemoteProtocolError) as exc:
            conn.writer.close()
            return Err(HttpError(step, peer, True, str(exc) or type(exc).__name__))
        except BaseException:
            conn.writer.close()
            raise
        return Ok(HttpStream(self, peer, conn, status, received))

    async def _read_head(self, conn: _Conn) -> tuple[int, Headers]:
        while True:
            event = conn.h11.next_event()
            if event is h11.NEED_DATA:
                conn.h11.receive_data(await conn.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                pairs = tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers)
                return event.status_code, pairs
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("the peer closed the connection")

    async def _acquire(self, peer: str, fresh: bool) -> Result[_Conn, HttpError]:
        idle = self._idle.get(peer, [])
        while idle and not fresh:
            conn = idle.pop()
            if not conn.reader.at_eof() and not conn.writer.is_closing():
                return Ok(conn)
            conn.writer.close()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await asyncio.open_connection(*split_address(peer))
        except (OSError, ValueError) as exc:
            detail = str(exc) or type(exc).__name__
            return Err(HttpError("connect", peer, False, detail))
        set_liveness_options(writer.transport)
        protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        return Ok(_Conn(protocol, reader, writer))

    def _release(self, peer: str, conn: _Conn) -> None:
        state = conn.h11
        idle = self._idle.setdefault(peer, [])
        reusable = state.our_state is h11.DONE and state.their_state is h11.DONE
        if not reusable or conn.reader.at_eof() or len(idle) >= MAX_IDLE_PER_PEER:
            conn.writer.close()
            return
        state.start_next_cycle()
        idle.append(conn)

    def _release_unused(self, peer: str, conn: _Conn) -> None:
        idle = self._idle.setdefault(peer, [])
        if len(idle) >= MAX_IDLE_PER_PEER:
            conn.writer.close()
        else:
            idle.append(conn)

    def close(self) -> None:
        """Close all idle connections."""
        for conns in self._idle.values():
            for conn in conns:
                conn.writer.close()
        self._idle.clear()
