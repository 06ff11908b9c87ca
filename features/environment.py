"""Set-up and tear-down of each scenario."""

import sys
import tempfile
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent), str(Path(__file__).resolve().parents[1])]

import parse  # noqa: E402
from behave import register_type  # noqa: E402
from harness import Deployment, NodeGroup, System, check_invariants  # noqa: E402


@parse.with_pattern(r'[^"]*')
def parse_quoted(text: str) -> str:
    """Return the text of a quoted parameter.

    Without the pattern, the parameter could match text beyond the closing quote.
    """
    return text


register_type(Word=parse_quoted)


def before_scenario(context, scenario):
    """Create a system without processes."""
    context.system = System()
    context.directory = tempfile.TemporaryDirectory()
    context.deployment = Deployment(context.system, Path(context.directory.name))
    context.nodes = NodeGroup(context.system, context.deployment)


def after_scenario(context, scenario):
    """Check the invariants, end all processes, and print their logs if the scenario failed."""
    faults = []
    system = context.system
    try:
        system.wait_for_outcomes()
        faults = [*check_invariants(system), *context.nodes.check_revisions()]
        # Scenarios that test the checks list the faults that they cause on purpose.
        if "expected_faults" in context:
            faults = [fault for fault in faults if fault not in context.expected_faults]
    finally:
        system.close()
        context.directory.cleanup()
        if faults or scenario.status.name != "passed":
            for process in system.processes.values():
                if process.log_text:
                    print(f"--- log of {process.name}\n{process.log_text[-4000:]}")
    assert not faults, "broken invariants:\n" + "\n".join(faults)
