"""Settings of a deployment: one base file plus one overlay per site."""

from .adapter import Adapter
from .deployment import Deployment
from .model import Model
from .node_settings import NodeSettings
from .service import Service
from .site import Site
from .store import WeightStore
from .upstream import Upstream, UpstreamKind

__all__ = [
    "Adapter",
    "Deployment",
    "Model",
    "NodeSettings",
    "Service",
    "Site",
    "Upstream",
    "UpstreamKind",
    "WeightStore",
]
