"""Tests of the operators' pages against the program."""

import contextlib
import io
import os
import re
import shlex
import unittest
from pathlib import Path
from unittest import mock

from ...settings.schema import DEPLOYMENT_SECTIONS, NODE_SECTION
from .. import app, main
from .operator_server import OperatorServer

ROOT = Path(__file__).resolve().parents[3]
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs/operators").glob("*.md")])
NODE_ADDRESS = "127.0.0.51:8001"
NEEDS_PROCESSES = ("node", "demo", "standin")


def read_commands(page: Path) -> list[str]:
    """Return the lines of a page's console blocks."""
    blocks = re.findall(r"```console\n(.*?)```", page.read_text(), re.DOTALL)
    return [line for block in blocks for line in block.splitlines() if line]


class PagesTest(unittest.TestCase):
    """Every command shown, and the table of keys."""

    def test_commands_run(self):
        """Guards against a page that shows a command which no longer works."""
        previous = Path.cwd()
        os.chdir(ROOT)
        self.addCleanup(os.chdir, previous)
        ran = 0
        for page in PAGES:
            server = OperatorServer()
            self.addCleanup(server.close)
            for line in read_commands(page):
                with self.subTest(page=page.name, line=line):
                    ran += self.run_line(line, server)
        self.assertGreaterEqual(ran, 12)

    def run_line(self, line: str, server: OperatorServer) -> int:
        """Run a command against the server; return 1 if it was run rather than parsed."""
        program, *tokens = shlex.split(line, comments=True)
        if program.startswith("scripts/"):
            self.assertTrue(os.access(ROOT / program, os.X_OK))
            return 0
        self.assertEqual(program, "eelgrassferry")
        app.parse_args(tokens, exit_on_error=False, print_error=False)
        if tokens[0] in NEEDS_PROCESSES:
            return 0
        tokens = [server.address if token == NODE_ADDRESS else token for token in tokens]
        out, err = io.StringIO(), io.StringIO()
        token = {"EELGRASSFERRY_TOKEN": "secret"}
        redirected = (contextlib.redirect_stdout(out), contextlib.redirect_stderr(err))
        with mock.patch.dict(os.environ, token), redirected[0], redirected[1]:
            code = main(tokens)
        expected = re.search(r"# exit code (\d)", line)
        self.assertEqual(code, int(expected[1]) if expected else 0, err.getvalue())
        return 1

    def test_all_keys_are_listed(self):
        """Guards against a key that operators cannot look up, or that no longer exists."""
        text = (ROOT / "docs/operators/configure.md").read_text()
        for spec in (*DEPLOYMENT_SECTIONS, NODE_SECTION):
            title = f"[{spec.word} NAME]" if spec.named else f"[{spec.word}]"
            _, _, part = text.partition(f"### `{title}`\n")
            rows = re.findall(r"^\| (\w+) \|", part.partition("###")[0], re.MULTILINE)
            self.assertEqual(rows, ["key", *(key.key for key in spec.keys)], title)

    def test_links_lead_to_files(self):
        """Guards against a page that was moved or never written."""
        for page in PAGES:
            for target in re.findall(r"\]\(([^)#]+)", page.read_text()):
                self.assertTrue((page.parent / target).exists(), f"{page.name}: {target}")
