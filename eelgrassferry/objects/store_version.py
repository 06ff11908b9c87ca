"""Versions of a store whose revisions start again from an earlier one when it is restored."""

__all__ = ["MAX_ERA", "MAX_REVISION", "era_of", "make_version", "revision_of"]

REVISION_BITS = 44
MAX_REVISION = 2**REVISION_BITS - 1
# Versions are encoded as signed 64-bit integers in messages between nodes.
MAX_ERA = 2 ** (63 - REVISION_BITS) - 1


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era.

    The store names a new era whenever it was restored from a copy, after which it gives revisions
    out again. Versions of a later era are greater than all of an earlier one. In era 0 a version is
    the revision itself. Raises ``ValueError`` for an era or a revision out of range.

    >>> make_version(0, 7)
    7
    >>> make_version(1, 7) > make_version(0, 1000)
    True
    """
    if not (0 <= era <= MAX_ERA and 0 <= revision <= MAX_REVISION):
        raise ValueError(f"era {era}, revision {revision}: out of range")
    return era << REVISION_BITS | revision


def era_of(version: int) -> int:
    """Return the era of a version.

    >>> era_of(make_version(3, 7))
    3
    """
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the revision of a version within its era.

    >>> revision_of(make_version(3, 7))
    7
    """
    return version & MAX_REVISION
