"""``python -m eelgrassferry.bench.overhead``: the overhead of a node.

Each run compares the node with a plain byte relay for the same requests and tokens: the latency and
the processor time per request and per token. It also measures the processor time and memory of an
idle node for several deployment sizes. Each component runs in its own process on loopback. Other
work on the machine changes the times; the ratios within a run are more stable.
"""

import asyncio
import sys
from collections.abc import Sequence
from dataclasses import replace

from cyclopts import App

from .overhead_report import OverheadReport, format_json, format_report, make_report
from .overhead_run import OverheadSettings, run_path, run_size
from .overhead_site import SiteSize

__all__ = ["LONG", "SHORT", "main", "measure"]

# SHORT takes less than 60 s, LONG less than 4 minutes.
SHORT = OverheadSettings(
    3, 1.2, 2.0, 1.0, 12, 64, SiteSize(10, 1), (SiteSize(10, 100), SiteSize(100, 100))
)
LONG = OverheadSettings(
    5,
    2.5,
    8.0,
    4.0,
    12,
    128,
    SiteSize(10, 1),
    (SiteSize(10, 100), SiteSize(100, 100), SiteSize(200, 100), SiteSize(100, 1700)),
)

app = App(name="eelgrassferry-overhead", help="Measure what the node costs beside a bare relay.")


async def measure(settings: OverheadSettings) -> OverheadReport:
    """Run the whole measurement and return its figures."""
    rounds = await run_path(settings)
    return make_report(rounds, [await run_size(size, settings) for size in settings.sizes])


@app.default
def overhead(*, short: bool = False, path_only: bool = False, json: bool = False) -> int:
    """Measure and print; return 1 when a request failed.

    Parameters
    ----------
    short: run the short form.
    path_only: leave out the sizes.
    json: print one JSON object instead of text.
    """
    base = SHORT if short else LONG
    settings = replace(base, sizes=()) if path_only else base
    report = asyncio.run(measure(settings))
    print(format_json(report) if json else format_report(report))
    return 1 if report.failed else 0


def main(arguments: Sequence[str]) -> int:
    """Run the command and return its exit code."""
    return app(list(arguments))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
