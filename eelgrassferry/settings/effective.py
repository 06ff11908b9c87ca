"""The effective view of a deployment."""

from .loaded import LoadedDeployment

__all__ = ["format_effective"]

# A value longer than this moves only its own comment, not the whole column.
MAX_COLUMN = 48


def format_effective(loaded: LoadedDeployment) -> str:
    """Return the merged result as INI text, each value followed by the file it came from.

    The origin is an inline comment, so the text is itself a valid base file.
    """
    width = max((len(f"{v.key} = {v.value}") for v in loaded.values), default=0)
    width = min(width, MAX_COLUMN)
    lines: list[str] = []
    section = ""
    for value in loaded.values:
        if value.section != section:
            section = value.section
            lines += ["", f"[{section}]"] if lines else [f"[{section}]"]
        lines.append(f"{f'{value.key} = {value.value}':<{width}}  # {value.file}")
    return "\n".join(lines) + "\n"
