"""Adapter to the platform on which the system is deployed.

It holds the platform's names, data formats and calls, and no serving logic.
"""

from .settings_file import load_entry_settings, parse_settings
from .wire import make_wire

__all__ = ["load_entry_settings", "make_wire", "parse_settings"]
