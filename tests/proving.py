"""Run the proofs of the table in proofs.json, and keep its page.

Each row is a point that must hold. Its proofs are names of tests, models and
checks; its twins are those that show that a proof can fail: the same check with
a guard removed, or a guard of a model. A row without proofs says why.
"""

import argparse
import dataclasses
import functools
import json
import os
import pathlib
import re
import subprocess
import sys
import unittest

from models import run
from tests import runner

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA = ROOT / "tests" / "proofs.json"
PAGE = ROOT / "docs" / "internals" / "proofs.md"
# Commands besides tests, as names in the table; run from the root.
CHECKS = {
    "import contracts": [str(runner.BIN / "lint-imports"), "--no-cache"],
    "capacity page": [sys.executable, "-m", "bench", "capacity", "--check"],
}
SHOWN = {
    "import contracts": "lint-imports",
    "capacity page": "python -m bench capacity --check",
}
MODELS = [sys.executable, "-m", "models.run"]
MODEL_PREFIX = "models."
MODEL_ROW = re.compile(r"^(\w+) +(-|\w+) +\d+ +[\d.]+  (.*)$", re.MULTILINE)
PROVED = "proved"
FAILED = "FAILED"
NOT_PROVED = "not proved"
HEAD = """\
# Proofs

What must hold, point by point, with the command that proves it. This page is
written by `scripts/prove --write` from `tests/proofs.json`; a test holds both
together. `scripts/prove` runs every command once and prints the same table with
a result: {proved}, {failed} or {not_proved}. Results are not kept here.

- `tests.…` is a test: `scripts/test tests.…` runs it alone.
- `models.…` is a specification in `models/`, searched exhaustively by
  `python -m models.run`, which also searches it without each of its guards.
- Under "fails without" stand the tests that run the same check with a naive
  rule in place of a guard, and the guards of a model; each must see a
  violation. "-" means that no such test exists.
"""


@dataclasses.dataclass(frozen=True)
class Row:
    """A point and its proofs.

    Attributes:
        section: Where the point comes from.
        point: What must hold.
        mechanism: Modules that see to it.
        proofs: Names of tests, models or checks.
        twins: Names of tests or guards of models that see a violation.
        why: Why there is no proof, "" if there is one.
    """

    section: str
    point: str
    mechanism: list[str]
    proofs: list[str]
    twins: list[str]
    why: str


def load_rows() -> list[Row]:
    """Return the rows in the order of the file."""
    sections = json.loads(DATA.read_text())
    return [
        Row(
            section["section"],
            row["point"],
            row["mechanism"],
            row.get("proofs", []),
            row.get("twins", []),
            row.get("why", ""),
        )
        for section in sections
        for row in section["rows"]
    ]


def find_faults(rows: list[Row]) -> list[str]:
    """Return what is wrong with the table, [] if nothing is."""
    faults = []
    for row in rows:
        if bool(row.proofs) == bool(row.why):
            faults.append(f"{row.point}: needs either proofs or a reason")
        if row.twins and not row.proofs:
            faults.append(f"{row.point}: twins without proofs")
        faults += [
            f"{row.point}: there is no {name}"
            for name in row.proofs + row.twins
            if not is_known(name)
        ]
        faults += [
            f"{row.point}: there is no module {name}"
            for name in row.mechanism
            if not _find_module(name)
        ]
    return faults


@functools.cache
def is_known(name: str) -> bool:
    """Return whether a test, model, guard or check of this name exists."""
    if name in CHECKS:
        return True
    if name.startswith(MODEL_PREFIX):
        return name in list_model_names()
    return bool(list_tests(name))


@functools.cache
def list_model_names() -> frozenset[str]:
    """Return the names of all models and of their guards."""
    names = set()
    for model in run.list_models():
        names.add(f"{MODEL_PREFIX}{model.stem}")
        for twin in run.list_twins(model):
            guard = twin.removeprefix("NAIVE_").lower()
            names.add(f"{MODEL_PREFIX}{model.stem}.{guard}")
    return frozenset(names)


@functools.cache
def list_tests(name: str) -> frozenset[str]:
    """Return the ids of the tests under a name, empty if it can't be loaded."""
    loader = unittest.TestLoader()
    suite = loader.loadTestsFromName(name)
    if loader.errors:
        return frozenset()
    return frozenset(test.id() for test in _flatten(suite))


def write_page(rows: list[Row]) -> str:
    """Return the text of the page."""
    lines = [
        HEAD.format(proved=PROVED, failed=FAILED, not_proved=NOT_PROVED),
    ]
    section = None
    for row in rows:
        if row.section != section:
            section = row.section
            lines += [
                f"\n## {section}\n",
                "| point | mechanism | proof | fails without |",
                "|---|---|---|---|",
            ]
        lines.append(_write_row(row))
    proved = sum(bool(row.proofs) for row in rows)
    lines.append(
        f"\nRows with a proof: {proved}. Rows without: {len(rows) - proved}.\n"
    )
    return "\n".join(lines)


def run_proofs(rows: list[Row]) -> dict[str, bool]:
    """Run what the rows name, each command once; return names that passed."""
    names = {name for row in rows for name in row.proofs + row.twins}
    tests = {
        name
        for name in names
        if name not in CHECKS and not name.startswith(MODEL_PREFIX)
    }
    passed = {name: _run_check(name) for name in names & CHECKS.keys()}
    models = {name for name in names if name.startswith(MODEL_PREFIX)}
    if models:
        passed |= _run_models(models)
    if tests:
        passed |= _run_tests(tests)
    return passed


def judge(row: Row, passed: dict[str, bool]) -> str:
    """Return the result of a row; its twins count as its proofs do."""
    if not row.proofs:
        return NOT_PROVED
    held = all(passed[name] for name in row.proofs + row.twins)
    return PROVED if held else FAILED


def read_failed(output: str) -> set[str]:
    """Return the ids of tests, classes or modules that a run says failed."""
    return {match[2] for match in runner.FAILED_TEST.finditer(output)}


def has_passed(name: str, failed: set[str]) -> bool:
    """Return whether nothing under or above a name failed."""
    return not any(
        f"{one}.".startswith(f"{name}.") or f"{name}.".startswith(f"{one}.")
        for one in failed
    )


def read_models(output: str) -> dict[str, bool]:
    """Return by model and guard whether the search ended as it must."""
    found = {}
    for model, guard, result in MODEL_ROW.findall(output):
        whole = f"{MODEL_PREFIX}{model}"
        name = whole if guard == "-" else f"{whole}.{guard}"
        expected = "holds" if guard == "-" else "violation found"
        found[name] = result == expected
    return found


def main() -> int:
    """Do what the options say; return the exit code."""
    parser = argparse.ArgumentParser(prog="scripts/prove", description=__doc__)
    group = parser.add_mutually_exclusive_group()
    group.add_argument("--check", action="store_true", help="run nothing")
    group.add_argument("--write", action="store_true", help="write the page")
    options = parser.parse_args()
    rows = load_rows()
    faults = find_faults(rows)
    if options.write and not faults:
        PAGE.write_text(write_page(rows))
    if not PAGE.exists() or PAGE.read_text() != write_page(rows):
        faults.append(f"{PAGE.relative_to(ROOT)}: scripts/prove --write")
    print("\n".join(faults), end="\n" if faults else "")
    if faults or options.check or options.write:
        return 1 if faults else 0
    return _prove(rows)


def _prove(rows: list[Row]) -> int:
    passed = run_proofs(rows)
    for name in sorted(name for name, held in passed.items() if not held):
        print(f"failed: {name}")
    section = None
    for row in rows:
        if row.section != section:
            section = row.section
            print(f"\n{section}")
        result = judge(row, passed)
        print(f"  {result:<10}  {row.point}")
        print(f"  {'':<10}    {row.why or ', '.join(row.proofs)}")
    results = [judge(row, passed) for row in rows]
    counts = {
        result: results.count(result) for result in (PROVED, FAILED, NOT_PROVED)
    }
    print(
        f"\n{counts[PROVED]} proved, {counts[FAILED]} failed, "
        f"{counts[NOT_PROVED]} not proved"
    )
    return 1 if counts[FAILED] else 0


def _write_row(row: Row) -> str:
    proofs = [f"`{SHOWN.get(name, name)}`" for name in row.proofs]
    twins = [f"`{name}`" for name in row.twins]
    cells = (
        row.point,
        "<br>".join(f"`{name}`" for name in row.mechanism) or "-",
        "<br>".join(proofs) or f"not proved: {row.why}",
        "<br>".join(twins) or "-",
    )
    return f"| {' | '.join(cells)} |"


def _find_module(name: str) -> bool:
    place = ROOT / name.replace(".", "/")
    return place.is_dir() or place.with_suffix(".py").is_file()


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    found = []
    for one in suite:
        found += _flatten(one) if isinstance(one, unittest.TestSuite) else [one]
    return found


def _run(command: list[str]) -> subprocess.CompletedProcess:
    return subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env=os.environ | {"PYTHONHASHSEED": "0"},
    )


def _run_check(name: str) -> bool:
    return _run(CHECKS[name]).returncode == 0


def _run_models(names: set[str]) -> dict[str, bool]:
    found = read_models(_run(MODELS).stdout)
    return {name: found.get(name, False) for name in names}


def _run_tests(names: set[str]) -> dict[str, bool]:
    # A test that stands under two names is run once.
    ids = sorted(frozenset().union(*(list_tests(name) for name in names)))
    command = [sys.executable, "-m", "nose2", "-t", ".", "-s", "tests", *ids]
    output = _run(command).stderr
    failed = read_failed(output)
    ran = runner.RAN.search(output)
    whole = ran is not None and int(ran[1]) == len(ids)
    if failed or not whole:
        print(output)
    # Tests that were not run, with nothing to say why, prove nothing.
    if not failed and not whole:
        return dict.fromkeys(names, False)
    return {name: has_passed(name, failed) for name in names}


if __name__ == "__main__":
    sys.exit(main())
