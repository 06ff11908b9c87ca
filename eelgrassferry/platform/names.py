"""Paths, object keys and the environment variable of the platform's interface."""

__all__ = [
    "CONFIG_KEY",
    "CONFIG_PREFIX",
    "ORDER_PATH",
    "READY_PATH",
    "REPORT_PATH",
    "SETTINGS_VARIABLE",
    "UPSTREAMS_PREFIX",
]

SETTINGS_VARIABLE = "EELGRASSFERRY_SETTINGS"
READY_PATH = "/eelgrassferry/ready"
REPORT_PATH = "/eelgrassferry/report"
ORDER_PATH = "/eelgrassferry/order"
OBJECTS_PATH = "/eelgrassferry/objects"

# Object keys have the form ``kind/name``. Operators write the configuration; each upstream writes
# its own registry entry.
CONFIG_PREFIX = "config/"
CONFIG_KEY = "config/main"
UPSTREAMS_PREFIX = "servers/"
