"""A dispatcher with upstreams for tests."""

from random import Random

from ...fleet import (
    Backend,
    EngineSpec,
    FleetConfig,
    ModelSpec,
    RequestKind,
    Route,
    Service,
    ServiceBounds,
    UpstreamDirectory,
    UpstreamEntry,
)
from ...routing import UpstreamState
from .. import Dispatcher, FleetResidency, Job

__all__ = ["DispatchWorld"]

MODEL = ModelSpec("m0", 100.0, 1.2, 0.3, 0.4, 4, 1.0)
OTHER = ModelSpec("m1", 100.0, 1.2, 0.3, 0.4, 4, 1.0)
ENGINE = EngineSpec(8, 20_000, 210.0, 4, 1.4, models={"m0": MODEL, "m1": OTHER})


def make_route(kind: RequestKind, priority: int = 1, **more: object) -> Route:
    """Return a route of a kind; ``max_attempts`` and ``resumable`` as given."""
    fields = {"max_attempts": 1, "gap_target_s": 0.3, **more}
    return Route("r", "h", "/", kind, (Backend("s", 1.0),), 4.0, 0.5, priority, **fields)


class DispatchWorld:
    """Three model servers with ``m0`` (service chat) and three plain ones (service desk)."""

    def __init__(self, domain: str = "a", nodes: int = 1) -> None:
        self.directory = UpstreamDirectory()
        entries = {}
        for number, where in enumerate("abc"):
            for service, name in (("chat", f"e{number}"), ("desk", f"d{number}")):
                entries[name] = UpstreamEntry(
                    name,
                    service,
                    f"10.0.0.{len(entries) + 1}:80",
                    where,
                    6,
                    UpstreamState.LIVE,
                    1,
                    residents={"m0": frozenset({"a1"})} if service == "chat" else {},
                )
        self.entries = entries
        self.directory.replace(entries, 0.0)
        self.residency = FleetResidency(self.directory)
        self.dispatcher = Dispatcher(
            domain, self.directory, self.residency, ServiceBounds(), Random(3)
        )
        self.dispatcher.set_nodes(nodes)
        services = {
            "chat": Service("chat", ENGINE),
            "desk": Service("desk"),
        }
        self.dispatcher.set_config(FleetConfig(1, (), services))
        self._count = 0

    def make_job(
        self,
        kind: RequestKind = RequestKind.STREAM,
        now: float = 0.0,
        model: str = "m0",
        tokens: int = 1000,
        priority: int = 1,
        parts: tuple[tuple[str, int], ...] = (),
        **route: object,
    ) -> Job:
        """Return a request that is due after 4 s."""
        self._count += 1
        stream = kind is RequestKind.STREAM
        return Job(
            f"r{self._count}",
            "chat" if stream else "desk",
            make_route(kind, priority, **route),
            now,
            now + 4.0,
            model if stream else "",
            "",
            tokens if stream else 0,
            50,
            parts,
        )

    def send(self, job: Job, now: float = 0.0) -> str:
        """Submit a job that is to be sent at once; return the upstream."""
        (action,) = self.dispatcher.submit(job, now)
        self.dispatcher.note_sent(job)
        return action.instance
