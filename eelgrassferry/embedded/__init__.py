"""A complete deployment in one process on loopback, for demonstrations and tests."""

from .demo import run_demo
from .deployment import EmbeddedDeployment
from .load import CallResult, LoadMix, run_load
from .report import Report, format_report

__all__ = [
    "CallResult",
    "EmbeddedDeployment",
    "LoadMix",
    "Report",
    "format_report",
    "run_demo",
    "run_load",
]
