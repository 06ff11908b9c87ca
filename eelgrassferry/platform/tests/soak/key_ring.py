"""Tenants of a soak, whose keys change, and the keys that callers send."""

from random import Random
from typing import Any

from .records import KeyRecord, SoakRecord

__all__ = ["KEY_PREFIX", "KeyRing", "choose_keys"]

# All keys, also those that no tenant holds, begin so: the nodes' logs are searched for it.
KEY_PREFIX = "soak-key-"
TENANTS = ("press", "desk", "shop")
# Each tenant has so many keys; a change adds one and removes the oldest.
KEYS_PER_TENANT = 2
# Values of the key's header in a request that no tenant's caller sends.
BAD_KEYS = (
    (),
    (KEY_PREFIX + "unknown",),
    (KEY_PREFIX * 500,),
    ("",),
    (KEY_PREFIX + "1", KEY_PREFIX + "1"),
)
BAD_SHARE = 0.15


class KeyRing:
    """The tenants of a configuration in the platform's format, and the record of their keys."""

    def __init__(self, record: SoakRecord, rng: Random) -> None:
        self._record = record
        self._rng = rng
        self._held: dict[str, list[str]] = {name: [] for name in TENANTS}
        self._count = 0
        for name in TENANTS * KEYS_PER_TENANT:
            self._add(name, float("-inf"))

    def apply_to(self, config: dict[str, Any]) -> dict[str, Any]:
        """Return a configuration with the tenants; its idempotent routes need no key."""
        routes = [
            {**route, "anonymous": route["kind"] == "idempotent"} for route in config["routes"]
        ]
        tenants = [
            {"name": name, "api_keys": keys, "priority": number or None}
            for number, (name, keys) in enumerate(self._held.items())
        ]
        return {**config, "routes": routes, "tenants": tenants}

    def rotate(self, now: float) -> None:
        """Replace the oldest key of one tenant, in the configuration that is written now."""
        name = self._rng.choice(TENANTS)
        self._record.keys[self._held[name].pop(0)].until = now
        self._add(name, now)

    def _add(self, name: str, now: float) -> None:
        self._count += 1
        key = f"{KEY_PREFIX}{self._count}"
        self._held[name].append(key)
        self._record.keys[key] = KeyRecord(name, now)


def choose_keys(record: SoakRecord, rng: Random, good: bool) -> tuple[str, ...]:
    """Return the values of the key's header in a request: a tenant's key or, unless ``good``, a bad
    or removed one in some requests.
    """
    if not good and rng.random() < BAD_SHARE:
        return rng.choice(BAD_KEYS)
    held = [key for key, held in record.keys.items() if not good or held.until is None]
    # The newest ones are sent most often: nodes may not know them yet.
    return (held[-1 - min(len(held) - 1, int(rng.expovariate(0.3)))],)
