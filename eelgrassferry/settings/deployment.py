"""The settings shared by all nodes of a site."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .adapter import Adapter
from .model import Model
from .service import Service
from .site import Site
from .store import WeightStore
from .upstream import Upstream, UpstreamKind

__all__ = ["Deployment"]


@dataclass(frozen=True)
class Deployment:
    """The validated settings of a site: the base file merged with the site's overlay.

    The mappings are keyed by the names of their sections.
    """

    site: Site
    store: WeightStore = field(default_factory=WeightStore)
    models: Mapping[str, Model] = field(default_factory=dict)
    adapters: Mapping[str, Adapter] = field(default_factory=dict)
    upstreams: Mapping[str, Upstream] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)

    @property
    def engines(self) -> tuple[Upstream, ...]:
        """The upstreams that run a model engine, sorted by name."""
        found = (u for u in self.upstreams.values() if u.kind is UpstreamKind.ENGINE)
        return tuple(sorted(found, key=lambda upstream: upstream.name))

    def base_model_of(self, name: str) -> str | None:
        """Return the base model of an adapter, the name itself for a model, or None if unknown."""
        if name in self.models:
            return name
        adapter = self.adapters.get(name)
        return adapter.base if adapter else None
