"""Labels of tenants in counters, bounded in number."""

import re

__all__ = ["OTHER_TENANTS", "TenantLabels"]

# Each label is a time series per counter and reason in the operators' monitoring.
MAX_LABELS = 64
OTHER_TENANTS = "other"
# Characters that separate the parts of a counter's name, or of a statsd message, are among these.
NOT_IN_LABELS = re.compile(r"[^A-Za-z0-9_-]")


class TenantLabels:
    """Gives the first ``MAX_LABELS`` tenants their names as labels, and all others one label.

    A tenant keeps its label when it is removed from the configuration, so that its counters go on
    if it returns.

    >>> TenantLabels().label("press.eu")
    'press_eu'
    """

    def __init__(self) -> None:
        self._labels: dict[str, str] = {}

    def label(self, tenant: str) -> str:
        """Return the label of a tenant."""
        label = self._labels.get(tenant)
        if label is None:
            if len(self._labels) >= MAX_LABELS:
                return OTHER_TENANTS
            label = self._labels[tenant] = NOT_IN_LABELS.sub("_", tenant)
        return label
