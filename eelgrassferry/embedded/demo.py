"""The demo: run a sample deployment under load and print the report."""

from ..settings import read_sample
from .deployment import EmbeddedDeployment
from .load import LoadMix, run_load
from .report import format_report, make_report

__all__ = ["run_demo"]

NODES = 3
SEED = 1
RESIDENT_TIMEOUT_S = 60.0


async def run_demo(site: str, seconds: float) -> int:
    """Run one sample deployment under load and return an exit code.

    Parameters
    ----------
    site: name of the sample, without the ending of its file.
    seconds: duration of the load.

    Returns
    -------
    1 if an invariant was violated or a model was not resident in time, otherwise 0.
    """
    base, overlay = (read_sample(name) for name in ("base.ini", f"{site}.ini"))
    embedded = EmbeddedDeployment(base, overlay, NODES)
    await embedded.start()
    try:
        model_count = len(embedded.deployment.models)
        print(f"{site}: {NODES} nodes listen; loading {model_count} models", flush=True)
        resident = await embedded.wait_resident(RESIDENT_TIMEOUT_S)
        print(
            f"{site}: {resident} of {model_count} models resident; {seconds:g} s of load",
            flush=True,
        )
        addresses = [node.caller_server.address for node in embedded.nodes]
        results = await run_load(embedded.deployment, addresses, LoadMix(), seconds, SEED)
        report = make_report(embedded, results)
    finally:
        await embedded.close()
    print(format_report(report))
    return 1 if report.violations or resident < model_count else 0
