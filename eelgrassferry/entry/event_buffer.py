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
    >>> buffer.count
    1
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._incomplete = bytearray()

    @property
    def incomplete_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> bytes:
        """Append ``data`` and return the events that are complete now."""
        # An end of an event that was not found before ends in ``data``, at most two bytes after its
        # first one.
        searched = max(0, len(self._incomplete) - 2)
        self._incomplete += data
        text = self._incomplete
        # An empty line ends an event; lines end with LF or CRLF. Without an empty line, both
        # searches return -1, and ``end`` is 2.
        end = max(text.rfind(b"\n\n", searched) + 2, text.rfind(b"\n\r\n", searched) + 3)
        if end < 3:
            return b""
        whole, self._incomplete = bytes(text[:end]), text[end:]
        self.count += whole.replace(b"\r\n", b"\n").count(b"\n\n")
        id_at = 0 if whole.startswith(b"id:") else -1
        id_at = max(id_at, whole.rfind(b"\nid:") + 1 or -1)
        if id_at >= 0:
            line = whole[id_at + 3 : whole.index(b"\n", id_at)]
            self.last_id = line.strip().decode("latin-1")
        return whole

    def discard_incomplete(self) -> None:
        """Discard the bytes after the last complete event."""
        self._incomplete = bytearray()
