"""Run every check and print one verdict.

Each step is a command; the unit tests run in one process by nose2. Tests listed
in KNOWN-RED.txt may fail; they are printed and counted apart.
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
    """Return the test names in KNOWN-RED.txt, one before each first blank."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[0] for line in lines if line and line[0] not in "# \t"}


def run_step(name: str, command: list) -> bool:
    """Run one command; return whether it exited with 0."""
    done = subprocess.run(command, cwd=ROOT, check=False)
    if done.returncode:
        print(f"FAILED: {name}")
    return done.returncode == 0


def run_unit_tests(arguments: list[str]) -> tuple[int, list[str], bool]:
    """Return tests run, names of the failed ones, and whether nose2 closed."""
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
    closed = ran is not None and (done.returncode == 0) == (not failed)
    return int(ran[1]) if ran else 0, failed, closed


def main(arguments: list[str]) -> int:
    """Run all steps, or only the unit tests if arguments are given."""
    steps = () if arguments else STEPS
    outcomes = [run_step(name, command) for name, command in steps]
    ran, failed, closed = run_unit_tests(arguments)
    known = read_known_red()
    red = [name for name in failed if name in known]
    for name in red:
        print(f"KNOWN RED: {name}")
    bad = len(failed) - len(red) + outcomes.count(False) + (not closed)
    passed = ran - len(failed) + outcomes.count(True)
    print(f"{passed} passed, {bad} failed")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
