"""Encoding and parsing of the data fields of server-sent events."""

__all__ = ["SseParser", "format_event"]


def format_event(data: str) -> bytes:
    r"""Return an event with the given data, encoded.

    >>> format_event("[DONE]")
    b'data: [DONE]\n\n'
    """
    return f"data: {data}\n\n".replace("\n", "\ndata: ", data.count("\n")).encode()


class SseParser:
    r"""An incremental parser that returns the data of each event in a byte stream.

    >>> parser = SseParser()
    >>> parser.feed(b"data: a\n\ndata: ")
    ['a']
    >>> parser.feed(b"b\n\n")
    ['b']
    """

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[str]:
        """Add ``chunk`` to the stream and return the data of all events that it completes."""
        self._buffer = (self._buffer + chunk).replace(b"\r\n", b"\n")
        *events, self._buffer = self._buffer.split(b"\n\n")
        return [data for event in events if (data := self._read_data(event)) is not None]

    @staticmethod
    def _read_data(event: bytes) -> str | None:
        lines = [line[5:].removeprefix(b" ") for line in event.split(b"\n") if line[:5] == b"data:"]
        return b"\n".join(lines).decode(errors="replace") if lines else None
