"""Identity of a node on a link."""

from dataclasses import dataclass

__all__ = ["Identity"]


@dataclass(frozen=True)
class Identity:
    """Name, failure domain, instance id and peer address (``ip:port``) of a node.

    Each start of the process has a new instance id.
    """

    name: str
    domain: str
    instance: str
    address: str
