"""Tests of the client and the server with each other over loopback."""

import asyncio
import unittest

from result import Err, Ok

from .. import HttpClient, HttpLimits, HttpResponse, HttpServer


async def echo(req, out):
    """Respond with the body of the request."""
    await out.send(HttpResponse(200, (), req.body))


async def send_raw(server: HttpServer, data: bytes) -> bytes:
    """Send raw bytes and return everything the server sends until it closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    answer = await reader.read()
    writer.close()
    return answer


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """One server with small limits and one client."""

    async def start(self, handler) -> HttpServer:
        limits = HttpLimits(max_header_bytes=1024, max_body_bytes=2048)
        server = HttpServer(handler, host="127.0.0.1", port=0, limits=limits)
        await server.start()
        self.addAsyncCleanup(server.close, 0)
        return server

    async def test_connection_is_reused(self):
        """Guards against returning the response to another request on a pooled connection."""
        server = await self.start(echo)
        client = HttpClient()
        self.addCleanup(client.close)
        for number in range(5):
            body = str(number).encode()
            res = await client.request(server.address, "POST", "/", body=body)
            self.assertEqual(res.unwrap().body, body)

    async def test_read_after_the_end_returns_an_empty_part(self):
        """Guards against reading from a connection that was already returned to the pool."""
        server = await self.start(echo)
        client = HttpClient()
        self.addCleanup(client.close)
        stream = (await client.open(server.address, "POST", "/", body=b"whole")).unwrap()
        self.assertEqual(await stream.read(), Ok(b"whole"))
        async with asyncio.timeout(5):
            self.assertEqual(await stream.read(), Ok(b""))
            closed = (await client.open(server.address, "POST", "/", body=b"cut")).unwrap()
            closed.close()
            self.assertTrue((await closed.read()).is_err())

    async def test_parts_of_a_stream_arrive_as_they_are_written(self):
        """Guards against a read that waits for more data or loses a part already received."""
        release = asyncio.Event()

        async def stream_parts(req, out):
            await out.start(200, (), b"first")
            await release.wait()
            await out.write(b"second\ndata")
            await asyncio.sleep(0.02)
            await out.finish(b"last")

        server = await self.start(stream_parts)
        client = HttpClient()
        self.addCleanup(client.close)
        for _ in range(2):
            release.clear()
            stream = (await client.open(server.address, "GET", "/")).unwrap()
            async with asyncio.timeout(5):
                self.assertEqual(await stream.read(), Ok(b"first"))
                release.set()
                self.assertEqual((await stream.read_all()).unwrap(), b"second\ndatalast")

    async def test_whole_response_arrives_in_one_segment(self):
        """Guards against separate system calls for the head, the body and the end."""
        server = await self.start(echo)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        self.addCleanup(writer.close)
        for _ in range(3):
            writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody")
            self.assertTrue((await reader.read(65536)).endswith(b"\r\n\r\nbody"))

    async def test_refused_connection_counts_as_not_sent(self):
        """Guards against reporting a request as possibly sent that never left the node."""
        server = await self.start(echo)
        await server.close(0)
        res = await HttpClient().request(server.address, "GET", "/")
        match res:
            case Err(error):
                self.assertEqual((error.step, error.sent), ("connect", False))
            case Ok():
                self.fail("the request was answered by a closed server")

    async def test_bad_input_is_refused_with_a_problem(self):
        """Guards against malformed or oversized requests that hang or crash the server."""
        server = await self.start(echo)
        cases = {
            b"nonsense\r\n\r\n": b"malformed_http",
            b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 4096: b"headers_too_large",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999\r\n\r\n"
            + b"z" * 9999: b"body_too_large",
        }
        for data, reason in cases.items():
            self.assertIn(reason, await send_raw(server, data))

    async def test_hangup_cancels_the_handler(self):
        """Guards against continuing work for a caller that has disconnected."""
        started, cancelled = asyncio.Event(), asyncio.Event()

        async def wait_forever(req, out):
            started.set()
            try:
                await asyncio.sleep(60)
            finally:
                cancelled.set()

        server = await self.start(wait_forever)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        await started.wait()
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 5)

    async def test_close_waits_for_exchanges_in_flight(self):
        """Guards against a graceful stop that truncates a response."""
        started, release = asyncio.Event(), asyncio.Event()

        async def slow(req, out):
            started.set()
            await release.wait()
            await out.send(HttpResponse(200, (), b"whole"))

        server = await self.start(slow)
        fut = asyncio.ensure_future(HttpClient().request(server.address, "GET", "/"))
        await started.wait()
        closing = asyncio.ensure_future(server.close())
        await asyncio.sleep(0)
        release.set()
        await closing
        self.assertEqual((await fut).unwrap().body, b"whole")
