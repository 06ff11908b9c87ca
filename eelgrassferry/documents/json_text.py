"""Parsing of JSON texts of which parts may be unreadable."""

import json
import math
import re
from typing import Any

__all__ = ["MAX_DEPTH", "parse_json"]

# Values that are nested deeper are replaced by null in a text that the parser rejects as a whole.
MAX_DEPTH = 100
# Integers with more digits are read as infinite, because Python refuses to convert them.
MAX_DIGITS = 400

# A text without its closing quote extends to the end, so that it is scanned once.
TOKEN = re.compile(r'"(?:[^"\\]+|\\.)*+"?|[\[\]{}]', re.DOTALL)


def parse_json(data: bytes) -> Any:
    """Parse a JSON text, also if single values in it cannot be represented.

    A text that contains the documents of several writers must stay readable if one of them is not:
    bytes that are not UTF-8 become replacement characters, integers of any length infinity, and
    values nested deeper than ``MAX_DEPTH`` null. Raises ``ValueError`` if the text is not JSON.

    >>> parse_json(b'[{"slots": 1e999}, {"slots": 6}]')
    [{'slots': inf}, {'slots': 6}]
    """
    try:
        return json.loads(data)
    except (RecursionError, ValueError):
        text = _cut_deep_values(data.decode("utf-8", errors="replace"))
        return json.loads(text, parse_int=_parse_int)


def _parse_int(digits: str) -> float:
    if len(digits) <= MAX_DIGITS:
        return int(digits)
    return -math.inf if digits.startswith("-") else math.inf


def _cut_deep_values(text: str) -> str:
    """Return a JSON text in which null replaces each value nested deeper than ``MAX_DEPTH``."""
    parts, depth, kept_from = [], 0, 0
    for token in TOKEN.finditer(text):
        match token.group():
            case "[" | "{":
                depth += 1
                if depth == MAX_DEPTH + 1:
                    parts.append(text[kept_from : token.start()])
            case "]" | "}":
                if depth == MAX_DEPTH + 1:
                    parts.append("null")
                    kept_from = token.end()
                depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError("the text ends inside a nested value")
    return "".join((*parts, text[kept_from:]))
