"""Memory of the engine stand-in: what is resident, and what would not fit."""

from dataclasses import dataclass, replace
from typing import Any

from result import Err, Ok, Result

__all__ = ["EngineMemory", "Overcommit", "Resident", "ResidentState"]


class ResidentState:
    """The states of a resident, as the status shows them."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclass(frozen=True)
class Resident:
    """A model or adapter version that uses memory. ``base`` is an adapter's model, if given."""

    name: str
    version: str
    memory_mib: int
    adapter: bool = False
    base: str = ""
    state: str = ResidentState.LOADING

    @property
    def key(self) -> tuple[str, str]:
        """Name and version."""
        return self.name, self.version

    def to_json(self, users: int) -> dict[str, Any]:
        """Return the entry of ``GET /admin/status``; ``users`` is the number of its requests."""
        return {
            "kind": "adapter" if self.adapter else "model",
            "name": self.name,
            "version": self.version,
            "memory_mib": self.memory_mib,
            "base": self.base,
            "state": self.state,
            "running": users,
        }


@dataclass(frozen=True)
class Overcommit:
    """A load that does not fit; it was refused and counted."""

    step: str
    peer: str
    used_mib: int
    asked_mib: int
    memory_mib: int


class EngineMemory:
    """Accounts for the memory of loading, ready and unloading residents.

    >>> memory = EngineMemory(100)
    >>> memory.reserve(Resident("m1", "1", 60)), memory.used_mib
    (Ok(None), 60)
    >>> memory.reserve(Resident("m2", "1", 60)).is_err(), memory.overcommits
    (True, 1)
    """

    def __init__(self, memory_mib: int) -> None:
        self.memory_mib = memory_mib
        self.max_used_mib = 0
        self.overcommits = 0
        self._residents: dict[tuple[str, str], Resident] = {}
        self._users: dict[tuple[str, str], int] = {}

    @property
    def used_mib(self) -> int:
        """Memory in use, that of loads in progress included."""
        return sum(resident.memory_mib for resident in self._residents.values())

    @property
    def residents(self) -> tuple[Resident, ...]:
        """All residents in the order of their loads."""
        return tuple(self._residents.values())

    def reserve(self, resident: Resident) -> Result[None, Overcommit]:
        """Use memory for a new resident, or refuse and count the attempt."""
        used_mib = self.used_mib
        if used_mib + resident.memory_mib > self.memory_mib:
            self.overcommits += 1
            asked_mib = resident.memory_mib
            return Err(Overcommit("reserve", resident.name, used_mib, asked_mib, self.memory_mib))
        self._residents[resident.key] = resident
        self.max_used_mib = max(self.max_used_mib, used_mib + resident.memory_mib)
        return Ok(None)

    def get(self, name: str, version: str) -> Resident | None:
        """Return a resident in any state."""
        return self._residents.get((name, version))

    def find_ready(self, name: str, version: str = "") -> Resident | None:
        """Return the ready resident of a version, or of the version that was loaded first."""
        for resident in self._residents.values():
            if resident.name != name or resident.state != ResidentState.READY:
                continue
            if version in ("", resident.version):
                return resident
        return None

    def adapters_of(self, base: str) -> tuple[Resident, ...]:
        """Return the adapters that were loaded onto a model."""
        return tuple(r for r in self._residents.values() if r.adapter and r.base == base)

    def set_state(self, resident: Resident, state: str) -> None:
        """Change the state of a resident that is still held."""
        held = self._residents.get(resident.key)
        if held is not None:
            self._residents[resident.key] = replace(held, state=state)

    def release(self, resident: Resident) -> None:
        """Free the memory of a resident."""
        self._residents.pop(resident.key, None)

    def clear(self) -> None:
        """Free all memory."""
        self._residents.clear()
        self._users.clear()

    def hold(self, key: tuple[str, str]) -> None:
        """Count a request that uses a resident."""
        self._users[key] = self._users.get(key, 0) + 1

    def let_go(self, key: tuple[str, str]) -> None:
        """End a use counted by ``hold``."""
        left = self._users.pop(key, 0) - 1
        if left > 0:
            self._users[key] = left

    def users(self, key: tuple[str, str]) -> int:
        """Return the number of requests that use a resident."""
        return self._users.get(key, 0)
