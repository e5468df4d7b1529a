"""Tests of loading declarations."""

import pathlib
import tempfile
import unittest

from pollenladder.conf import exceptions as conf_exceptions
from pollenladder.conf import loader
from pollenladder.plans import checks
from pollenladder.plans import exceptions
from pollenladder.plans import loading

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
HASHES = [digit * 64 for digit in "abcd"]

CUSTOMERS = f"""{{
  customers: [
    {{id: "one", plans: ["gold"], token_sha256: "{HASHES[0]}"}},
    {{id: "two", plans: ["gold"], token_sha256: "{HASHES[1]}"}},
  ],
  operators: [
    {{id: "ops", token_sha256: "{HASHES[2]}"}},
  ],
}}
"""
PLANS = """{
  plans: [
    {id: "gold",
     allowance: {running_tasks: 8, starts_per_s: 2.5, burst: 4},
     deadline_ms: 5000,
     weight: 2,
     kinds: [
       {name: "quote", idempotent: true, max_run_ms: 1500},
       {name: "receipt", idempotent: false, max_run_ms: 2000}]},
  ],
}
"""

# Each case: file, text in it, invalid replacement, and the line, field and part
# of the detail that the error must report.
C, P = "customers.json", "plans.json"
INVALID_FILES = (
    (C, '["gold"]', '["tin"]', 3, "customers[0].plans[0]", "unknown plan"),
    (C, '["gold"]', '["gold", "gold"]', 3, "customers[0].plans[1]", "twice"),
    (C, '["gold"]', "[]", 3, "customers[0].plans", "at least 1"),
    (C, '"two"', '"one"', 4, "customers[1].id", "customers.json:3"),
    (C, HASHES[1], HASHES[0], 4, "customers[1].token_sha256", "already"),
    (C, HASHES[2], HASHES[0], 7, "operators[0].token_sha256", "already"),
    (C, HASHES[0], "abc", 3, "customers[0].token_sha256", "pattern"),
    (C, HASHES[0], HASHES[0].upper(), 3, "customers[0].token_sha256", "patt"),
    (C, 'id: "one"', "name: 1", 3, "customers[0].id", "is missing"),
    (C, "operators:", "operator:", 6, "operator", "not a known field"),
    (P, "burst: 4", "burst: 0", 4, "plans[0].allowance.burst", "greater"),
    (P, "burst: 4", "burst: -1", 4, "plans[0].allowance.burst", "greater"),
    (P, "2.5", "0", 4, "plans[0].allowance.starts_per_s", "greater"),
    (P, "2.5", "Infinity", 4, "plans[0].allowance.starts_per_s", "finite"),
    (P, ": 8", ": 8.5", 4, "plans[0].allowance.running_tasks", "integer"),
    (P, ": 8", ": true", 4, "plans[0].allowance.running_tasks", "integer"),
    (P, ": 8", ": 1e99", 4, "plans[0].allowance.running_tasks", "integer"),
    (P, ": 2,", ": 0,", 6, "plans[0].weight", "greater"),
    (P, "5000", "1999", 9, "plans[0].kinds[1].max_run_ms", "deadline_ms"),
    (P, "5000", "0", 5, "plans[0].deadline_ms", "greater"),
    (P, '"receipt"', '"quote"', 9, "plans[0].kinds[1].name", "given twice"),
    (P, "idempotent: false", "idempotent: 0", 9, "plans[0].kinds[1].idem", ""),
    (P, '"gold"', '"go.ld"', 3, "plans[0].id", "pattern"),
    (P, "weight: 2", "weigth: 2", 6, "plans[0].weigth", "not a known field"),
)


def load_texts(customers: str, plans: str) -> loading.Candidate:
    with tempfile.TemporaryDirectory() as folder:
        pathlib.Path(folder, "customers.json").write_text(customers)
        pathlib.Path(folder, "plans.json").write_text(plans)
        return loading.load_directories([folder])


def build_row(candidate: loading.Candidate) -> dict:
    return {
        "version": 7,
        "change_id": "c",
        "customers": candidate.customers,
        "plans": candidate.plans,
    }


class LoadDirectoriesTest(unittest.TestCase):
    def test_files_become_declarations(self):
        declared = load_texts(CUSTOMERS, PLANS).declarations
        plan = declared.plans["gold"]
        self.assertEqual(plan.allowance.starts_per_s, 2.5)
        self.assertEqual(plan.deadline_s, 5.0)
        self.assertEqual(plan.kinds["quote"].max_run_s, 1.5)
        self.assertFalse(plan.kinds["receipt"].idempotent)
        self.assertEqual(declared.customers["two"].plan_ids, ("gold",))
        self.assertEqual(declared.operators["ops"].token_sha256, HASHES[2])

    def test_errors_report_file_line_and_field(self):
        for file, old, new, line, field, detail in INVALID_FILES:
            with self.subTest(file=file, old=old, new=new):
                texts = {C: CUSTOMERS, P: PLANS}
                self.assertIn(old, texts[file])
                texts[file] = texts[file].replace(old, new, 1)
                with self.assertRaises(conf_exceptions.InvalidError) as caught:
                    load_texts(texts[C], texts[P])
                found = [
                    p
                    for p in caught.exception.problems
                    if p.field.startswith(field)
                ]
                self.assertTrue(found, caught.exception)
                self.assertEqual(found[0].line, line)
                self.assertTrue(found[0].file.endswith(file))
                self.assertIn(detail, found[0].detail)

    def test_missing_file(self):
        with (
            tempfile.TemporaryDirectory() as folder,
            self.assertRaises(conf_exceptions.UnreadableError) as caught,
        ):
            loading.load_directories([folder])
        self.assertEqual(len(caught.exception.problems), 2)

    def test_loading_a_directory_twice_is_an_error(self):
        folder = EXAMPLES / "dalbit"
        with self.assertRaises(exceptions.DeclarationsError):
            loading.load_directories([folder, folder])


class ExamplesTest(unittest.TestCase):
    def test_both_examples_merge_and_fit_their_settings(self):
        folders = [EXAMPLES / "red-andina", EXAMPLES / "dalbit"]
        declared = loading.load_directories(folders).declarations
        self.assertEqual(len(declared.customers), 6)
        kinds = {k for p in declared.plans.values() for k in p.kinds}
        self.assertEqual(len(kinds), 6)
        for folder in folders:
            used = loader.load(folder / "settings.json")
            self.assertEqual(checks.run(declared, used), [])

    def test_checks_warn_of_shares_loans_and_unused_plans(self):
        # The first plan has fewer running tasks than the settings have shards.
        # The second one is a copy of the original plan that no customer uses.
        wrong = PLANS.replace(": 8", ": 2").replace("2000", "4000")
        wrong = wrong.replace("  ],\n}", PLANS[PLANS.index("    {id") :])
        wrong = wrong.replace('"gold"', '"tin"')
        wrong = wrong.replace('"tin"', '"gold"', 1)
        used = loader.load(EXAMPLES / "red-andina" / "settings.json")
        declared = load_texts(CUSTOMERS, wrong).declarations
        found = [f.check_id for f in checks.run(declared, used)]
        self.assertEqual(found, ["plans.W001", "plans.W003"])
        # A run of 12 s is too long for the term of a loan.
        long = PLANS.replace("5000", "20000").replace("2000}", "12000}")
        declared = load_texts(CUSTOMERS, long).declarations
        found = [f.check_id for f in checks.run(declared, used)]
        self.assertEqual(found, ["plans.W002"])


class ParseRowTest(unittest.TestCase):
    def test_a_row_gives_the_applied_declarations_at_its_version(self):
        """The version is that of the table's row, not the one in its value."""
        candidate = load_texts(CUSTOMERS, PLANS)
        parsed = loading.parse_row(build_row(candidate), 9)
        self.assertEqual(parsed.version, 9)
        self.assertEqual(parsed.plans, candidate.declarations.plans)
        self.assertEqual(parsed.customers, candidate.declarations.customers)
        self.assertEqual(parsed.operators, candidate.declarations.operators)

    def test_errors_in_rows_report_the_field(self):
        row = build_row(load_texts(CUSTOMERS, PLANS))
        cases = (
            (None, ""),
            ([], ""),
            (row | {"extra": 1}, "extra"),
            (row | {"version": 0}, "version"),
            (row | {"plans": {}}, "plans"),
            (row | {"plans": {"plans": []}}, "customers[0].plans[0]"),
        )
        for value, field in cases:
            with self.subTest(value=value):
                with self.assertRaises(conf_exceptions.ConfError) as caught:
                    loading.parse_row(value, 9)
                problem = caught.exception.problems[0]
                self.assertTrue(problem.file.startswith(loading.ROW_KEY))
                self.assertEqual(problem.field, field)
