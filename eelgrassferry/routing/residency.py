"""View of the models, adapters and versions resident on each upstream, as last reported."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..settings import Deployment
from .messages import ResidentCopy, UpstreamState

__all__ = ["Placement", "ResidencyView"]


@dataclass(frozen=True)
class Placement:
    """Upstream that can serve a model or adapter.

    ``load_adapter`` is true if only the base model of the adapter is resident there.
    """

    upstream: str
    version: str
    load_adapter: bool


class ResidencyView:
    """Resident copies and state of each upstream.

    Each report replaces the previous one. An upstream without a report has no resident copies.
    ``revision`` increases with each change.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._copies: dict[str, tuple[ResidentCopy, ...]] = {}
        self._states: dict[str, UpstreamState] = {}
        self._copies_by_name: dict[str, dict[str, tuple[ResidentCopy, ...]]] = {}
        # Results of ``placements`` since the last change. Without this cache, a decision over 200
        # upstreams spent most of its time there.
        self._placement_cache: dict[tuple[str, str | None], tuple[Placement, ...]] = {}
        self.revision = 0

    def update(
        self, upstream: str, residents: Iterable[ResidentCopy], state: UpstreamState
    ) -> None:
        """Replace the resident copies and the state of an upstream."""
        residents = tuple(residents)
        if self._states.get(upstream) is state and self._copies.get(upstream) == residents:
            return
        self._invalidate()
        for copy in self._copies.pop(upstream, ()):
            self._copies_by_name.get(copy.name, {}).pop(upstream, None)
        self._states[upstream] = state
        if state is UpstreamState.GONE:
            del self._states[upstream]
            return
        self._copies[upstream] = residents
        for copy in self._copies[upstream]:
            by_upstream = self._copies_by_name.setdefault(copy.name, {})
            by_upstream[upstream] = (*by_upstream.get(upstream, ()), copy)

    def set_deployment(self, deployment: Deployment) -> None:
        """Replace the deployment."""
        self._deployment = deployment
        self._invalidate()

    def remove_copy(self, upstream: str, name: str) -> None:
        """Remove a copy that the upstream reported as not resident."""
        remaining = tuple(copy for copy in self._copies.get(upstream, ()) if copy.name != name)
        if upstream in self._states:
            self.update(upstream, remaining, self._states[upstream])

    def state(self, upstream: str) -> UpstreamState:
        """Return the state of an upstream; ``GONE`` if it was never reported."""
        return self._states.get(upstream, UpstreamState.GONE)

    def residents(self, upstream: str) -> tuple[ResidentCopy, ...]:
        """Return the copies resident on an upstream."""
        return self._copies.get(upstream, ())

    def states(self) -> Mapping[str, UpstreamState]:
        """Return the state of every reported upstream."""
        return dict(self._states)

    def placements(self, name: str, version: str | None = None) -> tuple[Placement, ...]:
        """Return the live upstreams that can serve ``name``.

        With ``version``, only copies of that version are considered, whether or not they accept new
        requests. Without it, the version set in the deployment is preferred. While that one is not
        serving anywhere, the greatest other serving version in string order is used.
        """
        placements = self._placement_cache.get((name, version))
        if placements is None:
            placements = self._placement_cache[(name, version)] = tuple(
                self._find_placements(name, version)
            )
        return placements

    def _find_placements(self, name: str, version: str | None) -> list[Placement]:
        adapter = self._deployment.adapters.get(name)
        found = self._find_copies(name, version)
        if adapter is None:
            return found
        resident_upstreams = {placement.upstream for placement in found}
        if version is None or version == adapter.version:
            found += [
                Placement(base.upstream, adapter.version, True)
                for base in self._find_copies(adapter.base, None)
                if base.upstream not in resident_upstreams
            ]
        return found

    def _find_copies(self, name: str, version: str | None) -> list[Placement]:
        found = []
        for upstream, copies in self._copies_by_name.get(name, {}).items():
            if self._states.get(upstream) is not UpstreamState.LIVE:
                continue
            found += [
                Placement(upstream, copy.version, False)
                for copy in copies
                if (copy.serving if version is None else copy.version == version)
            ]
        if version is None and len({placement.version for placement in found}) > 1:
            target = self._target_version(name)
            if any(placement.version == target for placement in found):
                found = [placement for placement in found if placement.version == target]
            else:
                greatest = max(placement.version for placement in found)
                found = [placement for placement in found if placement.version == greatest]
        return found

    def _invalidate(self) -> None:
        self._placement_cache.clear()
        self.revision += 1

    def _target_version(self, name: str) -> str:
        settings = self._deployment.models.get(name) or self._deployment.adapters.get(name)
        return settings.version if settings else ""
