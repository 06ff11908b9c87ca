"""Records of a soak's requests, runs, orders and faults.

All times are in seconds of the event loop's clock.
"""

from dataclasses import dataclass, field

__all__ = [
    "ArrivalRecord",
    "CallRecord",
    "Disturbance",
    "KeyRecord",
    "LimitRecord",
    "NoticeRecord",
    "OrderRecord",
    "RunRecord",
    "SoakRecord",
]


@dataclass
class CallRecord:
    """One request of a caller and its answer.

    ``status`` is None if no status was received. ``complete`` is set when the whole answer was
    received, ``sealed`` when it carries a server's seal. ``abandoned`` is set when the caller
    disconnected on purpose. ``answer_id`` is the request id in the answer. ``keys`` are the values
    of the header with the tenant's key.
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
    abandoned: bool = False
    sealed: bool = False
    answer_id: str = ""
    answer: bytes = b""
    detail: str = ""
    keys: tuple[str, ...] = ()


@dataclass
class KeyRecord:
    """A tenant's key, and the times at which versions with and then without it were written.

    ``since`` is minus infinity for a key of the first version, ``until`` None while it is held.
    """

    tenant: str
    since: float
    until: float | None = None


@dataclass(frozen=True)
class RunRecord:
    """The start of a request's run at a server.

    ``tenant`` is the tenant named to the server, and ``has_key`` whether a key came with it.
    """

    at: float
    server: str
    request_id: str
    path: str
    body: bytes
    tenant: str = ""
    has_key: bool = False


@dataclass(frozen=True)
class ArrivalRecord:
    """The arrival of a request at a server, which runs or declines it."""

    at: float
    server: str
    node: str
    request_id: str


@dataclass(frozen=True)
class NoticeRecord:
    """What a server has said of itself in an answer to a node.

    ``pause_s`` is the time for which it has asked for no requests. ``is_leaving`` is set if it
    leaves, and ``is_limited`` if it names a limit.
    """

    at: float
    server: str
    node: str
    pause_s: float = 0.0
    is_leaving: bool = False
    is_limited: bool = False

    @property
    def kinds(self) -> list[str]:
        """The kinds of notices in the answer."""
        present = {
            "leaving": self.is_leaving,
            "limit": self.is_limited,
            "pause": self.pause_s > 0.0,
        }
        return [kind for kind, is_present in present.items() if is_present]


@dataclass(frozen=True)
class LimitRecord:
    """The period in which a server names a limit, in requests per second."""

    since: float
    until: float
    server: str
    per_s: float


@dataclass(frozen=True)
class OrderRecord:
    """An order that an engine received, and the status of its answer.

    ``overcommits`` is set when an accepted load exceeds the engine's capacity.
    """

    at: float
    server: str
    holder: str
    epoch: int
    status: int
    overcommits: bool = False


@dataclass(frozen=True)
class Disturbance:
    """The period in which a fault affects a node or server; an empty target stands for all."""

    since: float
    until: float
    target: str = ""


@dataclass
class SoakRecord:
    """Everything recorded during a run.

    ``keys`` are the keys that tenants have held, none if the fleet has no tenants.
    ``routes`` maps an added path to the time from which every undisturbed node must route it.
    ``draining_since`` maps a server instance to the time at which it registered as draining.
    ``arrivals``, ``notices`` and ``limits`` are recorded in runs whose servers send notices.
    ``exits`` describes unexpected ends of processes and late stops, ``unserved`` the requests that
    were still not served after the recovery limit.
    """

    calls: list[CallRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    orders: list[OrderRecord] = field(default_factory=list)
    arrivals: list[ArrivalRecord] = field(default_factory=list)
    notices: list[NoticeRecord] = field(default_factory=list)
    limits: list[LimitRecord] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    keys: dict[str, KeyRecord] = field(default_factory=dict)
    routes: dict[str, float] = field(default_factory=dict)
    draining_since: dict[str, float] = field(default_factory=dict)
    exits: list[str] = field(default_factory=list)
    unserved: list[str] = field(default_factory=list)

    def is_undisturbed(self, target: str, since: float, until: float) -> bool:
        """Return whether no disturbance affected a target between two times."""
        return not any(
            disturbance.target in ("", target)
            and disturbance.since <= until
            and disturbance.until >= since
            for disturbance in self.disturbances
        )
