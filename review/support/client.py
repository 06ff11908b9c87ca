"""Client of the platform that sends one request on a new connection."""

import asyncio
import itertools
import time
from dataclasses import dataclass

import h11

__all__ = ["HOST", "Answer", "send"]

HOST = "calls.example"
numbers = itertools.count(1)


@dataclass
class Answer:
    """What a client saw of one request.

    ``status`` is None if no head came. ``outcome`` is "complete", "closed" (the connection ended
    before a complete answer), "refused" (no connection), or "nothing" (no final answer within the
    time that the client listened). Times are seconds of the monotonic clock.
    """

    request_id: str
    node: str
    path: str
    sent_at: float
    ended_at: float
    status: int | None
    outcome: str
    headers: dict[str, str]
    body: bytes

    @property
    def took_s(self) -> float:
        """Time until the end of the answer, or until the client stopped listening."""
        return self.ended_at - self.sent_at


async def send(
    node: str,
    address: str,
    path: str,
    *,
    deadline_ms: int,
    listen_s: float,
    model: str = "",
    method: str = "POST",
    body: bytes = b"text",
    prompt_parts: str = "",
    tokens: str = "10,5",
) -> Answer:
    """Send one request and listen for ``listen_s`` seconds."""
    request_id = f"{node}-{next(numbers)}"
    headers = [
        ("Host", HOST),
        ("Eelgrassferry-Request-Id", request_id),
        ("Eelgrassferry-Deadline-Ms", str(deadline_ms)),
        ("Content-Length", str(len(body))),
    ]
    if model:
        headers += [("Eelgrassferry-Model", model), ("Eelgrassferry-Token-Counts", tokens)]
    if prompt_parts:
        headers.append(("Eelgrassferry-Prompt-Prefix", prompt_parts))
    conn = h11.Connection(h11.CLIENT)
    began = time.monotonic()
    answer = Answer(request_id, node, path, began, began, None, "nothing", {}, b"")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(listen_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            request = h11.Request(method=method, target=path, headers=headers)
            data = conn.send(request) + (conn.send(h11.Data(data=body)) or b"")
            writer.write(data + (conn.send(h11.EndOfMessage()) or b""))
            await _read(conn, reader, answer)
    except TimeoutError:
        answer.outcome = "nothing"
    except ConnectionRefusedError:
        answer.outcome = "refused"
    except (OSError, h11.ProtocolError):
        answer.outcome = "closed"
    answer.ended_at = time.monotonic()
    if writer is not None:
        writer.transport.abort()
    return answer


async def _read(conn: h11.Connection, reader: asyncio.StreamReader, answer: Answer) -> None:
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.outcome = "complete"
            return
        elif isinstance(event, h11.ConnectionClosed):
            answer.outcome = "closed"
            return
