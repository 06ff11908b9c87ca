"""Runs the program of docs/library.md."""

import re
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]


class LibraryPageTest(unittest.TestCase):
    """The page's program as a process of its own."""

    def test_program_prints_what_the_page_says(self):
        """Guards against a page whose program no longer runs."""
        page = (ROOT / "docs/library.md").read_text()
        program = re.search(r"```python\n(.*?)```", page, re.DOTALL)[1]
        promised = re.search(r"prints the two epochs, `([^`]+)`", page)[1]
        done = subprocess.run(
            [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=False
        )
        self.assertEqual(done.stderr.count("Traceback"), 0, done.stderr)
        self.assertEqual(done.stdout.strip().splitlines()[-1], promised)
