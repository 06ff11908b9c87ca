"""Splitting of a stream of server-sent events into complete events."""

__all__ = ["EventBuffer"]


class EventBuffer:
    r"""A buffer that releases complete events only and stores the id of the last one.

    A broken stream can then be resumed at another upstream without a repeated or truncated event.

    >>> buffer = EventBuffer()
    >>> buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> buffer.last_id
    '1'
    """

    def __init__(self) -> None:
        self.last_id = ""
        self._incomplete = b""

    def feed(self, data: bytes) -> bytes:
        """Append ``data`` and return the events that are complete now."""
        text = self._incomplete + data
        # An empty line ends an event; lines end with LF or CRLF. Without an empty line, both
        # searches return -1, and ``end`` is 2.
        end = max(text.rfind(b"\n\n") + 2, text.rfind(b"\n\r\n") + 3)
        if end < 3:
            self._incomplete = text
            return b""
        whole, self._incomplete = text[:end], text[end:]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
        return whole

    def pop_incomplete(self) -> bytes:
        """Remove and return the bytes after the last complete event."""
        rest, self._incomplete = self._incomplete, b""
        return rest

    def discard_incomplete(self) -> None:
        """Discard the bytes after the last complete event."""
        self._incomplete = b""
