"""Run the unit tests and the scenarios and print one closing line with the totals.

Tests named in ``KNOWN-RED.txt`` are reported and left out; every other test counts. An entry's
first field, up to a ``|``, is the test id or the scenario name.
"""

import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# These wait for leases and engine orders most of their time, so they run beside the others: one
# after the other all features took over 150 s.
LONG_FEATURES = ("control.feature", "upstreams.feature")


def read_known_red() -> set[str]:
    """Return the test ids and scenario names listed in ``KNOWN-RED.txt``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split("|")[0].strip() for line in lines if "|" in line}


def iterate_cases(suite: unittest.TestSuite):
    """Yield each test case of a nested suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_cases(item)
        else:
            yield item


def run_units(known_red: set[str], pattern: str) -> tuple[int, int]:
    """Run the unit tests whose id contains ``pattern``; return passed and failed."""
    found = unittest.defaultTestLoader.discover(str(ROOT / "eelgrassferry"), top_level_dir=ROOT)
    suite = unittest.TestSuite()
    for case in iterate_cases(found):
        if case.id() in known_red:
            print(f"known red, not run: {case.id()}")
        elif pattern in case.id():
            suite.addTest(case)
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(outcome.failures) + len(outcome.errors) + len(outcome.unexpectedSuccesses)
    return outcome.testsRun - failed, failed


def run_scenarios(known_red: set[str]) -> tuple[int, int]:
    """Run the behave scenarios, if there are any; return passed and failed."""
    if not list((ROOT / "features").glob("*.feature")):
        return 0, 0
    command = [sys.executable, "-m", "behave", "--no-capture", "--format", "progress3"]
    for name in sorted(known_red):
        print(f"known red, not run as a scenario: {name}")
    if any(not name.startswith("eelgrassferry.") for name in known_red):
        command += ["--tags", "not @known_red"]
    files = sorted(path.name for path in (ROOT / "features").glob("*.feature"))
    lanes = [[f for f in files if f in LONG_FEATURES], [f for f in files if f not in LONG_FEATURES]]
    with ThreadPoolExecutor(len(lanes)) as pool:
        totals = list(pool.map(lambda lane: run_behave(command, lane), filter(None, lanes)))
    return sum(passed for passed, _ in totals), sum(failed for _, failed in totals)


def run_behave(command: list[str], files: list[str]) -> tuple[int, int]:
    """Run some feature files one after the other; return passed and failed scenarios."""
    paths = [f"features/{name}" for name in files]
    done = subprocess.run([*command, *paths], cwd=ROOT, capture_output=True, text=True, check=False)
    print(done.stdout)
    print(done.stderr, file=sys.stderr)
    return parse_scenario_totals(done.stdout, done.returncode)


def parse_scenario_totals(text: str, code: int) -> tuple[int, int]:
    """Return passed and failed scenarios from behave's summary."""
    for line in text.splitlines():
        if "scenarios passed" in line or "scenario passed" in line:
            fields = line.replace(",", "").split()
            passed = int(fields[0])
            failed = int(fields[fields.index("failed") - 1])
            errors = int(fields[fields.index("error") - 1]) if "error" in fields else 0
            failed += errors
            return passed, max(failed, 1) if code else failed
    return 0, 1


def main() -> int:
    """Run everything, print the totals, and return the exit code."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    known_red = read_known_red()
    passed, failed = run_units(known_red, pattern)
    if not pattern:
        more_passed, more_failed = run_scenarios(known_red)
        passed, failed = passed + more_passed, failed + more_failed
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))
    sys.exit(main())
