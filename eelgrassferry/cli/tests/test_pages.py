"""Tests that the operators' documentation matches the program."""

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
LONG_RUNNING_COMMANDS = ("node", "demo", "standin")


def read_console_lines(page: Path) -> list[str]:
    """Return the lines of the console blocks of a page."""
    blocks = re.findall(r"```console\n(.*?)```", page.read_text(), re.DOTALL)
    return [line for block in blocks for line in block.splitlines() if line]


class PagesTest(unittest.TestCase):
    """Commands, tables of keys and links in the documentation."""

    def test_commands_run(self):
        """Guards against a documented command that no longer works."""
        previous = Path.cwd()
        os.chdir(ROOT)
        self.addCleanup(os.chdir, previous)
        run_count = 0
        for page in PAGES:
            server = OperatorServer()
            self.addCleanup(server.close)
            for line in read_console_lines(page):
                with self.subTest(page=page.name, line=line):
                    run_count += self.run_line(line, server)
        self.assertGreaterEqual(run_count, 12)

    def run_line(self, line: str, server: OperatorServer) -> int:
        """Check a command and return 1 if it was run, or 0 if it was only parsed."""
        program, *tokens = shlex.split(line, comments=True)
        if program.startswith("scripts/"):
            self.assertTrue(os.access(ROOT / program, os.X_OK))
            return 0
        self.assertEqual(program, "eelgrassferry")
        app.parse_args(tokens, exit_on_error=False, print_error=False)
        if tokens[0] in LONG_RUNNING_COMMANDS:
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
        """Guards against an undocumented key, and against a documented key that does not exist."""
        text = (ROOT / "docs/operators/configure.md").read_text()
        for spec in (*DEPLOYMENT_SECTIONS, NODE_SECTION):
            title = f"[{spec.section_type} NAME]" if spec.named else f"[{spec.section_type}]"
            _, _, section = text.partition(f"### `{title}`\n")
            rows = re.findall(r"^\| (\w+) \|", section.partition("###")[0], re.MULTILINE)
            self.assertEqual(rows, ["key", *(key.key for key in spec.keys)], title)

    def test_link_targets_exist(self):
        """Guards against a link to a page that was moved or does not exist."""
        for page in PAGES:
            for target in re.findall(r"\]\(([^)#]+)", page.read_text()):
                self.assertTrue((page.parent / target).exists(), f"{page.name}: {target}")
