"""Cuts a stream of server-sent events into whole events."""

__all__ = ["EventBuffer"]


class EventBuffer:
    r"""Passes on whole events only, and remembers the id of the last one.

    A broken stream can then go on at another upstream without a repeated or torn event.

    >>> buffer = EventBuffer()
    >>> buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> buffer.last_id
    '1'
    """

    def __init__(self) -> None:
        self.last_id = ""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes."""
        text = self._rest + data
        # An event ends with an empty line, after a line that ends with LF or CRLF.
        end = max(text.rfind(b"\n\n") + 2, text.rfind(b"\n\r\n") + 3)
        if end < 3:
            self._rest = text
            return b""
        whole, self._rest = text[:end], text[end:]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
        return whole

    def take_rest(self) -> bytes:
        """Return what came after the last whole event."""
        rest, self._rest = self._rest, b""
        return rest

    def drop_rest(self) -> None:
        """Forget a torn event."""
        self._rest = b""
