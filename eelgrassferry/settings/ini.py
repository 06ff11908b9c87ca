"""Reading of INI text into sections, with every syntax fault reported at once."""

import configparser
import re
from dataclasses import dataclass, field

from .setting_error import SettingError
from .settings_text import SettingsText

__all__ = ["RawFile", "RawSection", "RawValue", "read_ini"]

# Stands for a rejected section or key while the rest of the file is read. No valid file contains
# a NUL character, because the parser rejects any that does.
REJECTED = "\0rejected"


@dataclass(frozen=True)
class RawValue:
    """The text of one value and the file it stands in."""

    text: str
    file: str


@dataclass(frozen=True)
class RawSection:
    """A section as read, under its normalized name: ``model m1`` or ``site``."""

    name: str
    file: str
    values: dict[str, RawValue] = field(default_factory=dict)


@dataclass(frozen=True)
class RawFile:
    """The readable sections of a file and the faults found in the rest."""

    sections: tuple[RawSection, ...]
    errors: tuple[SettingError, ...]


def read_ini(source: SettingsText) -> RawFile:
    """Read a file with a strict ``configparser``.

    The parser stops at the first fault of each kind, so a faulty line is neutralized and the text
    is read again until no fault is left. Every round neutralizes at least one line, which bounds
    the number of rounds by the number of lines.
    """
    if "\0" in source.text:
        fault = SettingError(source.file, "", "", "read", "the file contains a NUL character")
        return RawFile((), (fault,))
    lines = source.text.splitlines()
    errors: list[SettingError] = []
    while True:
        parser = configparser.ConfigParser(
            delimiters=("=",),
            comment_prefixes=("#", ";"),
            inline_comment_prefixes=("#",),
            default_section=REJECTED,
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
            lines[exc.lineno - 1] = f"[{REJECTED}{len(errors)}]"
        except configparser.DuplicateOptionError as exc:
            message = "the key is given twice"
            errors.append(_error(source, exc.section, exc.option, message, exc.lineno))
            lines[exc.lineno - 1] = f"{REJECTED}{len(errors)} ="
        except configparser.MissingSectionHeaderError as exc:
            message = "the line stands before the first section"
            errors.append(_error(source, "", "", message, exc.lineno))
            lines[exc.lineno - 1] = ""
        except configparser.ParsingError as exc:
            for number, _ in exc.errors:
                message = "the line is neither a section nor 'key = value'"
                errors.append(_error(source, "", "", message, number))
                lines[number - 1] = ""
    return _collect(source, parser, errors)


def _collect(
    source: SettingsText, parser: configparser.ConfigParser, errors: list[SettingError]
) -> RawFile:
    sections: dict[str, RawSection] = {}
    for title in parser.sections():
        if title.startswith(REJECTED):
            continue
        name = re.sub(r"\s+", " ", title.strip())
        if name in sections:
            # ``[model a]`` and ``[model  a]`` differ for configparser only.
            errors.append(_error(source, name, "", "the section is given twice", None))
            continue
        pairs = ((k, v) for k, v in parser.items(title) if not k.startswith(REJECTED))
        values = {key: RawValue(" ".join(text.split()), source.file) for key, text in pairs}
        sections[name] = RawSection(name, source.file, values)
    return RawFile(tuple(sections.values()), tuple(errors))


def _error(
    source: SettingsText, section: str, key: str, message: str, line: int | None
) -> SettingError:
    place = f" (line {line})" if line else ""
    return SettingError(source.file, section, key, "read", message + place)
