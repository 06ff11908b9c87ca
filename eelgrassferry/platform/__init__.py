"""The users' platform: its names, formats and calls. Nothing here decides."""

from .settings_file import load_entry_settings, parse_settings
from .wire import make_wire

__all__ = ["load_entry_settings", "make_wire", "parse_settings"]
