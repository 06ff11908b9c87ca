"""Settings of a deployment, read from one base file and one overlay file per site."""

from .adapter import Adapter
from .apply import ApplyError, apply_change, read_config
from .config_change import (
    ApplyConflict,
    ConfigChange,
    ConflictReason,
    SettingErrors,
    check_change,
)
from .config_holder import ConfigHolder
from .config_request import encode_change
from .deployment import Deployment
from .difference import Difference, diff_deployments
from .effective import format_effective
from .load import load_deployment, load_node_settings
from .loaded import EffectiveValue, LoadedDeployment
from .model import Model
from .node_settings import NodeSettings
from .operator_api import OperatorApi
from .operator_node import (
    DrainError,
    Explanation,
    NodeState,
    OperatorNode,
    StatusView,
    UpstreamState,
)
from .revision import AppliedChange, ConfigRecord, config_key, decode_record, encode_record
from .samples import read_sample
from .service import Service
from .setting_error import SettingError
from .settings_text import SettingsText
from .site import Site
from .store import WeightStore
from .upstream import Upstream, UpstreamKind

__all__ = [
    "Adapter",
    "AppliedChange",
    "ApplyConflict",
    "ApplyError",
    "ConfigChange",
    "ConfigHolder",
    "ConfigRecord",
    "ConflictReason",
    "Deployment",
    "Difference",
    "DrainError",
    "EffectiveValue",
    "Explanation",
    "LoadedDeployment",
    "Model",
    "NodeSettings",
    "NodeState",
    "OperatorApi",
    "OperatorNode",
    "Service",
    "SettingError",
    "SettingErrors",
    "SettingsText",
    "Site",
    "StatusView",
    "Upstream",
    "UpstreamKind",
    "UpstreamState",
    "WeightStore",
    "apply_change",
    "check_change",
    "config_key",
    "decode_record",
    "diff_deployments",
    "encode_change",
    "encode_record",
    "format_effective",
    "load_deployment",
    "load_node_settings",
    "read_config",
    "read_sample",
]
