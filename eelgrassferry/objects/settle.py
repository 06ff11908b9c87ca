"""Conditional writes that resolve whether a write with a lost response took effect."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from .errors import Conflict, ObjectError, RateLimited, Unavailable
from .object_store import ObjectStore

__all__ = ["put_and_resolve"]

MAX_ATTEMPTS = 4
# Doubled before every retry.
RETRY_DELAY_S = 0.02


async def put_and_resolve(
    store: ObjectStore,
    key: str,
    value: bytes,
    expected: int,
    contains: Callable[[bytes], bool],
) -> Result[int, ObjectError]:
    """Write the object if its version is ``expected``; return the version with this write.

    ``contains`` returns whether a value that was read back includes this write, usually by a
    write id in it. It must also return True for a later value that another writer derived from
    this one.

    If the response is lost, an unchanged version that is read back proves nothing, because the
    write may still arrive. The same conditional write is therefore repeated. Either it takes
    effect, and then the first one can no longer do so, or it conflicts, and then the value that
    is read back decides. The result is ``Unavailable(uncertain=True)`` only if the store remains
    unavailable.

    >>> # await put_and_resolve(store, "a", b"id-1", 0, lambda stored: b"id-1" in stored)
    """
    uncertain: ObjectError | None = None
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await asyncio.sleep(RETRY_DELAY_S * 2**attempt)
        outcome = await store.put(key, value, expected)
        match outcome:
            case Ok():
                return outcome
            case Err(Conflict() as conflict):
                if uncertain is None:
                    return Err(conflict)
                read = await store.get(key)
                match read:
                    case Ok(stored):
                        found = stored is not None and contains(stored.value)
                        return Ok(stored.version) if found else Err(conflict)
            case Err(Unavailable(uncertain=True) as lost):
                uncertain = lost
            case Err(RateLimited() | Unavailable()) if uncertain is not None:
                continue
            case Err(refused):
                return Err(uncertain or refused)
    assert uncertain is not None
    return Err(uncertain)
