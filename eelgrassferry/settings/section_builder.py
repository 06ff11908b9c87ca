"""Conversion of raw sections into the settings data classes."""

from dataclasses import dataclass
from typing import Any

from result import Err, Ok

from .ini import RawSection
from .schema import SectionSpec
from .setting_error import SettingError
from .value_kind import is_name, parse_value

__all__ = ["SectionBuilder"]


@dataclass(frozen=True)
class _SectionMatch:
    """The schema of a section, and its name, which is empty if the schema has no name."""

    spec: SectionSpec
    name: str


class SectionBuilder:
    """Parser of sections according to a schema, which collects all errors.

    ``built`` maps each section type to the objects of its valid sections by name. ``declared`` maps
    it to the names of all its sections, including invalid ones, so that an invalid section does not
    cause further errors in the sections that refer to it.
    """

    def __init__(self, specs: tuple[SectionSpec, ...]) -> None:
        self._specs = specs
        self.errors: list[SettingError] = []
        self.built: dict[str, dict[str, Any]] = {spec.section_type: {} for spec in specs}
        self.declared: dict[str, set[str]] = {spec.section_type: set() for spec in specs}

    def add(self, section: RawSection) -> None:
        """Parse one section and add its object to ``built``, or its errors to ``errors``."""
        matched = self._match_section(section)
        if matched is None:
            return
        spec, errors_before = matched.spec, len(self.errors)
        self.declared[spec.section_type].add(matched.name)
        values: dict[str, Any] = {"name": matched.name} if spec.named else {}
        for key, raw in section.values.items():
            key_spec = spec.find_key(key)
            if key_spec is None:
                known = ", ".join(k.key for k in spec.keys)
                message = f"the key is unknown; the keys of this section are {known}"
                self._add_error(raw.file, section.name, key, message)
                continue
            match parse_value(key_spec.kind, raw.text):
                case Ok(value):
                    values[key_spec.field] = value
                case Err(message):
                    self._add_error(raw.file, section.name, key, message)
        for key_spec in spec.required:
            if key_spec.key not in section.values:
                self._add_error(section.file, section.name, key_spec.key, "the key is missing")
        if len(self.errors) == errors_before:
            self.built[spec.section_type][matched.name] = spec.data_class(**values)

    def _match_section(self, section: RawSection) -> _SectionMatch | None:
        section_type, _, name = section.name.partition(" ")
        spec = next((spec for spec in self._specs if spec.section_type == section_type), None)
        if spec is None or (name and not spec.named):
            forms = ", ".join(
                f"[{s.section_type}{' NAME' if s.named else ''}]" for s in self._specs
            )
            self._add_error(
                section.file, section.name, "", f"the section is unknown; known are {forms}"
            )
            return None
        if spec.named and not is_name(name):
            message = (
                "the section needs one name of letters, digits, '.', '-' and '_': "
                f"[{section_type} NAME]"
            )
            self._add_error(section.file, section.name, "", message)
            return None
        return _SectionMatch(spec, name)

    def _add_error(self, file: str, section: str, key: str, message: str) -> None:
        self.errors.append(SettingError(file, section, key, "parse", message))
