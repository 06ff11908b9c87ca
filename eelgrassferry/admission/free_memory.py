"""Return of freed memory to the operating system."""

__all__ = ["return_freed_memory"]


def return_freed_memory() -> None:
    """Return freed memory to the operating system, where the C library can do so.

    The allocator of the GNU C library keeps what large blocks have left on its heap.
    """
    # Imported here because most processes never need it, and it takes memory.
    import ctypes

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
