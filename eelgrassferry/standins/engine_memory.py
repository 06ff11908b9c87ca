"""Memory accounting of the engine stand-in."""

from dataclasses import dataclass, replace
from typing import Any

from result import Err, Ok, Result

__all__ = ["EngineMemory", "Overcommit", "Resident", "ResidentState"]


class ResidentState:
    """The states of a resident, as written in ``GET /admin/status``."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclass(frozen=True)
class Resident:
    """A version of a model or adapter that occupies memory.

    ``base`` is the model of an adapter; it is empty for a model, or if the load order gave none.
    """

    name: str
    version: str
    memory_mib: int
    adapter: bool = False
    base: str = ""
    state: str = ResidentState.LOADING

    @property
    def key(self) -> tuple[str, str]:
        """The name and version, which identify the resident."""
        return self.name, self.version

    def to_json(self, user_count: int) -> dict[str, Any]:
        """Return the entry of ``GET /admin/status``, with the number of requests that use it."""
        return {
            "kind": "adapter" if self.adapter else "model",
            "name": self.name,
            "version": self.version,
            "memory_mib": self.memory_mib,
            "base": self.base,
            "state": self.state,
            "running": user_count,
        }


@dataclass(frozen=True)
class Overcommit:
    """The error of a load that exceeds the free memory."""

    step: str
    peer: str
    used_mib: int
    requested_mib: int
    memory_mib: int


class EngineMemory:
    """The residents of an engine: models and adapters that are loading, ready or unloading.

    A load that exceeds the memory is refused and counted in ``overcommits``.

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
        self._user_counts: dict[tuple[str, str], int] = {}

    @property
    def used_mib(self) -> int:
        """The memory in use in MiB, including loads in progress."""
        return sum(resident.memory_mib for resident in self._residents.values())

    @property
    def residents(self) -> tuple[Resident, ...]:
        """All residents in the order in which their loads began."""
        return tuple(self._residents.values())

    def reserve(self, resident: Resident) -> Result[None, Overcommit]:
        """Reserve memory for a new resident, or count an overcommit and return it as the error."""
        used_mib = self.used_mib
        if used_mib + resident.memory_mib > self.memory_mib:
            self.overcommits += 1
            requested_mib = resident.memory_mib
            return Err(
                Overcommit("reserve", resident.name, used_mib, requested_mib, self.memory_mib)
            )
        self._residents[resident.key] = resident
        self.max_used_mib = max(self.max_used_mib, used_mib + resident.memory_mib)
        return Ok(None)

    def get(self, name: str, version: str) -> Resident | None:
        """Return the resident with a name and version in any state, or None."""
        return self._residents.get((name, version))

    def find_ready(self, name: str, version: str = "") -> Resident | None:
        """Return the ready resident with a version, or the earliest loaded one if none is given."""
        for resident in self._residents.values():
            if resident.name != name or resident.state != ResidentState.READY:
                continue
            if version in ("", resident.version):
                return resident
        return None

    def adapters_of(self, base: str) -> tuple[Resident, ...]:
        """Return the adapters whose base is a model."""
        return tuple(r for r in self._residents.values() if r.adapter and r.base == base)

    def set_state(self, resident: Resident, state: str) -> None:
        """Set the state of a resident; do nothing if its memory has been released."""
        current = self._residents.get(resident.key)
        if current is not None:
            self._residents[resident.key] = replace(current, state=state)

    def release(self, resident: Resident) -> None:
        """Remove a resident and free its memory."""
        self._residents.pop(resident.key, None)

    def clear(self) -> None:
        """Remove all residents."""
        self._residents.clear()
        self._user_counts.clear()

    def add_user(self, key: tuple[str, str]) -> None:
        """Count a request as a user of a resident, which delays the unload."""
        self._user_counts[key] = self._user_counts.get(key, 0) + 1

    def remove_user(self, key: tuple[str, str]) -> None:
        """Remove one user that ``add_user`` counted."""
        remaining = self._user_counts.pop(key, 0) - 1
        if remaining > 0:
            self._user_counts[key] = remaining

    def user_count(self, key: tuple[str, str]) -> int:
        """Return the number of requests that use a resident."""
        return self._user_counts.get(key, 0)
