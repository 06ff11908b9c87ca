"""Stand-in for an engine that runs as a process of its own, and may send bytes without end.

It answers reports and orders as a sound engine does. To a request it sends the head of a stream.
A sound one sends ten events after it and ends the stream; one in trouble sends the same bytes again
and again until the caller closes the connection. The first line of its output is its port.
"""

import argparse
import asyncio

MODEL = b'{"name":"%s","version":1,"adapters":[]}'
REPORT = b'{"stage":"unified","models":[%s],"busy":false,"sequence":0,"queued":0,"active":0}'
HEAD = (
    b"HTTP/1.1 200 OK\r\nEelgrassferry-Request-Id: %s\r\nEelgrassferry-Server-Seal: 3e1b.07\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class Engine:
    """One engine; ``piece`` is sent every ``pause_s`` seconds without end, if it is not empty."""

    def __init__(self, model: str, piece: bytes, pause_s: float) -> None:
        self._report = REPORT % (MODEL % model.encode())
        self._piece = piece
        self._pause_s = pause_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
        )
        await reader.readexactly(int(fields.get(b"content-length", 0)))
        path = head.split()[1]
        if path == b"/eelgrassferry/report":
            size = b"Content-Length: %d\r\n\r\n" % len(self._report)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
            writer.write(size + self._report)
        elif path == b"/eelgrassferry/order":
            writer.write(b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
        else:
            writer.write(HEAD % fields[b"eelgrassferry-request-id"])
            await self._send_body(writer)
        await writer.drain()

    async def _send_body(self, writer: asyncio.StreamWriter) -> None:
        while self._piece:
            writer.write(self._piece)
            await writer.drain()
            await asyncio.sleep(self._pause_s)
        for number in range(1, 11):
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--model", required=True)
    parser.add_argument("--piece", default="", help="with escapes such as \\r\\n; empty: sound")
    parser.add_argument("--repeat", type=int, default=1, help="how often one write has the piece")
    parser.add_argument("--pause-s", type=float, default=0.0)
    options = parser.parse_args()
    piece = options.piece.encode().decode("unicode_escape").encode("latin-1") * options.repeat
    engine = Engine(options.model, piece, options.pause_s)
    server = await asyncio.start_server(engine.serve, "127.0.0.1", 0, backlog=400)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
