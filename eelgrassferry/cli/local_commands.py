"""Commands that use only local files."""

from dataclasses import asdict
from pathlib import Path

from result import Err, Ok

from ..settings import (
    Deployment,
    NodeSettings,
    SettingError,
    format_effective,
    load_deployment,
    load_node_settings,
)
from .exit_code import ExitCode
from .files import read_settings_file, read_settings_files
from .output import AsJson, report, report_errors

__all__ = ["check", "effective"]


def check(base: Path, overlay: Path, *, settings: Path | None = None, json: AsJson = False) -> int:
    """Check the settings files of a deployment and print all errors.

    Exit codes: 0 valid, 2 invalid.

    Parameters
    ----------
    base
        The base file.
    overlay
        The overlay file of the site.
    settings
        The settings file of a node, which is checked by itself and against the deployment.
    """
    match read_settings_files(base, overlay):
        case Err(errors):
            return report_errors(errors, as_json=json)
        case Ok(texts):
            loaded = load_deployment(*texts)
    errors = list(loaded.err() or ())
    if settings is not None:
        deployment = loaded.ok_value.deployment if isinstance(loaded, Ok) else None
        errors += _check_node(settings, deployment)
    if errors or isinstance(loaded, Err):
        return report_errors(errors, as_json=json)
    found = loaded.ok_value.deployment
    counts = {
        "domains": len(found.site.domains),
        "engines": len(found.engines),
        "services": len(found.upstreams) - len(found.engines),
        "models": len(found.models),
        "adapters": len(found.adapters),
    }
    text = ", ".join(f"{count} {name}" for name, count in counts.items())
    document = {"site": found.site.name, **counts, "errors": []}
    return report(ExitCode.OK, document, [f"{found.site.name}: valid; {text}"], as_json=json)


def effective(base: Path, overlay: Path, *, json: AsJson = False) -> int:
    """Print the merged settings of a deployment with the origin of each value.

    The output is a valid base file. Exit codes: 0 valid, 2 invalid.

    Parameters
    ----------
    base
        The base file.
    overlay
        The overlay file of the site.
    """
    match read_settings_files(base, overlay):
        case Err(errors):
            return report_errors(errors, as_json=json)
        case Ok(texts):
            loaded = load_deployment(*texts)
    if isinstance(loaded, Err):
        return report_errors(loaded.err_value, as_json=json)
    document = {"values": [asdict(value) for value in loaded.ok_value.values]}
    lines = format_effective(loaded.ok_value).splitlines()
    return report(ExitCode.OK, document, lines, as_json=json)


def _check_node(path: Path, deployment: Deployment | None) -> tuple[SettingError, ...]:
    """Return the errors in a node's settings file, by itself and against the deployment."""
    loaded = read_settings_file(path).and_then(load_node_settings)
    if isinstance(loaded, Err):
        return loaded.err_value
    node: NodeSettings = loaded.ok_value
    if deployment is None:
        return ()
    site = deployment.site
    if node.site != site.name:
        message = f"the deployment is for site {site.name!r}"
        return (SettingError(str(path), "node", "site", "check", message),)
    if node.domain not in site.domains:
        message = f"{node.domain!r} is not one of the site's domains"
        return (SettingError(str(path), "node", "domain", "check", message),)
    return ()
