"""Build a single executable file with the package, its dependencies and the sample deployments.

The dependencies are copied from the environment that runs this script; nothing is downloaded.
Compiled extensions are excluded, so msgpack falls back to its pure Python codec. Each module is
stored as source and as bytecode: Python does not write bytecode into a zip file, so without the
stored bytecode every start would compile all modules again.
"""

import importlib._bootstrap_external
import importlib.metadata
import importlib.util
import os
import re
import stat
import sys
import tomllib
import zipfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path, PurePosixPath

from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent
INTERPRETER = b"#!/usr/bin/env python3\n"
# A fixed time stamp makes builds reproducible: the same sources give the same bytes.
ENTRY_TIME = (1980, 1, 1, 0, 0, 0)
MAIN = b"import sys\n\nfrom eelgrassferry.cli import main\n\nsys.exit(main())\n"
EXCLUDED_SUFFIXES = (".so", ".pyc", ".pyi", ".typed")


@dataclass(frozen=True)
class Entry:
    """The name and content of a file in the archive."""

    name: str
    data: bytes


def find_distributions(root: Path) -> list[importlib.metadata.Distribution]:
    """Return the direct and transitive dependencies of the project, sorted by name.

    Requirements whose environment marker does not apply are skipped.
    """
    project = tomllib.loads((root / "pyproject.toml").read_text())["project"]
    pending, found = list(project["dependencies"]), {}
    while pending:
        requirement = Requirement(pending.pop())
        name = re.sub(r"[-_.]+", "-", requirement.name).lower()
        applies = requirement.marker is None or requirement.marker.evaluate({"extra": ""})
        if applies and name not in found:
            found[name] = importlib.metadata.distribution(requirement.name)
            pending += found[name].requires or []
    return [found[name] for name in sorted(found)]


def read_distribution(dist: importlib.metadata.Distribution) -> Iterator[Entry]:
    """Yield the files that a dependency needs at run time, with its metadata and licences."""
    for path in sorted(dist.files or (), key=str):
        parts = path.parts
        is_metadata = parts[0].endswith(".dist-info")
        included = not is_metadata or path.name == "METADATA" or "licen" in str(path).lower()
        if ".." in parts or path.suffix in EXCLUDED_SUFFIXES or not included:
            continue
        yield Entry(str(PurePosixPath(*parts)), Path(str(path.locate())).read_bytes())


def read_sources(root: Path) -> Iterator[Entry]:
    """Yield the modules of the package, without its tests, and the sample deployments."""
    for path in sorted((root / "eelgrassferry").rglob("*.py")):
        relative = path.relative_to(root)
        if "tests" not in relative.parts:
            yield Entry(relative.as_posix(), path.read_bytes())
    for path in sorted((root / "deployments").glob("*.ini")):
        yield Entry(path.relative_to(root).as_posix(), path.read_bytes())


def compile_entry(entry: Entry) -> Entry | None:
    """Return the bytecode of a module, or None if the entry is not a valid module.

    The bytecode is matched to its source by a hash, so it stays valid if time stamps change.
    """
    if not entry.name.endswith(".py"):
        return None
    try:
        code = compile(entry.data, entry.name, "exec", dont_inherit=True)
    except SyntaxError:
        return None  # some dependencies ship templates that are not valid Python
    digest = importlib.util.source_hash(entry.data)
    data = importlib._bootstrap_external._code_to_hash_pyc(code, digest, False)
    return Entry(entry.name + "c", bytes(data))


def build(target: Path, root: Path = ROOT) -> int:
    """Write the executable file to ``target`` and return its size in bytes."""
    entries = [Entry("__main__.py", MAIN), *read_sources(root)]
    for dist in find_distributions(root):
        entries += read_distribution(dist)
    target.parent.mkdir(parents=True, exist_ok=True)
    partial = target.with_name(target.name + ".partial")
    with partial.open("wb") as file:
        file.write(INTERPRETER)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            for entry in entries:
                for item in (entry, compile_entry(entry)):
                    if item is not None:
                        info = zipfile.ZipInfo(item.name, ENTRY_TIME)
                        info.compress_type = zipfile.ZIP_DEFLATED
                        archive.writestr(info, item.data)
    partial.chmod(partial.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)
    os.replace(partial, target)
    return target.stat().st_size


if __name__ == "__main__":
    path = Path(sys.argv[1])
    print(f"{path}: {build(path)} bytes")
