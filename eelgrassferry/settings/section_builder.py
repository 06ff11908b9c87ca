"""Turns raw sections into the settings data classes."""

from dataclasses import dataclass
from typing import Any

from result import Err, Ok

from .ini import RawSection
from .schema import SectionSpec
from .setting_error import SettingError
from .value_kind import is_name, parse_value

__all__ = ["SectionBuilder"]


@dataclass(frozen=True)
class _Placed:
    spec: SectionSpec
    name: str


class SectionBuilder:
    """Parses sections of a known set and collects the faults.

    ``declared`` holds the names of all sections of a word, including faulty ones, so that one
    faulty section is not reported again wherever another section refers to it.
    """

    def __init__(self, specs: tuple[SectionSpec, ...]) -> None:
        self._specs = specs
        self.errors: list[SettingError] = []
        self.built: dict[str, dict[str, Any]] = {spec.word: {} for spec in specs}
        self.declared: dict[str, set[str]] = {spec.word: set() for spec in specs}

    def add(self, section: RawSection) -> None:
        """Parse one section and keep its object, or its faults."""
        placed = self._place(section)
        if placed is None:
            return
        spec, before = placed.spec, len(self.errors)
        self.declared[spec.word].add(placed.name)
        values: dict[str, Any] = {"name": placed.name} if spec.named else {}
        for key, raw in section.values.items():
            key_spec = spec.find_key(key)
            if key_spec is None:
                known = ", ".join(k.key for k in spec.keys)
                message = f"the key is unknown; the keys of this section are {known}"
                self._fail(raw.file, section.name, key, message)
                continue
            match parse_value(key_spec.kind, raw.text):
                case Ok(value):
                    values[key_spec.field] = value
                case Err(message):
                    self._fail(raw.file, section.name, key, message)
        for key_spec in spec.required:
            if key_spec.key not in section.values:
                self._fail(section.file, section.name, key_spec.key, "the key is missing")
        if len(self.errors) == before:
            self.built[spec.word][placed.name] = spec.data_class(**values)

    def _place(self, section: RawSection) -> _Placed | None:
        word, _, name = section.name.partition(" ")
        spec = next((spec for spec in self._specs if spec.word == word), None)
        if spec is None or (name and not spec.named):
            forms = ", ".join(f"[{s.word}{' NAME' if s.named else ''}]" for s in self._specs)
            self._fail(section.file, section.name, "", f"the section is unknown; known are {forms}")
            return None
        if spec.named and not is_name(name):
            message = (
                f"the section needs one name of letters, digits, '.', '-' and '_': [{word} NAME]"
            )
            self._fail(section.file, section.name, "", message)
            return None
        return _Placed(spec, name)

    def _fail(self, file: str, section: str, key: str, message: str) -> None:
        self.errors.append(SettingError(file, section, key, "parse", message))
