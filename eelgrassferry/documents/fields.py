"""Reading of single fields, each with one type and range."""

from typing import Any

__all__ = ["MALFORMED", "MAX_COUNT", "to_count", "to_flag", "to_number", "to_text"]

# Exceptions that reading a malformed document may raise, all of which a decoder turns into its
# error. OverflowError comes from infinite or huge numbers, RecursionError from deep nesting.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Largest whole number that a document may contain. JSON numbers are exact up to here, and messages
# between nodes encode integers in 64 bits.
MAX_COUNT = 2**53
MAX_NUMBER = 1e15


def to_number(value: Any, low: float = 0.0, high: float = MAX_NUMBER) -> float:
    """Return a finite number from ``low`` to ``high``.

    Raises ``TypeError`` for a value of another type, and ``ValueError`` for a number out of range.

    >>> to_number(2)
    2.0
    >>> to_number(float("inf"))
    Traceback (most recent call last):
    ...
    ValueError: inf is not a number from 0.0 to 1000000000000000.0
    """
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    # The comparison is false for NaN, and does not convert a huge integer to a float.
    if not low <= value <= high:
        shown = value if isinstance(value, float) else f"an integer of {value.bit_length()} bits"
        raise ValueError(f"{shown} is not a number from {low} to {high}")
    return float(value)


def to_count(value: Any, low: int = 0, high: int = MAX_COUNT) -> int:
    """Return a whole number from ``low`` to ``high``, which may be written as 6.0.

    Raises ``TypeError`` for a value of another type, and ``ValueError`` for any other number.
    """
    number = to_number(value, low, high)
    if not number.is_integer():
        raise ValueError(f"{number} is not a whole number")
    return int(value)


def to_text(value: Any) -> str:
    """Return a text that can be encoded.

    Raises ``TypeError`` for a value of another type, and ``ValueError`` for a text with lone
    surrogates, which JSON can express but no message between nodes can contain.
    """
    if type(value) is not str:
        raise TypeError(f"expected text, got {type(value).__name__}")
    value.encode()
    return value


def to_flag(value: Any) -> bool:
    """Return a boolean; raise ``TypeError`` for a value of another type."""
    if type(value) is not bool:
        raise TypeError(f"expected true or false, got {type(value).__name__}")
    return value
