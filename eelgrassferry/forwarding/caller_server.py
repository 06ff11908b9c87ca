"""The server that accepts callers' connections."""

from collections.abc import Callable

from ..admission import DoorBudget, DoorLimits, return_freed_memory
from ..fleet import CallerLimits
from ..http import Listener
from .caller_conn import CallerConn, CallerListener
from .caller_request import CallerRequest
from .facts import RawHeaders

__all__ = ["CallerServer"]

# Added to the idle limit before the server closes a connection, in seconds. Callers reuse a
# connection only up to four fifths of the limit; the addition covers differences between clocks and
# packets in transit.
IDLE_GRACE_S = 1.0
# A caller that has taken nothing of its answer for this time is closed, in seconds. It is longer
# than callers wait for an answer, so the caller has given up.
UNREAD_TIMEOUT_S = 60.0
# Freed memory is returned to the operating system after this many bytes have been released.
TRIM_BYTES = 8 * 1024 * 1024
# Each search for connections to end looks at all of them. While memory stays used up, it is
# repeated after this time in seconds, or once this part of the limit has been added.
RELIEF_INTERVAL_S = 0.02
RELIEF_STEP = 1 / 64


class CallerServer:
    """Accepts callers' connections and passes each complete request to ``handler``.

    ``handler`` returns the request's listener, or None if it has answered the request already.
    ``on_rejected`` is called with the caller's address, the status and a detail for bytes that are
    not an acceptable request. While ``closing`` is set, each answer closes its connection, so that
    callers connect to other nodes.

    ``budget`` limits what all connections hold together; ``on_turned_away`` is called with the
    address and the cause for each connection that is ended to stay within it. ``needs_body``
    returns whether a request with this target and these headers is forwarded, and not answered
    by the node itself.
    """

    def __init__(
        self,
        handler: Callable[[CallerConn, CallerRequest], CallerListener | None],
        on_rejected: Callable[[str, int, str], None],
        clock: Callable[[], float],
        budget: DoorBudget | None = None,
        needs_body: Callable[[bytes, RawHeaders], bool] = lambda _target, _headers: True,
        on_turned_away: Callable[[str, str], None] = lambda _peer, _cause: None,
    ) -> None:
        self.limits = CallerLimits()
        self.closing = False
        self.conns: set[CallerConn] = set()
        self.clock = clock
        self._handler = handler
        self._on_rejected = on_rejected
        self.budget = budget or DoorBudget(DoorLimits())
        self.needs_body = needs_body
        self._on_turned_away = on_turned_away
        self._listener: Listener | None = None
        self._is_relieving = False
        self._relieved_at = float("-inf")
        self._relieved_bytes = 0

    async def start(self, host: str, port: int) -> None:
        """Bind the address and start to accept connections."""
        self._listener = Listener(lambda: CallerConn(self), self._make_room)
        self._listener.start(host, port)

    def _make_room(self) -> bool:
        """Return whether a connection can be accepted, after ending another one if necessary."""
        if self.budget.has_free_connection:
            return True
        victim = self.budget.choose_over_connections(self.clock())
        if victim is not None:
            victim.owner.turn_away("connections")
        return victim is not None

    def relieve(self) -> None:
        """End connections until all together hold no more memory than the budget allows."""
        now, step = self.clock(), RELIEF_STEP * self.budget.limits.memory_bytes
        is_recent = now - self._relieved_at < RELIEF_INTERVAL_S
        if self._is_relieving or (
            is_recent and self.budget.bytes_held <= self._relieved_bytes + step
        ):
            return
        self._is_relieving = True
        try:
            for conn in list(self.conns):
                conn.refresh()
            while (victim := self.budget.choose_over_memory(self.clock())) is not None:
                victim.owner.turn_away("memory")
        finally:
            self._is_relieving = False
            self._relieved_at, self._relieved_bytes = now, self.budget.bytes_held

    def report_turned_away(self, conn: CallerConn, cause: str) -> None:
        """Report a connection that was ended to stay within the budget."""
        self._on_turned_away(conn.peer, cause)

    def accept(self, conn: CallerConn, request: CallerRequest) -> CallerListener | None:
        """Pass a complete request to the handler and return its listener."""
        return self._handler(conn, request)

    def report_rejected(self, conn: CallerConn, status: int, detail: str) -> None:
        """Report bytes that are not an acceptable request."""
        self._on_rejected(conn.peer, status, detail)

    def sweep(self) -> None:
        """Close connections that exceed the idle limit or the time to send a request."""
        now = self.clock()
        for conn in list(self.conns):
            conn.refresh()
            if conn.unread_s(now) > UNREAD_TIMEOUT_S:
                conn.turn_away("unread")
            if conn.answering:
                continue
            if conn.head_since is not None:
                if now - conn.head_since > self.limits.header_timeout_s:
                    conn.time_out()
            elif now - conn.idle_since > self.limits.idle_timeout_s + IDLE_GRACE_S:
                conn.close()
        if self.budget.peak_bytes - self.budget.bytes_held > TRIM_BYTES:
            self.budget.peak_bytes = self.budget.bytes_held
            return_freed_memory()

    def close_idle(self) -> None:
        """Close connections on which no request is being received or answered."""
        for conn in list(self.conns):
            if not conn.answering and conn.head_since is None:
                conn.close()

    def stop_listening(self) -> None:
        """Stop accepting new connections."""
        if self._listener is not None:
            self._listener.close()
