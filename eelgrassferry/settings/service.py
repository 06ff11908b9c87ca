"""Settings of an application service, which runs no models."""

from dataclasses import dataclass

__all__ = ["Service"]


@dataclass(frozen=True)
class Service:
    """Settings of an application service, which is reachable under ``/services/<name>/``.

    ``repeatable`` lists the idempotent calls as ``METHOD /path/prefix``. Every other call is an
    order, which runs at most once. ``urgent_paths`` are path prefixes whose calls are served first.

    >>> Service("booking", ("a1",), ("GET /",)).is_repeatable("POST", "/bookings")
    False
    """

    name: str
    upstreams: tuple[str, ...]
    repeatable: tuple[str, ...] = ("GET /", "HEAD /")
    urgent_paths: tuple[str, ...] = ("/",)
    timeout_s: float = 10.0

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may be sent again after it may already have run."""
        for rule in self.repeatable:
            rule_method, _, prefix = rule.partition(" ")
            if method == rule_method and path.startswith(prefix):
                return True
        return False
