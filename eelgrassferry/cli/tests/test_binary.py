"""Tests of the single-file binary, run as a process."""

import contextlib
import importlib.util
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import unittest
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]

# Replaces the node package, so that only the binary is tested and no platform is needed.
STUB_NODE = """
import asyncio

import msgpack
import structlog

from ..http import HttpResponse, HttpServer
from ..settings import read_sample


async def run_node(settings):
    async def handle(req, out):
        packed = msgpack.unpackb(msgpack.packb({"name": settings.name}))
        sample = read_sample("uy-sur.ini").file
        document = {**packed, "codec": msgpack.Packer.__module__, "sample": sample}
        await out.send(HttpResponse.of_json(document))

    server = HttpServer(handle, host="127.0.0.1", port=0)
    await server.start()
    structlog.get_logger().info("listening", step="start", peer=server.address)
    await asyncio.Event().wait()
"""


def load_builder():
    """Import scripts/build_zipapp.py, which is not part of the package."""
    spec = importlib.util.spec_from_file_location("build_zipapp", ROOT / "scripts/build_zipapp.py")
    builder = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = builder
    spec.loader.exec_module(builder)
    return builder


def list_tree(directory: Path) -> list[tuple[str, int]]:
    """Return every path under a directory with its modification time."""
    return sorted((str(path), path.stat().st_mtime_ns) for path in directory.rglob("*"))


class BinaryTest(unittest.TestCase):
    """A binary with a stub node, run in empty directories without installed packages."""

    @classmethod
    def setUpClass(cls) -> None:
        temp_directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(temp_directory.cleanup)
        cls.directory = Path(temp_directory.name)
        sources = cls.directory / "sources"
        ignored = shutil.ignore_patterns("node", "__pycache__")
        shutil.copytree(ROOT / "eelgrassferry", sources / "eelgrassferry", ignore=ignored)
        shutil.copytree(ROOT / "deployments", sources / "deployments")
        shutil.copy(ROOT / "pyproject.toml", sources)
        (sources / "eelgrassferry/node").mkdir()
        (sources / "eelgrassferry/node/__init__.py").write_text(STUB_NODE)
        cls.binary = cls.directory / "world/bin/eelgrassferry"
        load_builder().build(cls.binary, sources)
        for name in ("home", "tmp", "cwd"):
            (cls.directory / "world" / name).mkdir()

    def environment(self) -> dict[str, str]:
        env = {k: v for k, v in os.environ.items() if not k.startswith("PYTHON")}
        world = self.directory / "world"
        own_bin = str(Path(sys.executable).parent)
        path = f"{own_bin}{os.pathsep}{env.get('PATH', '')}"
        return {**env, "HOME": str(world / "home"), "TMPDIR": str(world / "tmp"), "PATH": path}

    def start(self, *tokens: str) -> subprocess.Popen:
        process = subprocess.Popen(
            [sys.executable, "-S", str(self.binary), *tokens],  # -S: no site-packages
            cwd=self.directory / "world/cwd",
            env=self.environment(),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.stop, process)
        return process

    @staticmethod
    def stop(process: subprocess.Popen) -> None:
        if process.poll() is None:
            process.kill()
        process.communicate()

    def test_node_answers_as_one_process_and_writes_nothing(self):
        """Guards against a binary that extracts files, forks, or needs installed packages."""
        world = self.directory / "world"
        before = list_tree(world)
        process = self.start("node", "--settings", str(ROOT / "deployments/node.ini"))
        line = json.loads(process.stderr.readline())
        self.assertEqual((line["event"], line["step"]), ("listening", "start"))
        with urllib.request.urlopen(f"http://{line['peer']}/", timeout=10) as answer:
            document = json.load(answer)
        expected = {"name": "entry-1", "codec": "msgpack.fallback", "sample": "uy-sur.ini"}
        self.assertEqual(document, expected)
        proc = Path("/proc") / str(process.pid)
        tasks = list((proc / "task").iterdir())
        children = [task.joinpath("children").read_text() for task in tasks]
        self.assertEqual(children, [""])  # one thread, without child processes
        self.assertEqual(self.written_files(proc), [])
        process.send_signal(signal.SIGTERM)
        process.wait(10)
        self.assertEqual(list_tree(world), before)

    def written_files(self, proc: Path) -> list[str]:
        """Return the regular files that a process has open for writing."""
        found = []
        for fd in (proc / "fd").iterdir():
            with contextlib.suppress(FileNotFoundError):
                info = (proc / "fdinfo" / fd.name).read_text()
                flags = int(
                    next(x for x in info.splitlines() if x.startswith("flags")).split()[1], 8
                )
                if flags & os.O_ACCMODE != os.O_RDONLY and fd.resolve().is_file():
                    found.append(str(fd.resolve()))
        return found

    def test_file_is_executable_by_itself(self):
        """Guards against a binary without an interpreter line or execute permission."""
        before = list_tree(self.directory / "world")
        for tokens in (["--version"], ["--help"], ["check", "--help"]):
            done = subprocess.run(
                [self.binary, *tokens],
                cwd=self.directory / "world/cwd",
                env=self.environment(),
                capture_output=True,
                check=False,
            )
            self.assertEqual((done.returncode, done.stderr), (0, b""))
        self.assertEqual(list_tree(self.directory / "world"), before)

    def test_same_sources_give_the_same_bytes(self):
        """Guards against builds that are not reproducible."""
        again = self.directory / "again"
        load_builder().build(again, self.directory / "sources")
        self.assertEqual(again.read_bytes(), self.binary.read_bytes())
