"""Model server as a process of its own that a part of a prompt crashes.

Arguments: its address, or the IP alone for a free port, and the part that crashes it ("-" for
none). Prints its address.

PAGES-NEWS.md: "One part of a prompt (`Eelgrassferry-Prompt-Prefix`; never the last) may crash each
server that begins to write an answer on it, whatever else the request holds".
"""

import asyncio
import json
import os
import sys

SEAL = "Eelgrassferry-Server-Seal: 3e1b.07\r\n"
# Time from the arrival of a request to its first event.
PREFILL_S = 0.1
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


async def serve(address: str, part: str) -> None:
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
                await asyncio.sleep(PREFILL_S)
                prompt = headers.get("eelgrassferry-prompt-prefix", "").split(",")
                if part in [item.partition(":")[0] for item in prompt[:-1]]:
                    os._exit(1)
                writer.write(
                    "HTTP/1.1 200 OK\r\n"
                    f"Eelgrassferry-Request-Id: {headers.get('eelgrassferry-request-id', '')}\r\n"
                    f"{SEAL}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode()
                )
                for number in range(1, EVENTS + 1):
                    writer.write(f"id: {number}\ndata: text\n\n".encode())
                    await asyncio.sleep(EVENT_PAUSE_S)
                return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    host, _, port = address.partition(":")
    server = await asyncio.start_server(answer, host, int(port or 0))
    host, port = server.sockets[0].getsockname()
    print(f"{host}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2]))
