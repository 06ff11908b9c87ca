"""Exit codes of the command line."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """What the caller's script can tell apart; documented in docs/operators/configure.md."""

    OK = 0
    REFUSED = 1  # refused by the node, or different
    INVALID = 2  # usage or settings
    UNREACHABLE = 3  # the node does not answer
