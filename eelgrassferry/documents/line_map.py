"""Line numbers of the values in a JSON text."""

import json
import re
from dataclasses import dataclass, field

__all__ = ["Path", "map_lines"]

# The way from the top of a document to a value: the keys of objects and the indexes of lists.
Path = tuple[str | int, ...]

TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},:]|[^\s\[\]{},:"]+', re.DOTALL)


@dataclass
class _Container:
    """An object or list that is being read; ``key`` is None before the first key of an object."""

    is_object: bool
    key: str | int | None = None
    awaits_key: bool = field(default=False)


def map_lines(text: str) -> dict[Path, int]:
    """Return the line at which each value of a valid JSON text begins, by its path.

    The line of a field of an object is the line of its key.

    >>> map_lines('{\\n"routes": [\\n{"name": "r1"}]}')[("routes", 0, "name")]
    3
    """
    lines: dict[Path, int] = {(): 1}
    stack: list[_Container] = []
    line, counted_to = 1, 0
    for token in TOKEN.finditer(text):
        line += text.count("\n", counted_to, token.start())
        counted_to = token.start()
        value = token.group()
        top = stack[-1] if stack else None
        if value == ",":
            _advance(top)
        elif value in "]}":
            stack.pop()
        elif value != ":":
            if top is not None and top.awaits_key:
                top.key, top.awaits_key = json.loads(value), False
            if top is not None:
                path = tuple(container.key for container in stack if container.key is not None)
                lines.setdefault(path, line)
            if value in "[{":
                is_object = value == "{"
                stack.append(_Container(is_object, None if is_object else 0, is_object))
    return lines


def _advance(container: _Container | None) -> None:
    if container is None:
        return
    if container.is_object:
        container.awaits_key = True
    else:
        assert isinstance(container.key, int)
        container.key += 1
