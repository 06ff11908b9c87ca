"""What a soak has seen of callers, servers and its own faults. Times are of one clock."""

from dataclasses import dataclass, field

__all__ = ["CallRecord", "Disturbance", "OrderRecord", "RunRecord", "SoakRecord"]


@dataclass
class CallRecord:
    """One request of a caller. ``status`` is None without an answer's head, ``complete`` whether
    the whole answer came. ``left`` says that the caller gave up on purpose.
    """

    request_id: str
    kind: str
    node: str
    path: str
    body: bytes
    sent_at: float
    ended_at: float | None = None
    status: int | None = None
    complete: bool = False
    left: bool = False
    sealed: bool = False
    answer_id: str = ""
    answer: bytes = b""
    detail: str = ""


@dataclass(frozen=True)
class RunRecord:
    """A request that a server began to run."""

    at: float
    server: str
    request_id: str
    path: str
    body: bytes


@dataclass(frozen=True)
class OrderRecord:
    """An order that reached a model server."""

    at: float
    server: str
    holder: str
    epoch: int
    status: int
    overcommits: bool = False


@dataclass(frozen=True)
class Disturbance:
    """A fault's effect on a target from ``since`` to ``until``. An empty target is all of them."""

    since: float
    until: float
    target: str = ""


@dataclass
class SoakRecord:
    """Everything that a run has seen. ``routes`` maps path prefixes to the time from which every
    node in touch has to know them, ``gone`` servers to the time from which they get no requests,
    ``exits`` are processes that ended by themselves, ``unserved`` calls that failed after the last
    fault.
    """

    calls: list[CallRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    orders: list[OrderRecord] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    routes: dict[str, float] = field(default_factory=dict)
    gone: dict[str, float] = field(default_factory=dict)
    exits: list[str] = field(default_factory=list)
    unserved: list[str] = field(default_factory=list)

    def is_calm(self, target: str, since: float, until: float) -> bool:
        """Whether neither a target nor all of them were disturbed in a span of time."""
        return not any(
            found.target in ("", target) and found.since <= until and found.until >= since
            for found in self.disturbances
        )
