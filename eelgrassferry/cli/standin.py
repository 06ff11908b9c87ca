"""Commands that run a stand-in for an external system in a process of its own."""

import asyncio
import json
import signal
from typing import Annotated, Any

from cyclopts import App, Parameter

from ..logs import configure_logs
from ..standins import (
    EngineOptions,
    EngineStandin,
    PlatformOptions,
    PlatformStandin,
    ServiceOptions,
    ServiceStandin,
    StoreOptions,
    StoreStandin,
)
from ..standins.standin import Standin

__all__ = ["standin_app"]

# Every field of an options class becomes a flag, which --help shows with its default.
Flags = Parameter(name="*")

standin_app = App(name="standin", help="Run a stand-in of an external system.")


@standin_app.command
def platform(
    *, options: Annotated[PlatformOptions | None, Flags] = None, grace_s: float = 30.0
) -> None:
    """Run a stand-in of the object API and the host list."""
    asyncio.run(_serve(PlatformStandin(options), grace_s))


@standin_app.command
def engine(
    *, options: Annotated[EngineOptions | None, Flags] = None, grace_s: float = 30.0
) -> None:
    """Run a stand-in of one model engine."""
    asyncio.run(_serve(EngineStandin(options), grace_s))


@standin_app.command
def service(
    *, options: Annotated[ServiceOptions | None, Flags] = None, grace_s: float = 30.0
) -> None:
    """Run a stand-in of one plain service."""
    asyncio.run(_serve(ServiceStandin(options), grace_s))


@standin_app.command
def store(*, options: Annotated[StoreOptions | None, Flags] = None, grace_s: float = 30.0) -> None:
    """Run a stand-in of the weight store."""
    asyncio.run(_serve(StoreStandin(options), grace_s))


async def _serve(standin: Standin[Any], grace_s: float) -> None:
    """Serve until SIGTERM or SIGINT, then finish requests in flight within ``grace_s`` seconds.

    The counts are printed as ``{"counts": ...}`` in the last line of standard output, because
    counts read before the shutdown would not include the requests that finish during it.
    """
    configure_logs("warning")
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await standin.start()
    print(json.dumps({"ready": True, "address": standin.address}), flush=True)
    await stopped.wait()
    await standin.close(grace_s)
    print(json.dumps({"counts": standin.read_counts()}), flush=True)
