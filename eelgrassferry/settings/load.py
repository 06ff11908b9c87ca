"""Loading of a deployment from its base and overlay files, and of the settings of one node."""

from collections.abc import Iterable
from functools import lru_cache
from typing import Any

from result import Err, Ok, Result

from .checks import ENGINE_KEYS, DeploymentChecks
from .deployment import Deployment
from .ini import RawFile, RawSection, read_ini
from .loaded import DEFAULT_ORIGIN, EffectiveValue, LoadedDeployment
from .node_settings import NodeSettings
from .schema import DEPLOYMENT_SECTIONS, NODE_SECTION
from .section_builder import SectionBuilder
from .setting_error import SettingError
from .settings_text import SettingsText
from .site import Site
from .store import WeightStore
from .upstream import Upstream, UpstreamKind
from .value_kind import format_value

__all__ = ["list_values", "load_deployment", "load_node_settings"]


# Applying one change loads the new texts twice and the texts in force once. Loading blocks the
# event loop, so the last results are cached. Arguments and results are immutable.
@lru_cache(maxsize=3)
def load_deployment(
    base: SettingsText, overlay: SettingsText
) -> Result[LoadedDeployment, tuple[SettingError, ...]]:
    """Merge the overlay into the base and check the result; return all errors at once.

    The overlay may override any key and add sections, but it can't remove a section or key of the
    base. Anything that some site must not have has to be left out of the base.
    """
    files = (read_ini(base), read_ini(overlay))
    merged = _merge_sections(files)
    builder = SectionBuilder(DEPLOYMENT_SECTIONS)
    builder.errors += [error for file in files for error in file.errors]
    for section in merged.values():
        builder.add(section)
    if "site" not in merged:
        builder.errors.append(
            SettingError(overlay.file, "site", "", "parse", "the section is missing")
        )

    def origin(section: str, key: str) -> str | None:
        found = merged.get(section)
        if found is None or not key:
            return found.file if found else None
        return found.values[key].file if key in found.values else None

    deployment = _build_deployment(builder.built)
    if deployment is not None:
        complete = not builder.errors
        checks = DeploymentChecks(deployment, builder.declared, origin, complete=complete)
        builder.errors += checks.run()
    if deployment is None or builder.errors:
        return Err(tuple(builder.errors))
    values = (
        EffectiveValue(v.section, v.key, v.value, origin(v.section, v.key) or DEFAULT_ORIGIN)
        for v in list_values(deployment)
    )
    return Ok(LoadedDeployment(deployment, tuple(values)))


def load_node_settings(text: SettingsText) -> Result[NodeSettings, tuple[SettingError, ...]]:
    """Load the settings file of one node, which consists of the section ``[node]``."""
    file = read_ini(text)
    builder = SectionBuilder((NODE_SECTION,))
    builder.errors += file.errors
    for section in file.sections:
        builder.add(section)
    if all(section.name != NODE_SECTION.section_type for section in file.sections):
        builder.errors.append(
            SettingError(text.file, "node", "", "parse", "the section is missing")
        )
    if builder.errors:
        return Err(tuple(builder.errors))
    return Ok(builder.built[NODE_SECTION.section_type][""])


def list_values(deployment: Deployment) -> tuple[EffectiveValue, ...]:
    """Return all values of a deployment in canonical form, with the origin ``default``.

    Keys that are not set or don't apply, such as the memory of an application server, are omitted.
    """
    found: list[EffectiveValue] = []
    items_by_type = {
        "site": {"": deployment.site},
        "store": {"": deployment.store},
        "model": deployment.models,
        "adapter": deployment.adapters,
        "upstream": deployment.upstreams,
        "service": deployment.services,
    }
    for spec in DEPLOYMENT_SECTIONS:
        for name, item in sorted(items_by_type[spec.section_type].items()):
            section = f"{spec.section_type} {name}" if spec.named else spec.section_type
            for key in spec.keys:
                value = getattr(item, key.field)
                if _is_unset(item, key.key, value):
                    continue
                text = format_value(key.kind, value)
                found.append(EffectiveValue(section, key.key, text, DEFAULT_ORIGIN))
    return tuple(found)


def _is_unset(item: Any, key: str, value: Any) -> bool:
    if isinstance(item, Upstream) and item.kind is UpstreamKind.SERVICE and key in ENGINE_KEYS:
        return True
    return not value and value is not False


def _merge_sections(files: Iterable[RawFile]) -> dict[str, RawSection]:
    """Merge the sections of several files by name; values of later files take precedence."""
    merged: dict[str, RawSection] = {}
    for file in files:
        for section in file.sections:
            existing = merged.get(section.name)
            if existing is None:
                merged[section.name] = section
            else:
                values = {**existing.values, **section.values}
                merged[section.name] = RawSection(section.name, existing.file, values)
    return merged


def _build_deployment(built: dict[str, dict[str, Any]]) -> Deployment | None:
    """Return a deployment of the valid sections, or None if there is no valid site section."""
    site: Site | None = built["site"].get("")
    if site is None:
        return None
    return Deployment(
        site,
        built["store"].get("", WeightStore()),
        built["model"],
        built["adapter"],
        built["upstream"],
        built["service"],
    )
