"""Log stream that never blocks on a slow reader."""

import os

__all__ = ["BoundedLines"]

# Size of the buffer for a slow reader; lines that do not fit are dropped and counted.
MAX_BUFFER_BYTES = 256 * 1024


class BoundedLines:
    """A text stream for log lines that writes to a non-blocking file descriptor.

    ``dropped`` counts the lines that were discarded because the reader was slow or has closed.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write as much as possible without blocking and buffer the rest."""
        data = text.encode()
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return len(text)
        self._buffer += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed, and there is no other output to report this on.
            self._buffer.clear()
            self.dropped += 1
