"""Adapter to the platform on which the system is deployed.

It holds the platform's names, data formats and calls, and no serving logic.
"""

from .config_check import check_config
from .platform_protocol import make_platform_protocol
from .settings_file import load_entry_settings, parse_settings

__all__ = ["check_config", "load_entry_settings", "make_platform_protocol", "parse_settings"]
