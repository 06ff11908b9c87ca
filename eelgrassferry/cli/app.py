"""Registration of the commands of the command line interface."""

from cyclopts import App

from .. import __version__
from .apply_command import apply
from .config_commands import config
from .entry_command import entry
from .exit_code import ExitCode
from .local_commands import check, effective
from .node_commands import diff, drain, explain, status
from .run_commands import demo, node, standin

__all__ = ["app"]

app = App(
    name="eelgrassferry",
    help="Serve many models and adapters on fewer accelerators.",
    version=__version__,
)

for command in (node, entry, demo, check, effective, diff, apply, status, drain, explain):
    app.command(command)
app.command(config)
# The stand-ins parse their own options, including --help.
app.command(standin, help_flags=[], version_flags=[])


@app.default
def show_help() -> int:
    """Print the list of commands."""
    app.help_print()
    return ExitCode.INVALID
