"""Test of the example program in docs/library.md."""

import re
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]


class LibraryPageTest(unittest.TestCase):
    """The example program, run in a separate process."""

    def test_program_prints_the_documented_output(self):
        """Guards against an example that no longer runs or prints something else."""
        page = (ROOT / "docs/library.md").read_text()
        program = re.search(r"```python\n(.*?)```", page, re.DOTALL)[1]
        documented = re.search(r"prints the two epochs, `([^`]+)`", page)[1]
        result = subprocess.run(
            [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=False
        )
        self.assertEqual(result.stderr.count("Traceback"), 0, result.stderr)
        self.assertEqual(result.stdout.strip().splitlines()[-1], documented)
