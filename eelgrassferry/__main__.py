"""Entry point of ``python -m eelgrassferry`` and of the one-file binary."""

import signal
import sys
from importlib import import_module

# Commands that reload their settings on SIGHUP.
RELOADING = {"entry"}


def run(command: str) -> int:
    """Run a command of the command line and return its exit code."""
    if command in RELOADING:
        # The modules take up to 0.4 s to import, and until then the signal would end the node.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Imported before the other modules, because it records when the process started.
        import_module(".entry.boot_clock", __package__)
    from .cli import main

    return main()


if __name__ == "__main__":
    sys.exit(run(sys.argv[1] if len(sys.argv) > 1 else ""))
