"""Conditional writes whose lost answer is settled."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from .errors import Conflict, ObjectError, RateLimited, Unavailable
from .object_store import ObjectStore

__all__ = ["put_settled"]

ATTEMPTS = 4
FIRST_PAUSE_S = 0.02


async def put_settled(
    store: ObjectStore,
    key: str,
    value: bytes,
    expected: int,
    contains: Callable[[bytes], bool],
) -> Result[int, ObjectError]:
    """Write if the object's version is ``expected`` and find out whether a lost answer was a yes.

    ``contains`` says whether a value read back carries this write, usually by a write id in it;
    it must also say yes for a later value that another writer has built on this one.

    An unchanged version read back proves nothing, because the write may still be on its way.
    The same conditional write is therefore repeated: either it takes effect, and then the first
    one cannot any more, or it conflicts, and then the value read back decides. The result is
    ``Unavailable(uncertain=True)`` only while the store stays away.

    >>> # await put_settled(store, "a", b"id-1", 0, lambda held: b"id-1" in held)
    """
    uncertain: ObjectError | None = None
    for attempt in range(ATTEMPTS):
        if attempt:
            await asyncio.sleep(FIRST_PAUSE_S * 2**attempt)
        wrote = await store.put(key, value, expected)
        match wrote:
            case Ok():
                return wrote
            case Err(Conflict() as conflict):
                if uncertain is None:
                    return Err(conflict)
                read = await store.get(key)
                match read:
                    case Ok(held):
                        found = held is not None and contains(held.value)
                        return Ok(held.version) if found else Err(conflict)
            case Err(Unavailable(uncertain=True) as lost):
                uncertain = lost
            case Err(RateLimited() | Unavailable()) if uncertain is not None:
                continue
            case Err(refused):
                return Err(uncertain or refused)
    assert uncertain is not None
    return Err(uncertain)
