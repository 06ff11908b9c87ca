"""Run the unit tests and the behave scenarios, and print the totals in a closing line.

Tests listed in ``KNOWN-RED.txt`` are printed and skipped; all others count towards the totals. The
fields of an entry are separated by ``|``, and the first is the test id or the scenario name.
"""

import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# These files spend most of their time waiting for leases and engine orders, so they run in parallel
# with the others. Run one after the other, all features took over 150 s.
LONG_FEATURES = ("control.feature", "upstreams.feature")


def read_known_red() -> set[str]:
    """Return the test ids and scenario names listed in ``KNOWN-RED.txt``, or an empty set."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split("|")[0].strip() for line in lines if "|" in line}


def iterate_cases(suite: unittest.TestSuite):
    """Yield the test cases of a suite and of the suites nested in it."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_cases(item)
        else:
            yield item


def run_units(known_red: set[str], pattern: str) -> tuple[int, list[str]]:
    """Run the unit tests whose id contains ``pattern``.

    Returns the number of passed tests and a line for each failure: the test's id and the last line
    of its traceback. Tests in ``known_red`` are skipped.
    """
    discovered = unittest.defaultTestLoader.discover(
        str(ROOT / "eelgrassferry"), top_level_dir=ROOT
    )
    suite = unittest.TestSuite()
    for case in iterate_cases(discovered):
        if case.id() in known_red:
            print(f"known red, not run: {case.id()}")
        elif pattern in case.id():
            suite.addTest(case)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = [
        f"{case.id()}: {(traceback.splitlines() or [''])[-1]}"
        for case, traceback in (*result.failures, *result.errors)
    ]
    failed += [f"{case.id()}: unexpected success" for case in result.unexpectedSuccesses]
    return result.testsRun - len(failed), failed


def run_scenarios(known_red: set[str]) -> tuple[int, int, list[str]]:
    """Run all behave scenarios and return the number of passed and of failed ones, and the lines
    that name the failed ones.

    Feature files in ``LONG_FEATURES`` run in parallel with the others. Scenarios tagged
    ``@known_red`` are skipped if ``known_red`` names any scenario.
    """
    if not list((ROOT / "features").glob("*.feature")):
        return 0, 0, []
    command = [sys.executable, "-m", "behave", "--no-capture", "--format", "progress3"]
    for name in sorted(known_red):
        print(f"known red, not run as a scenario: {name}")
    if any(not name.startswith("eelgrassferry.") for name in known_red):
        command += ["--tags", "not @known_red"]
    files = sorted(path.name for path in (ROOT / "features").glob("*.feature"))
    batches = [
        [f for f in files if f in LONG_FEATURES],
        [f for f in files if f not in LONG_FEATURES],
    ]
    with ThreadPoolExecutor(len(batches)) as pool:
        totals = list(pool.map(lambda batch: run_behave(command, batch), filter(None, batches)))
    passed, failed, names = zip(*totals, strict=True)
    return sum(passed), sum(failed), [name for batch in names for name in batch]


def run_behave(command: list[str], files: list[str]) -> tuple[int, int, list[str]]:
    """Run feature files in one behave process and return what ``run_scenarios`` does."""
    paths = [f"features/{name}" for name in files]
    completed = subprocess.run(
        [*command, *paths], cwd=ROOT, capture_output=True, text=True, check=False
    )
    print(completed.stdout)
    print(completed.stderr, file=sys.stderr)
    totals = parse_scenario_totals(completed.stdout, completed.returncode)
    return *totals, find_failing_scenarios(completed.stdout)


def parse_scenario_totals(output: str, exit_code: int) -> tuple[int, int]:
    """Return the number of passed and failed scenarios from the summary that behave prints.

    Scenarios with errors count as failed. A nonzero exit code, or output without a summary, counts
    as at least one failure.
    """
    for line in output.splitlines():
        if "scenarios passed" in line or "scenario passed" in line:
            fields = line.replace(",", "").split()
            passed = int(fields[0])
            failed = int(fields[fields.index("failed") - 1])
            errors = int(fields[fields.index("error") - 1]) if "error" in fields else 0
            failed += errors
            return passed, max(failed, 1) if exit_code else failed
    return 0, 1


def find_failing_scenarios(output: str) -> list[str]:
    """Return the lines that name failed scenarios in the summary that behave prints."""
    names, in_list = [], False
    for line in output.splitlines():
        if line.startswith(("Failing scenarios", "Errored scenarios")):
            in_list = True
        elif in_list and line.startswith("  "):
            names.append(line.strip())
        else:
            in_list = False
    return names


def main() -> int:
    """Run the tests, print the totals and return the exit code.

    With an argument, only the unit tests whose id contains it are run, and no scenarios.
    """
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    known_red = read_known_red()
    passed, failed_names = run_units(known_red, pattern)
    failed = len(failed_names)
    if not pattern:
        scenarios_passed, scenarios_failed, names = run_scenarios(known_red)
        passed, failed = passed + scenarios_passed, failed + scenarios_failed
        failed_names += names
    # A log may be cut in the middle: its end names the failures once more.
    for line in failed_names:
        print(f"failed: {line}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))
    sys.exit(main())
