"""The platform's object API: versions, conditional updates and watches."""

from .errors import Conflict, ObjectError, RateLimited, TooLarge, Unavailable
from .memory_store import MemoryObjectStore
from .object_store import Change, ObjectStore, StoredObject, WatchResult

__all__ = [
    "Change",
    "Conflict",
    "MemoryObjectStore",
    "ObjectError",
    "ObjectStore",
    "RateLimited",
    "StoredObject",
    "TooLarge",
    "Unavailable",
    "WatchResult",
]
