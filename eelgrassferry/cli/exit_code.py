"""Exit codes of the commands."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit codes for use in scripts, documented in docs/operators/configure.md."""

    OK = 0
    REFUSED = 1  # refused by the node, or a comparison found differences
    INVALID = 2  # invalid usage or settings
    UNREACHABLE = 3  # no valid answer from the node
