"""Run every check and print how many passed and failed.

Each step is a command. The unit tests run in one nose2 process. Tests listed in
KNOWN-RED.txt may fail; they are printed and not counted as failed.
"""

import os
import pathlib
import re
import subprocess
import sys

from standins import parents

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
BIN = pathlib.Path(sys.executable).parent

STEPS = (
    ("format", [BIN / "ruff", "format", "--check", "-q", "."]),
    ("lint", [BIN / "ruff", "check", "-q", "."]),
    ("imports", [BIN / "lint-imports", "--no-cache"]),
    ("module imports", [sys.executable, "-m", "tests.imports"]),
    ("models", [sys.executable, "-m", "models.run"]),
    (
        "capacity page",
        [sys.executable, "-m", "bench", "capacity", "--check"],
    ),
)
FAILED_TEST = re.compile(r"^(?:FAIL|ERROR): (\S+) \((\S+?)\)", re.MULTILINE)
RAN = re.compile(r"^Ran (\d+) tests?", re.MULTILINE)


def read_known_red() -> set[str]:
    """Return the test names in KNOWN-RED.txt.

    A name is the first word of a line that is neither indented nor a comment.
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[0] for line in lines if line and line[0] not in "# \t"}


def run_step(name: str, command: list) -> bool:
    """Run a command; return whether it exited with 0."""
    done = subprocess.run(command, cwd=ROOT, check=False)
    if done.returncode:
        print(f"FAILED: {name}")
    return done.returncode == 0


def run_unit_tests(arguments: list[str]) -> tuple[int, list[str], bool]:
    """Run the unit tests with nose2.

    Returns:
        The number of tests run, the names of the failed ones, and whether the
        run is consistent: nose2 printed its total, and its exit code agrees
        with the failures that it printed.
    """
    command = [sys.executable, "-m", "nose2", "-t", ".", "-s", "tests"]
    done = subprocess.run(
        command + arguments,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env=os.environ | {"PYTHONHASHSEED": "0"},
        preexec_fn=parents.end_with_parent,
    )
    print(done.stdout, end="")
    print(done.stderr, end="")
    ran = RAN.search(done.stderr)
    failed = [match[1] for match in FAILED_TEST.finditer(done.stderr)]
    is_consistent = ran is not None and (done.returncode == 0) == (not failed)
    return int(ran[1]) if ran else 0, failed, is_consistent


def main(arguments: list[str]) -> int:
    """Run all steps and unit tests, or only the tests in the arguments."""
    steps = () if arguments else STEPS
    outcomes = [run_step(name, command) for name, command in steps]
    ran, failed, is_consistent = run_unit_tests(arguments)
    known = read_known_red()
    known_failures = [name for name in failed if name in known]
    for name in known_failures:
        print(f"KNOWN RED: {name}")
    failures = (
        len(failed)
        - len(known_failures)
        + outcomes.count(False)
        + (not is_consistent)
    )
    passed = ran - len(failed) + outcomes.count(True)
    print(f"{passed} passed, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
