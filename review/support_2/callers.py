"""A small caller that speaks HTTP/1.1 on a connection of its own for each request."""

import asyncio
import time
from dataclasses import dataclass, field

from .fleet import HOST, Node

__all__ = ["Answer", "call"]


@dataclass
class Answer:
    """What a caller has seen: the status (0 for none), the body and the times in seconds."""

    status: int = 0
    body: bytes = b""
    complete: bool = False
    took_s: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)
    error: str = ""


async def call(
    node: Node,
    path: str,
    request_id: str,
    wait_s: float,
    model: str = "",
    body: bytes = b"text",
    deadline_ms: int = 0,
    read_bytes: int = 1 << 20,
) -> Answer:
    """Send a request and read its answer for up to ``wait_s`` seconds, then close."""
    answer, started = Answer(), time.monotonic()
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Eelgrassferry-Request-Id: {request_id}",
        f"Eelgrassferry-Deadline-Ms: {deadline_ms or round(wait_s * 1000)}",
        f"Content-Length: {len(body)}",
    ]
    if model:
        lines += [f"Eelgrassferry-Model: {model}", "Eelgrassferry-Token-Counts: 100,20"]
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(node.ip, node.front)
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await _read(reader, answer, read_bytes)
            finally:
                writer.transport.abort()
    except TimeoutError:
        answer.error = "no complete answer in time"
    except (OSError, ValueError, asyncio.IncompleteReadError) as exc:
        answer.error = repr(exc)
    answer.took_s = time.monotonic() - started
    return answer


async def _read(reader: asyncio.StreamReader, answer: Answer, read_bytes: int) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split()[1])
    pairs = (line.split(":", 1) for line in head[1:] if ":" in line)
    answer.headers = {name.lower(): value.strip() for name, value in pairs}
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.complete = True
        return
    parts, size = [], 0
    while True:
        length = int(await reader.readline() or b"x", 16)
        part = await reader.readexactly(length + 2)
        if not length:
            answer.complete = True
            break
        size += length
        if size < read_bytes:
            parts.append(part[:-2])
    answer.body = b"".join(parts)
