"""HTTP/1.1 client over asyncio streams with a connection pool for each peer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import h11
from result import Err, Ok, Result

from ..eventloop import Work
from .address import split_address
from .answer_framing import MAX_STATUS, ends_with_connection
from .liveness import set_liveness_options
from .message import Headers, HttpResponse, find_header
from .reset import reset_connection
from .sent_check import SENT_CHECK_INTERVAL_S, SentCheck

__all__ = ["HttpClient", "HttpError", "HttpStream"]

READ_BYTES = 64 * 1024
MAX_IDLE_PER_PEER = 16
MAX_HEADER_BYTES = 64 * 1024
# A peer that sends more informational responses before its response is broken.
MAX_INFORMATIONAL_RESPONSES = 20


@dataclass(frozen=True)
class HttpError:
    """A failed request.

    ``sent`` is False only if no byte of the request can have reached the peer.
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
    # Whether the response in progress has neither a length nor chunks.
    ends_with_connection: bool = False


class HttpStream:
    """A response whose body is read in parts.

    ``close`` before the end of the body closes the connection.
    """

    def __init__(
        self, client: "HttpClient", peer: str, conn: _Conn, status: int, headers: Headers
    ) -> None:
        self._client = client
        self._conn = conn
        self._is_done = False
        self._is_complete = False
        self._needs_data = False
        self._parts: list[bytes] = []
        self._work = Work("http", self._parse, lambda: peer)
        self.peer = peer
        self.status = status
        self.headers = headers

    def header(self, name: str) -> str | None:
        """Return the first value of the header ``name`` (in lower case), or None."""
        return find_header(self.headers, name)

    async def read(self) -> Result[bytes, HttpError]:
        """Return the next part of the body; an empty part marks the end."""
        # The connection was returned to the pool with the last part and may be in use by another
        # request.
        if self._is_done:
            return Ok(b"") if self._is_complete else self._fail("the stream was closed early")
        try:
            while True:
                await self._work.run()
                if self._is_done:
                    return self._fail("the stream was closed early")
                if self._is_complete:
                    self._is_done = True
                    self._client._release(self.peer, self._conn)
                if self._parts or self._is_done or not self._needs_data:
                    return Ok(self._pop_parts())
                data = await self._conn.reader.read(READ_BYTES)
                if not data and self._conn.ends_with_connection:
                    failure = await self._wait_until_sent()
                    if failure:
                        return self._fail(failure)
                self._conn.h11.receive_data(data)
                self._needs_data = False
        except (OSError, h11.ProtocolError) as exc:
            return self._fail(str(exc) or type(exc).__name__)

    async def _wait_until_sent(self) -> str:
        """Wait until the peer has taken the request; return why it does not, or ""."""
        check = SentCheck(self._conn.writer.transport)
        while not check.is_sent:
            await asyncio.sleep(SENT_CHECK_INTERVAL_S)
            if failure := check.find_failure():
                return failure
        return ""

    def _parse(self, limit: int) -> bool:
        """Parse up to ``limit`` events and return whether there are more."""
        # After NEED_DATA, h11 has no further event until it receives more data.
        for _ in range(0 if self._needs_data else limit):
            event = self._conn.h11.next_event()
            if isinstance(event, h11.Data):
                self._parts.append(bytes(event.data))
                continue
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("the peer closed the connection")
            self._needs_data = event is h11.NEED_DATA
            self._is_complete = isinstance(event, h11.EndOfMessage)
            return False
        return not self._needs_data

    def _pop_parts(self) -> bytes:
        parts, self._parts = self._parts, []
        return b"".join(parts)

    async def read_all(self) -> Result[bytes, HttpError]:
        """Return the rest of the body."""
        body = bytearray()
        while not self._is_done:
            part = await self.read()
            match part:
                case Err():
                    return part
                case Ok(data):
                    body += data
        return Ok(bytes(body))

    def close(self) -> None:
        """Discard the rest of the body and close the connection."""
        if not self._is_done:
            self._is_done = True
            self._conn.writer.close()

    def abort(self) -> None:
        """Abort the connection and drop unsent data.

        A pending read fails in the next iteration of the event loop.
        """
        # A connection that was returned to the pool may be in use by another request.
        if not self._is_done:
            self._is_done = True
            self._conn.writer.transport.abort()

    def _fail(self, detail: str) -> Err[HttpError]:
        self.close()
        return Err(HttpError("receive_body", self.peer, True, detail))


class HttpClient:
    """A client that sends requests to peers (``host:port``) and reuses idle connections.

    The Host header is the address of the peer unless the headers of the request contain one.

    A request that is cancelled or has timed out resets its connection, so that its bytes do not
    reach the peer later.

    ``new_connection=True`` opens a new connection, so that a request that must not be repeated
    cannot fail on an idle connection that the peer has closed.

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
        new_connection: bool = False,
        guard: Callable[[], bool] | None = None,
    ) -> Result[HttpResponse, HttpError]:
        """Send a request and return the whole response, within ``timeout_s`` seconds."""
        stream: HttpStream | None = None
        try:
            async with asyncio.timeout(timeout_s):
                opened = await self.open(
                    peer,
                    method,
                    target,
                    headers=headers,
                    body=body,
                    new_connection=new_connection,
                    guard=guard,
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
        new_connection: bool = False,
        guard: Callable[[], bool] | None = None,
    ) -> Result[HttpStream, HttpError]:
        """Send a request and return when the head of the response has arrived.

        ``guard`` is called once a connection is available, in the same step of the event loop in
        which the request is written. If it returns False, nothing is sent and the ``step`` of the
        error is ``guard``.
        """
        acquired = await self._acquire(peer, new_connection)
        if isinstance(acquired, Err):
            return acquired
        conn = acquired.ok_value
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
            # A request that was given up must not reach the peer later.
            reset_connection(conn.writer.transport)
            raise
        return Ok(HttpStream(self, peer, conn, status, received))

    async def _read_head(self, conn: _Conn) -> tuple[int, Headers]:
        informational_responses = 0
        while informational_responses <= MAX_INFORMATIONAL_RESPONSES:
            event = conn.h11.next_event()
            if event is h11.NEED_DATA:
                conn.h11.receive_data(await conn.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise h11.RemoteProtocolError(f"status {event.status_code}")
                conn.ends_with_connection = ends_with_connection(event)
                pairs = tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers)
                return event.status_code, pairs
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("the peer closed the connection")
            elif isinstance(event, h11.InformationalResponse):
                informational_responses += 1
        raise h11.RemoteProtocolError("too many informational responses")

    async def _acquire(self, peer: str, new_connection: bool) -> Result[_Conn, HttpError]:
        idle = self._idle.get(peer, [])
        while idle and not new_connection:
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
        # Bytes behind the response belong to no request.
        if (
            not reusable
            or state.trailing_data[0]
            or conn.reader.at_eof()
            or len(idle) >= MAX_IDLE_PER_PEER
        ):
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
