"""Pack the package, its dependencies and the sample deployments into one executable file.

The dependencies are copied from the environment this script runs in; nothing is downloaded.
Compiled extensions are left out, so msgpack runs on its Python codec. Each module is stored as
source and as bytecode: a zip is never written to, so without the bytecode each start would compile
every module again.
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
FIXED_TIME = (1980, 1, 1, 0, 0, 0)  # the same sources give the same bytes
MAIN = b"import sys\n\nfrom eelgrassferry.cli import main\n\nsys.exit(main())\n"
LEFT_OUT_SUFFIXES = (".so", ".pyc", ".pyi", ".typed")


@dataclass(frozen=True)
class Entry:
    """A file of the archive."""

    name: str
    data: bytes


def find_distributions(root: Path) -> list[importlib.metadata.Distribution]:
    """Return the declared dependencies and theirs, by name."""
    project = tomllib.loads((root / "pyproject.toml").read_text())["project"]
    waiting, found = list(project["dependencies"]), {}
    while waiting:
        requirement = Requirement(waiting.pop())
        name = re.sub(r"[-_.]+", "-", requirement.name).lower()
        needed = requirement.marker is None or requirement.marker.evaluate({"extra": ""})
        if needed and name not in found:
            found[name] = importlib.metadata.distribution(requirement.name)
            waiting += found[name].requires or []
    return [found[name] for name in sorted(found)]


def read_distribution(dist: importlib.metadata.Distribution) -> Iterator[Entry]:
    """Yield the files a dependency needs at run time, and its licence."""
    for path in sorted(dist.files or (), key=str):
        parts = path.parts
        info = parts[0].endswith(".dist-info")
        wanted = not info or path.name == "METADATA" or "licen" in str(path).lower()
        if ".." in parts or path.suffix in LEFT_OUT_SUFFIXES or not wanted:
            continue
        yield Entry(str(PurePosixPath(*parts)), Path(str(path.locate())).read_bytes())


def read_sources(root: Path) -> Iterator[Entry]:
    """Yield the package without its tests, and the sample deployments."""
    for path in sorted((root / "eelgrassferry").rglob("*.py")):
        relative = path.relative_to(root)
        if "tests" not in relative.parts:
            yield Entry(relative.as_posix(), path.read_bytes())
    for path in sorted((root / "deployments").glob("*.ini")):
        yield Entry(path.relative_to(root).as_posix(), path.read_bytes())


def add_bytecode(entry: Entry) -> Entry | None:
    """Return a module's bytecode, valid whatever the time stamps, or None where it has none."""
    if not entry.name.endswith(".py"):
        return None
    try:
        code = compile(entry.data, entry.name, "exec", dont_inherit=True)
    except SyntaxError:
        return None  # some dependencies ship templates that are no valid modules
    digest = importlib.util.source_hash(entry.data)
    data = importlib._bootstrap_external._code_to_hash_pyc(code, digest, False)
    return Entry(entry.name + "c", bytes(data))


def build(target: Path, root: Path = ROOT) -> int:
    """Write the binary and return its size in bytes."""
    entries = [Entry("__main__.py", MAIN), *read_sources(root)]
    for dist in find_distributions(root):
        entries += read_distribution(dist)
    target.parent.mkdir(parents=True, exist_ok=True)
    partial = target.with_name(target.name + ".partial")
    with partial.open("wb") as file:
        file.write(INTERPRETER)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            for entry in entries:
                for item in (entry, add_bytecode(entry)):
                    if item is not None:
                        info = zipfile.ZipInfo(item.name, FIXED_TIME)
                        info.compress_type = zipfile.ZIP_DEFLATED
                        archive.writestr(info, item.data)
    partial.chmod(partial.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)
    os.replace(partial, target)
    return target.stat().st_size


if __name__ == "__main__":
    path = Path(sys.argv[1])
    print(f"{path}: {build(path)} bytes")
