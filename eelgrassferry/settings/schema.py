"""Schema of the settings files: their sections and keys, and the data class of each section."""

from dataclasses import MISSING, dataclass, fields
from functools import cached_property

from .adapter import Adapter
from .model import Model
from .node_settings import NodeSettings
from .service import Service
from .site import Site
from .store import WeightStore
from .upstream import Upstream
from .value_kind import ValueKind

__all__ = ["DEPLOYMENT_SECTIONS", "NODE_SECTION", "KeySpec", "SectionSpec"]


@dataclass(frozen=True)
class KeySpec:
    """Schema of one key. ``field`` is its data class field, whose name may include the unit."""

    key: str
    field: str
    kind: ValueKind


@dataclass(frozen=True)
class SectionSpec:
    """Schema of the section ``[TYPE]``, or of all sections ``[TYPE NAME]`` if ``named`` is True."""

    section_type: str
    named: bool
    data_class: type
    keys: tuple[KeySpec, ...]

    def find_key(self, key: str) -> KeySpec | None:
        """Return the schema of a key, or None if the section does not have the key."""
        return next((spec for spec in self.keys if spec.key == key), None)

    @cached_property
    def required(self) -> tuple[KeySpec, ...]:
        """The keys that have no default."""
        required_fields = {f.name for f in fields(self.data_class) if f.default is MISSING}
        return tuple(spec for spec in self.keys if spec.field in required_fields)


def _key(key: str, kind: ValueKind, field: str = "") -> KeySpec:
    return KeySpec(key, field or key, kind)


SITE = SectionSpec(
    "site",
    False,
    Site,
    (
        _key("name", ValueKind.NAME),
        _key("domains", ValueKind.NAMES),
        _key("move_cost", ValueKind.NUMBER),
        _key("order_transit", ValueKind.DURATION, "order_transit_s"),
        _key("order_send_limit", ValueKind.DURATION, "order_send_limit_s"),
        _key("lease", ValueKind.DURATION, "lease_s"),
        _key("journal_shards", ValueKind.COUNT),
        _key("journal_retention", ValueKind.DURATION, "journal_retention_s"),
        _key("queue_limit", ValueKind.COUNT),
        _key("retry_ratio", ValueKind.RATIO),
        _key("patient_deadline", ValueKind.DURATION, "patient_deadline_s"),
    ),
)

STORE = SectionSpec(
    "store",
    False,
    WeightStore,
    (
        _key("address", ValueKind.ADDRESS),
        _key("load_rate", ValueKind.RATE, "loads_per_s"),
        _key("slots", ValueKind.COUNT),
        _key("adapter_load", ValueKind.DURATION, "adapter_load_s"),
        _key("adapter_slots", ValueKind.COUNT),
    ),
)

MODEL = SectionSpec(
    "model",
    True,
    Model,
    (
        _key("memory", ValueKind.MEMORY, "memory_mib"),
        _key("version", ValueKind.NAME),
        _key("first_token", ValueKind.DURATION, "first_token_s"),
        _key("token_gap", ValueKind.DURATION, "token_gap_s"),
        _key("priority", ValueKind.PRIORITY, "urgent"),
        _key("max_tokens", ValueKind.COUNT),
        _key("min_replicas", ValueKind.COUNT),
    ),
)

ADAPTER = SectionSpec(
    "adapter",
    True,
    Adapter,
    (
        _key("base", ValueKind.NAME),
        _key("memory", ValueKind.MEMORY, "memory_mib"),
        _key("version", ValueKind.NAME),
        _key("priority", ValueKind.PRIORITY, "urgent"),
    ),
)

UPSTREAM = SectionSpec(
    "upstream",
    True,
    Upstream,
    (
        _key("kind", ValueKind.UPSTREAM_KIND),
        _key("address", ValueKind.ADDRESS),
        _key("domain", ValueKind.NAME),
        _key("accelerators", ValueKind.COUNT),
        _key("memory", ValueKind.MEMORY, "memory_mib"),
        _key("prefill", ValueKind.TOKEN_RATE, "prefill_tokens_per_s"),
        _key("decode", ValueKind.TOKEN_RATE, "decode_tokens_per_s"),
        _key("max_batch", ValueKind.COUNT),
        _key("checks_fence", ValueKind.BOOL),
        _key("checks_caller", ValueKind.BOOL),
    ),
)

SERVICE = SectionSpec(
    "service",
    True,
    Service,
    (
        _key("upstreams", ValueKind.NAMES),
        _key("repeatable", ValueKind.CALL_RULES),
        _key("urgent_paths", ValueKind.PATHS),
        _key("timeout", ValueKind.DURATION, "timeout_s"),
    ),
)

DEPLOYMENT_SECTIONS = (SITE, STORE, MODEL, ADAPTER, UPSTREAM, SERVICE)

NODE_SECTION = SectionSpec(
    "node",
    False,
    NodeSettings,
    (
        _key("name", ValueKind.NAME),
        _key("site", ValueKind.NAME),
        _key("domain", ValueKind.NAME),
        _key("listen", ValueKind.BIND_ADDRESS),
        _key("operator_listen", ValueKind.BIND_ADDRESS),
        _key("peer_listen", ValueKind.BIND_ADDRESS),
        _key("platform", ValueKind.ADDRESS),
        _key("operator_token", ValueKind.TEXT),
        _key("engine_token", ValueKind.TEXT),
        _key("peer_keys", ValueKind.TEXTS),
        _key("seeds", ValueKind.ADDRESSES),
        _key("statsd", ValueKind.ADDRESS),
        _key("base_file", ValueKind.TEXT),
        _key("overlay_file", ValueKind.TEXT),
        _key("drain_grace", ValueKind.DURATION, "drain_grace_s"),
    ),
)
