"""Data model of the fleet: configuration, routes, services and registered upstreams."""

from .caller_limits import CallerLimits
from .entry_settings import EntrySettings, ServiceBounds
from .fleet_config import FleetConfig
from .restored_entries import RestoredEntries
from .route import Backend, RequestKind, Route
from .service import EngineSpec, ModelSpec, Service
from .tenant import QuotaUnit, Tenant
from .upstream_directory import DirectoryChange, UpstreamDirectory
from .upstream_entry import UpstreamEntry, instance_of
from .upstream_notice import NO_NOTICE, UpstreamNotice

__all__ = [
    "NO_NOTICE",
    "Backend",
    "CallerLimits",
    "DirectoryChange",
    "EngineSpec",
    "EntrySettings",
    "FleetConfig",
    "ModelSpec",
    "QuotaUnit",
    "RequestKind",
    "RestoredEntries",
    "Route",
    "Service",
    "ServiceBounds",
    "Tenant",
    "UpstreamDirectory",
    "UpstreamEntry",
    "UpstreamNotice",
    "instance_of",
]
