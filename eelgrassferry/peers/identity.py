"""Who is at the other end of a link."""

from dataclasses import dataclass

__all__ = ["Identity"]


@dataclass(frozen=True)
class Identity:
    """A node's name, failure domain, instance id and peer address (``ip:port``).

    The instance id is new for each start of the process.
    """

    name: str
    domain: str
    instance: str
    address: str
