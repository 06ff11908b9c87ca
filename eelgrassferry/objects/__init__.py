"""The platform's object API: versions, conditional updates and watches."""

from .errors import Conflict, ObjectError, RateLimited, TooLarge, Unavailable
from .host_list import Host, HostList, HostState
from .http_store import HttpObjectStore
from .memory_store import MemoryObjectStore
from .object_store import Change, ObjectStore, StoredObject, WatchResult
from .settle import put_settled

__all__ = [
    "Change",
    "Conflict",
    "Host",
    "HostList",
    "HostState",
    "HttpObjectStore",
    "MemoryObjectStore",
    "ObjectError",
    "ObjectStore",
    "RateLimited",
    "StoredObject",
    "TooLarge",
    "Unavailable",
    "WatchResult",
    "put_settled",
]
