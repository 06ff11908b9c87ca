"""Paths, object keys and the environment variable of the platform's interface."""

__all__ = [
    "CONFIG_KEY",
    "CONFIG_PREFIX",
    "ORDER_PATH",
    "READY_PATH",
    "REPORT_PATH",
    "SETTINGS_VARIABLE",
    "STORE_ERA_HEADER",
    "UPSTREAMS_PREFIX",
]

SETTINGS_VARIABLE = "EELGRASSFERRY_SETTINGS"
READY_PATH = "/eelgrassferry/ready"
REPORT_PATH = "/eelgrassferry/report"
ORDER_PATH = "/eelgrassferry/order"
OBJECTS_PATH = "/eelgrassferry/objects"
# Rises by one each time that the store comes back from a copy.
STORE_ERA_HEADER = "store-era"

# Object keys have the form ``kind/name``. Operators write the configuration; each upstream writes
# its own registry entry.
CONFIG_PREFIX = "config/"
CONFIG_KEY = "config/main"
UPSTREAMS_PREFIX = "servers/"
