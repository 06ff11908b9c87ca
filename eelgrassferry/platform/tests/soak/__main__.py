"""Command line of the soak: ``python -m eelgrassferry.platform.tests.soak --seeds 1-50``."""

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path

import structlog
from cyclopts import App

from .run_soak import SoakReport, run_soak
from .soak_fleet import NODES

# Exit code after SIGTERM: 128 plus the signal's number, as in shells.
STOPPED = 143

app = App(name="soak", help="Run the nodes under random faults and check the system's invariants.")


@app.default
def soak(
    seeds: str = "1-3",
    seconds: float = 20.0,
    logs: Path | None = None,
    notices: bool = False,
    extra: bool = False,
    nodes: int = NODES,
    tenants: bool = False,
) -> int:
    """Print one JSON line per seed. Exit with 1 if an invariant was violated, 143 after SIGTERM.

    ``seeds`` is a range like ``1-50``, ``seconds`` the time during which faults are injected.
    ``logs`` is a folder in which the nodes' logs are stored, by seed; without it they are deleted.
    With ``notices``, servers also say in their answers that they leave, pause or limit requests.
    With ``extra``, they also fail part of their requests, requests with very many prompt parts
    crash them, other writers register entries, and the store is away just after a planned stop or
    comes back from a copy.
    ``nodes`` is the number of node processes. With ``tenants``, requests need keys, which change.
    """
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    first, _, last = seeds.partition("-")
    violated = False
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary) if logs is None else logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            try:
                options = (notices, extra, nodes, tenants)
                report = asyncio.run(_run_until_stopped(seed, seconds, folder, *options))
            except asyncio.CancelledError:
                return STOPPED
        violated = violated or bool(report.violations)
        line = {
            "seed": seed,
            "faults": len(report.faults),
            "calls": report.calls,
            "outcomes": report.outcomes,
            "orders": report.orders,
            "notices": report.notices,
            "violations": [[v.invariant, v.detail] for v in report.violations],
        }
        print(json.dumps(line), flush=True)
    return 1 if violated else 0


async def _run_until_stopped(
    seed: int,
    seconds: float,
    folder: Path,
    notices: bool,
    extra: bool,
    nodes: int,
    tenants: bool,
) -> SoakReport:
    """Run one seed; SIGTERM cancels the run, so that its node processes are ended too."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_soak(seed, seconds, folder, notices, extra, nodes, tenants)


if __name__ == "__main__":
    sys.exit(app())
