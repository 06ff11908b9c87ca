"""Which upstream holds which model, adapter and version, as last reported."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..settings import Deployment
from .messages import ResidentCopy, UpstreamState

__all__ = ["Placement", "ResidencyView"]


@dataclass(frozen=True)
class Placement:
    """An upstream that can serve a name; ``load_adapter`` when only the base model is there."""

    upstream: str
    version: str
    load_adapter: bool


class ResidencyView:
    """The residents and the state of each upstream.

    Reports replace each other. An upstream without a report holds nothing.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._copies: dict[str, tuple[ResidentCopy, ...]] = {}
        self._states: dict[str, UpstreamState] = {}
        self._holders: dict[str, dict[str, tuple[ResidentCopy, ...]]] = {}
        # Answers since the last change; a decision at 200 upstreams spent most of its time here.
        self._known: dict[tuple[str, str | None], tuple[Placement, ...]] = {}
        self.changes = 0

    def update(
        self, upstream: str, residents: Iterable[ResidentCopy], state: UpstreamState
    ) -> None:
        """Replace what is known about an upstream."""
        residents = tuple(residents)
        if self._states.get(upstream) is state and self._copies.get(upstream) == residents:
            return
        self._note_change()
        for copy in self._copies.pop(upstream, ()):
            self._holders.get(copy.name, {}).pop(upstream, None)
        self._states[upstream] = state
        if state is UpstreamState.GONE:
            del self._states[upstream]
            return
        self._copies[upstream] = residents
        for copy in self._copies[upstream]:
            held = self._holders.setdefault(copy.name, {})
            held[upstream] = (*held.get(upstream, ()), copy)

    def set_deployment(self, deployment: Deployment) -> None:
        """Use another revision of the deployment."""
        self._deployment = deployment
        self._note_change()

    def forget_copy(self, upstream: str, name: str) -> None:
        """Drop one resident that the upstream has said it does not hold."""
        kept = tuple(copy for copy in self._copies.get(upstream, ()) if copy.name != name)
        if upstream in self._states:
            self.update(upstream, kept, self._states[upstream])

    def state(self, upstream: str) -> UpstreamState:
        """Return the state; an upstream never reported counts as gone."""
        return self._states.get(upstream, UpstreamState.GONE)

    def residents(self, upstream: str) -> tuple[ResidentCopy, ...]:
        """Return the copies on an upstream."""
        return self._copies.get(upstream, ())

    def states(self) -> Mapping[str, UpstreamState]:
        """Return the state of every reported upstream."""
        return dict(self._states)

    def placements(self, name: str, version: str | None = None) -> tuple[Placement, ...]:
        """Return the live upstreams that can serve ``name``.

        With ``version``, only copies of that version count, whether or not they take new
        requests. Without, the version wanted by the deployment is preferred, and another serving
        version stands in while the wanted one is not resident anywhere.
        """
        known = self._known.get((name, version))
        if known is None:
            known = self._known[(name, version)] = tuple(self._find(name, version))
        return known

    def _find(self, name: str, version: str | None) -> list[Placement]:
        adapter = self._deployment.adapters.get(name)
        found = self._held(name, version)
        if adapter is None:
            return found
        have = {placement.upstream for placement in found}
        if version is None or version == adapter.version:
            found += [
                Placement(base.upstream, adapter.version, True)
                for base in self._held(adapter.base, None)
                if base.upstream not in have
            ]
        return found

    def _held(self, name: str, version: str | None) -> list[Placement]:
        found = []
        for upstream, copies in self._holders.get(name, {}).items():
            if self._states.get(upstream) is not UpstreamState.LIVE:
                continue
            found += [
                Placement(upstream, copy.version, False)
                for copy in copies
                if (copy.serving if version is None else copy.version == version)
            ]
        if version is None and len({placement.version for placement in found}) > 1:
            wanted = self._wanted(name)
            if any(placement.version == wanted for placement in found):
                found = [placement for placement in found if placement.version == wanted]
            else:
                newest = max(placement.version for placement in found)
                found = [placement for placement in found if placement.version == newest]
        return found

    def _note_change(self) -> None:
        self._known.clear()
        self.changes += 1

    def _wanted(self, name: str) -> str:
        settings = self._deployment.models.get(name) or self._deployment.adapters.get(name)
        return settings.version if settings else ""
