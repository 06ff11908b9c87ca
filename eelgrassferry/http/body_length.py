"""The length of a body that the head of a message names."""

import h11

__all__ = ["named_body_length"]


def named_body_length(head: h11.Request) -> int:
    """Return the length of the body that a request names in bytes, 0 if it names none.

    The parser has checked that it is a number and the same in all headers that name it.
    """
    return next((int(value) for name, value in head.headers if name == b"content-length"), 0)
