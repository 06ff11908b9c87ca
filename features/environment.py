"""Set-up and end of each scenario."""

import sys
import tempfile
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent), str(Path(__file__).resolve().parents[1])]

import parse  # noqa: E402
from behave import register_type  # noqa: E402
from harness import Deployment, NodeGroup, System, check_invariants  # noqa: E402


@parse.with_pattern(r'[^"]*')
def read_word(text: str) -> str:
    """Read a quoted parameter; without the pattern it could reach over the closing quote."""
    return text


register_type(Word=read_word)


def before_scenario(context, scenario):
    """Start with no processes."""
    context.system = System()
    context.directory = tempfile.TemporaryDirectory()
    context.deployment = Deployment(context.system, Path(context.directory.name))
    context.nodes = NodeGroup(context.system, context.deployment)


def after_scenario(context, scenario):
    """Check the invariants, end all processes, and show their logs if the scenario failed."""
    broken = []
    system = context.system
    try:
        system.settle()
        broken = [*check_invariants(system), *context.nodes.check()]
        # Scenarios that show that a check can fail name the faults they caused themselves.
        if "expected_faults" in context:
            broken = [fault for fault in broken if fault not in context.expected_faults]
    finally:
        system.end()
        context.directory.cleanup()
        if broken or scenario.status.name != "passed":
            for process in system.processes.values():
                if process.log_text:
                    print(f"--- log of {process.name}\n{process.log_text[-4000:]}")
    assert not broken, "broken invariants:\n" + "\n".join(broken)
