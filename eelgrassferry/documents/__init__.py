"""Reading of documents that other programs have written, and that may have any content."""

from .fields import MALFORMED, MAX_COUNT, to_count, to_flag, to_number, to_text
from .json_text import parse_json
from .line_map import Path, map_lines

__all__ = [
    "MALFORMED",
    "MAX_COUNT",
    "Path",
    "map_lines",
    "parse_json",
    "to_count",
    "to_flag",
    "to_number",
    "to_text",
]
