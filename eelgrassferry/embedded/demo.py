"""Runs a sample deployment under load and prints the report."""

from ..settings import read_sample
from .deployment import EmbeddedDeployment
from .load import LoadMix, run_load
from .report import format_report, make_report

__all__ = ["run_demo"]

NODES = 3
SEED = 1
RESIDENT_TIMEOUT_S = 60.0


async def run_demo(site: str, seconds: float) -> int:
    """Run one sample deployment for ``seconds`` of load; return 1 if an invariant was violated."""
    base, overlay = (read_sample(name) for name in ("base.ini", f"{site}.ini"))
    embedded = EmbeddedDeployment(base, overlay, NODES)
    await embedded.start()
    try:
        wanted = len(embedded.deployment.models)
        print(f"{site}: {NODES} nodes listen; loading {wanted} models", flush=True)
        resident = await embedded.wait_resident(RESIDENT_TIMEOUT_S)
        print(f"{site}: {resident} of {wanted} models resident; {seconds:g} s of load", flush=True)
        addresses = [node.caller_server.address for node in embedded.nodes]
        results = await run_load(embedded.deployment, addresses, LoadMix(), seconds, SEED)
        report = make_report(embedded, results)
    finally:
        await embedded.close()
    print(format_report(report))
    return 1 if report.faults or resident < wanted else 0
