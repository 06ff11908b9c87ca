"""Model server as a process of its own, whose streams may go on without end.

Arguments: the fault, "lines" (empty lines without end) or "none", and the bytes a second that all
its streams send together at most. Prints its address.

PAGES-NEWS.md: "About servers in trouble: bytes that are no answer may also come without end, in a
head or a body, until the caller closes."
"""

import asyncio
import json
import sys

SEAL = "Eelgrassferry-Server-Seal: 3e1b.07\r\n"
EVENTS = 8
EVENT_PAUSE_S = 0.02
REPORT = {
    "stage": "unified",
    "models": [{"name": "m0", "version": 1, "adapters": []}],
    "busy": False,
    "sequence": 0,
    "queued": 0,
    "active": 0,
}


class Link:
    """Paces what all connections send together."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + len(data) / self._bytes_per_s
        if self._free_at - now > 0.001:
            await asyncio.sleep(self._free_at - now)
        writer.write(data)
        await writer.drain()


async def serve(fault: str, bytes_per_s: float) -> None:
    link = Link(bytes_per_s)

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                pairs = (line.split(": ", 1) for line in lines[1:] if ": " in line)
                headers = {name.lower(): value for name, value in pairs}
                await reader.readexactly(int(headers.get("content-length", 0)))
                if "/eelgrassferry/report" in lines[0]:
                    body = json.dumps(REPORT)
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
                    )
                    continue
                request_id = headers.get("eelgrassferry-request-id", "")
                writer.write(
                    f"HTTP/1.1 200 OK\r\nEelgrassferry-Request-Id: {request_id}\r\n{SEAL}"
                    "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode()
                )
                for number in range(1, EVENTS + 1):
                    writer.write(f"id: {number}\ndata: text\n\n".encode())
                    await asyncio.sleep(EVENT_PAUSE_S)
                while fault == "lines":
                    await link.send(writer, b"\n" * 65536)
                return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    print(f"{host}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], float(sys.argv[2])))
