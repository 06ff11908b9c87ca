"""Writes lines to a descriptor without ever waiting for its reader."""

import os

__all__ = ["BoundedLines"]

# Bytes kept while the reader is slow; beyond them, lines are dropped and counted.
MAX_KEPT_BYTES = 256 * 1024


class BoundedLines:
    """A text stream for log lines. ``dropped`` counts the lines that a slow reader has cost."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._kept = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write as much as the reader takes now and keep the rest."""
        data = text.encode()
        if len(self._kept) + len(data) > MAX_KEPT_BYTES:
            self.dropped += 1
            return len(text)
        self._kept += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what was kept, as far as the reader takes it."""
        try:
            while self._kept:
                written = os.write(self._descriptor, self._kept)
                del self._kept[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more, and there is no other place to say so.
            self._kept.clear()
            self.dropped += 1
