"""Settings of a deployment: one base file plus one overlay per site."""

from .adapter import Adapter
from .deployment import Deployment
from .difference import Difference, diff_deployments
from .effective import format_effective
from .load import load_deployment, load_node_settings
from .loaded import EffectiveValue, LoadedDeployment
from .model import Model
from .node_settings import NodeSettings
from .service import Service
from .setting_error import SettingError
from .settings_text import SettingsText
from .site import Site
from .store import WeightStore
from .upstream import Upstream, UpstreamKind

__all__ = [
    "Adapter",
    "Deployment",
    "Difference",
    "EffectiveValue",
    "LoadedDeployment",
    "Model",
    "NodeSettings",
    "Service",
    "SettingError",
    "SettingsText",
    "Site",
    "Upstream",
    "UpstreamKind",
    "WeightStore",
    "diff_deployments",
    "format_effective",
    "load_deployment",
    "load_node_settings",
]
