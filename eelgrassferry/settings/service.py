"""A plain service beside the model engines."""

from dataclasses import dataclass

__all__ = ["Service"]


@dataclass(frozen=True)
class Service:
    """A plain service reached under ``/services/<name>/``.

    ``repeatable`` lists the calls that may be repeated, as ``METHOD /path/prefix``; every other
    call is an order that runs at most once. ``urgent_paths`` are path prefixes served first.

    >>> Service("booking", ("a1",), ("GET /",)).is_repeatable("POST", "/bookings")
    False
    """

    name: str
    upstreams: tuple[str, ...]
    repeatable: tuple[str, ...] = ("GET /", "HEAD /")
    urgent_paths: tuple[str, ...] = ("/",)
    timeout_s: float = 10.0

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may be sent again after it may have run."""
        for rule in self.repeatable:
            rule_method, _, prefix = rule.partition(" ")
            if method == rule_method and path.startswith(prefix):
                return True
        return False
