"""Whether a peer takes the request whose answer has ended with its side of the connection."""

import asyncio
import fcntl
import socket
import struct
import termios
import time

__all__ = ["SENT_CHECK_INTERVAL_S", "SentCheck", "unsent_bytes"]

# Time between two checks, in seconds.
SENT_CHECK_INTERVAL_S = 0.01
# A peer that takes nothing more of the request for this long has not taken it, in seconds.
STALLED_S = 1.0


def unsent_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many written bytes have not arrived, in this process and in the kernel.

    Without information from the kernel, those in this process count alone.
    """
    unsent = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return unsent
    try:
        reply = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return unsent
    return unsent + max(0, struct.unpack("i", reply)[0])


class SentCheck:
    """Checks on a request that was not sent completely when its answer ended.

    A peer that ends its side of the connection may still read the request, or reset the connection
    later. An answer without a length is whole only in the first case.
    """

    def __init__(self, transport: asyncio.WriteTransport) -> None:
        self._transport = transport
        self._unsent = unsent_bytes(transport)
        self._progress_at = time.monotonic()

    @property
    def is_sent(self) -> bool:
        """Whether the peer had taken the whole request at the last check."""
        return self._unsent == 0

    def find_failure(self) -> str:
        """Check once more; return why the peer does not take the request, "" if it still may."""
        if self._transport.is_closing():
            return "the connection was closed during the request"
        sock = self._transport.get_extra_info("socket")
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if sock is not None else 0
        if error:
            return "the connection was reset during the request"
        unsent, now = unsent_bytes(self._transport), time.monotonic()
        if unsent != self._unsent:
            self._unsent, self._progress_at = unsent, now
        if unsent and now - self._progress_at >= STALLED_S:
            return "the peer ended its answer and does not take the request"
        return ""
