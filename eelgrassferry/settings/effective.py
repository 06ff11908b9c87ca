"""Formatting of the effective settings of a deployment."""

from .loaded import LoadedDeployment

__all__ = ["format_effective"]

# Width at which the comments are aligned at most. The comment of a longer line follows the line
# directly, so that one long value does not move all comments to the right.
MAX_VALUE_WIDTH = 48


def format_effective(loaded: LoadedDeployment) -> str:
    """Return the merged settings as INI text, with the origin of each value.

    The origin, a file name or ``default``, is an inline comment, so the text is a valid base file.
    """
    width = max((len(f"{v.key} = {v.value}") for v in loaded.values), default=0)
    width = min(width, MAX_VALUE_WIDTH)
    lines: list[str] = []
    section = ""
    for value in loaded.values:
        if value.section != section:
            section = value.section
            lines += ["", f"[{section}]"] if lines else [f"[{section}]"]
        lines.append(f"{f'{value.key} = {value.value}':<{width}}  # {value.file}")
    return "\n".join(lines) + "\n"
