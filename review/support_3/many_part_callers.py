"""Callers whose requests have very many prompt parts, as a process of its own.

Arguments: the node's address, the number of callers, the parts of a prompt and for how long they
send, in seconds. Each caller sends a request, reads the answer and sends the next one on a new
connection. Prints how many answers had which status.

PAGES-NEWS.md: "Some clients don't behave. What they sent: [...] requests that are legal in size but
made of very many short fields".
"""

import asyncio
import collections
import sys

HOST = "calls.example"
DEADLINE_MS = 4000
# Part ids of one caller begin at a multiple of this number, so that no two requests share parts.
IDS = 1 << 20


def encode(request_id: str, first_id: int, parts: int) -> bytes:
    """Return a request; with 2,000 parts, its head has some 16,000 bytes."""
    prompt = ",".join(f"{(first_id + number) % IDS:x}:1" for number in range(parts))
    return (
        f"POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n"
        f"Eelgrassferry-Request-Id: {request_id}\r\nEelgrassferry-Model: m0\r\n"
        f"Eelgrassferry-Token-Counts: 2000,5\r\nEelgrassferry-Prompt-Prefix: {prompt}\r\n"
        f"Eelgrassferry-Deadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n\r\ntext"
    ).encode()


async def ask(address: str, request: bytes) -> str:
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request)
                answer = await reader.read()
                return answer[9:12].decode("latin-1") or "closed"
            finally:
                writer.close()
    except (OSError, TimeoutError) as exc:
        return type(exc).__name__


async def main() -> None:
    address, callers, parts = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    loop = asyncio.get_running_loop()
    until, answers = loop.time() + float(sys.argv[4]), collections.Counter[str]()

    async def call(number: int) -> None:
        count = 0
        while loop.time() < until:
            count += 1
            first_id = (number + callers * count) * parts
            answers[await ask(address, encode(f"p{number}-{count}", first_id, parts))] += 1
            await asyncio.sleep(0.05)

    await asyncio.gather(*(call(number) for number in range(callers)))
    print(dict(answers), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
