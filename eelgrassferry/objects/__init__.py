"""Clients of the platform's object API, with versions, conditional writes and watches."""

from .errors import Conflict, HistoryGone, ObjectError, RateLimited, TooLarge, Unavailable
from .feed import FeedUpdate, ObjectFeed
from .host_list import Host, HostList, HostState
from .http_store import HttpObjectStore
from .memory_store import MemoryObjectStore
from .monitored_store import MonitoredStore
from .object_store import Change, ObjectStore, Snapshot, SnapshotStore, StoredObject, WatchResult
from .settle import put_and_resolve
from .store_version import era_of, make_version, revision_of

__all__ = [
    "Change",
    "Conflict",
    "FeedUpdate",
    "HistoryGone",
    "Host",
    "HostList",
    "HostState",
    "HttpObjectStore",
    "MemoryObjectStore",
    "MonitoredStore",
    "ObjectError",
    "ObjectFeed",
    "ObjectStore",
    "RateLimited",
    "Snapshot",
    "SnapshotStore",
    "StoredObject",
    "TooLarge",
    "Unavailable",
    "WatchResult",
    "era_of",
    "make_version",
    "put_and_resolve",
    "revision_of",
]
