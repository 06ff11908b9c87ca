"""Parsing of INI text into sections, with all syntax errors reported at once."""

import configparser
import re
from dataclasses import dataclass, field

from .setting_error import SettingError
from .settings_text import SettingsText

__all__ = ["RawFile", "RawSection", "RawValue", "read_ini"]

# Prefix of the placeholders that replace rejected sections and keys while the rest of the file is
# read. It can't clash with names in a file, because files with a NUL character are rejected.
REJECTED_PREFIX = "\0rejected"


@dataclass(frozen=True)
class RawValue:
    """The text of one value and the name of the file that contains it."""

    text: str
    file: str


@dataclass(frozen=True)
class RawSection:
    """An unparsed section with its normalized name, such as ``model m1`` or ``site``."""

    name: str
    file: str
    values: dict[str, RawValue] = field(default_factory=dict)


@dataclass(frozen=True)
class RawFile:
    """The sections of a file that could be read, and the syntax errors in the rest."""

    sections: tuple[RawSection, ...]
    errors: tuple[SettingError, ...]


def read_ini(source: SettingsText) -> RawFile:
    """Read a file with a strict ``configparser`` and collect all syntax errors.

    The parser stops at the first error of most kinds. Each invalid line is therefore replaced by a
    placeholder and the text is parsed again, until there is no error left. Every pass replaces at
    least one line, so there are at most as many passes as lines.
    """
    if "\0" in source.text:
        error = SettingError(source.file, "", "", "read", "the file contains a NUL character")
        return RawFile((), (error,))
    lines = source.text.splitlines()
    errors: list[SettingError] = []
    while True:
        parser = configparser.ConfigParser(
            delimiters=("=",),
            comment_prefixes=("#", ";"),
            inline_comment_prefixes=("#",),
            default_section=REJECTED_PREFIX,
            interpolation=None,
            strict=True,
            empty_lines_in_values=False,
        )
        parser.optionxform = str  # type: ignore[assignment, method-assign]
        try:
            parser.read_string("\n".join(lines), source.file)
            break
        except configparser.DuplicateSectionError as exc:
            errors.append(_error(source, exc.section, "", "the section is given twice", exc.lineno))
            lines[exc.lineno - 1] = f"[{REJECTED_PREFIX}{len(errors)}]"
        except configparser.DuplicateOptionError as exc:
            message = "the key is given twice"
            errors.append(_error(source, exc.section, exc.option, message, exc.lineno))
            lines[exc.lineno - 1] = f"{REJECTED_PREFIX}{len(errors)} ="
        except configparser.MissingSectionHeaderError as exc:
            message = "the line stands before the first section"
            errors.append(_error(source, "", "", message, exc.lineno))
            lines[exc.lineno - 1] = ""
        except configparser.ParsingError as exc:
            for number, _ in exc.errors:
                message = "the line is neither a section nor 'key = value'"
                errors.append(_error(source, "", "", message, number))
                lines[number - 1] = ""
    return _collect_sections(source, parser, errors)


def _collect_sections(
    source: SettingsText, parser: configparser.ConfigParser, errors: list[SettingError]
) -> RawFile:
    """Return the sections without the placeholders, adding an error for each repeated name."""
    sections: dict[str, RawSection] = {}
    for title in parser.sections():
        if title.startswith(REJECTED_PREFIX):
            continue
        name = re.sub(r"\s+", " ", title.strip())
        if name in sections:
            # configparser does not normalize spaces: ``[model a]`` and ``[model  a]`` differ.
            errors.append(_error(source, name, "", "the section is given twice", None))
            continue
        pairs = ((k, v) for k, v in parser.items(title) if not k.startswith(REJECTED_PREFIX))
        values = {key: RawValue(" ".join(text.split()), source.file) for key, text in pairs}
        sections[name] = RawSection(name, source.file, values)
    return RawFile(tuple(sections.values()), tuple(errors))


def _error(
    source: SettingsText, section: str, key: str, message: str, line: int | None
) -> SettingError:
    location = f" (line {line})" if line else ""
    return SettingError(source.file, section, key, "read", message + location)
