"""Names of the platform's calls, headers and kinds of objects."""

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

# Keys are ``kind/name``; the operators write the configuration, each upstream its own entry.
CONFIG_PREFIX = "config/"
CONFIG_KEY = "config/main"
UPSTREAMS_PREFIX = "servers/"
