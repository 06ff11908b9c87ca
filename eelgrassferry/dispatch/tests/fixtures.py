"""Fixture with a dispatcher and upstreams."""

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

__all__ = ["DispatcherFixture"]

MODEL = ModelSpec("m0", 100.0, 1.2, 0.3, 0.4, 4, 1.0)
OTHER = ModelSpec("m1", 100.0, 1.2, 0.3, 0.4, 4, 1.0)
ENGINE = EngineSpec(8, 20_000, 210.0, 4, 1.4, models={"m0": MODEL, "m1": OTHER})


def make_route(kind: RequestKind, priority: int = 1, **more: object) -> Route:
    """Return a route of a kind, with other fields such as ``max_attempts`` from ``more``."""
    fields = {"max_attempts": 1, "gap_target_s": 0.3, **more}
    return Route("r", "h", "/", kind, (Backend("s", 1.0),), 4.0, 0.5, priority, **fields)


class DispatcherFixture:
    """Dispatcher with three engines and three plain upstreams, one of each per failure domain.

    The engines ``e0`` to ``e2`` (service ``chat``) have model ``m0`` with adapter ``a1``. The plain
    upstreams ``d0`` to ``d2`` belong to service ``desk``.
    """

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
        self.dispatcher.set_node_count(nodes)
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
        prompt_parts: tuple[tuple[str, int], ...] = (),
        **route: object,
    ) -> Job:
        """Return a request with a deadline after 4 s."""
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
            prompt_parts,
        )

    def send(self, job: Job, now: float = 0.0) -> str:
        """Submit a job that must be sent at once and return its upstream."""
        (action,) = self.dispatcher.submit(job, now)
        self.dispatcher.record_sent(job)
        return action.instance
