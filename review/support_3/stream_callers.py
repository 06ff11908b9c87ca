"""Callers of streams, as a process of its own.

Arguments: the node's address, the number of callers and for how long they send, in seconds. A
caller abandons a stream after PATIENCE_S without an event, as PROTOCOL.md says ("after a gap of two
seconds, four times the objective or eight times that pause, whichever is longest"), and then
asks again. Prints a line for each stream that has ended.
"""

import asyncio
import sys

HOST = "calls.example"
# Eight times the longest pause of 300 ms.
PATIENCE_S = 2.4
DEADLINE_MS = 12_000


async def ask(address: str, request_id: str) -> str:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    received = 0
    try:
        writer.write(
            f"POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n"
            f"Eelgrassferry-Request-Id: {request_id}\r\nEelgrassferry-Model: m0\r\n"
            f"Eelgrassferry-Token-Counts: 10,5\r\nEelgrassferry-Deadline-Ms: {DEADLINE_MS}\r\n"
            "Connection: close\r\n\r\ntext".encode()
        )
        loop = asyncio.get_running_loop()
        event_at, tail = loop.time(), b""
        while loop.time() - event_at < PATIENCE_S:
            async with asyncio.timeout_at(event_at + PATIENCE_S):
                data = await reader.read(1 << 20)
            if not data:
                return f"{request_id} ended after {received} bytes"
            received += len(data)
            if b"data:" in tail + data:
                event_at = loop.time()
            tail = data[-4:]
        return f"{request_id} abandoned after {received} bytes"
    except TimeoutError:
        return f"{request_id} abandoned after {received} bytes"
    except ConnectionError as exc:
        return f"{request_id} broken after {received} bytes: {exc}"
    finally:
        writer.transport.abort()


async def call(address: str, number: int, until: float) -> None:
    loop, count = asyncio.get_running_loop(), 0
    while loop.time() < until:
        count += 1
        try:
            print(await ask(address, f"s{number}-{count}"), flush=True)
        except OSError as exc:
            print(f"s{number}-{count} not sent: {exc}", flush=True)
        await asyncio.sleep(0.1)


async def main() -> None:
    address, callers, for_s = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    until = asyncio.get_running_loop().time() + for_s
    await asyncio.gather(*(call(address, number, until) for number in range(callers)))


if __name__ == "__main__":
    asyncio.run(main())
