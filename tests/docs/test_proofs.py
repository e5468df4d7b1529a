"""Tests of the table of proofs and of the parsers of test and model output.

They guard against a row that names something that no longer exists, a model
guard that no row names, and a failed run that is reported as a proof.
"""

import dataclasses
import unittest

from tests import proving

OUTPUT = """
FAIL: test_a (tests.x.test_y.ZTest.test_a) (case=1)
ERROR: setUpClass (tests.x.test_w.WTest)
"""
# A name in the table, and whether it counts as passed given `OUTPUT`.
RESULTS = (
    ("tests.x.test_y.ZTest.test_a", False),
    ("tests.x.test_y.ZTest.test_ab", True),
    ("tests.x.test_y.ZTest", False),
    ("tests.x.test_y", False),
    ("tests.x.test_w.WTest.test_any", False),
    ("tests.x.test_v", True),
)
MODELS = """\
model          guard removed        states       s  result
start          -                    455921     3.5  holds
start          fence                203033     1.8  NO VIOLATION FOUND
escrow         -                   4060610     9.3  VIOLATED
escrow         claim                  3549     0.6  violation found
models: 2 unexpected
"""
VALID_ROW = proving.Row(
    "s", "p", ["pollenladder.core"], ["models.start"], [], ""
)
# Changes to a valid row, each of which makes it invalid.
INVALID_CHANGES = (
    {"why": "both"},
    {"proofs": []},
    {"proofs": ["models.none"]},
    {"proofs": ["tests.docs.test_proofs.NoneTest"]},
    {"proofs": ["tests.none"]},
    {"proofs": ["tests.docs.test_proofs.ProofsTest.test_none"]},
    {"proofs": ["tests.waiting"]},
    {"twins": ["models.start.none"]},
    {"mechanism": ["pollenladder.none"]},
    {"proofs": [], "why": "none", "twins": ["models.start.fence"]},
)


class ProofsTest(unittest.TestCase):
    def test_all_names_exist_and_the_page_is_up_to_date(self):
        rows = proving.load_rows()
        self.assertEqual(proving.find_faults(rows), [])
        self.assertEqual(proving.PAGE.read_text(), proving.write_page(rows))

    def test_every_model_and_guard_is_in_the_table(self):
        named = {
            name
            for row in proving.load_rows()
            for name in row.proofs + row.twins
        }
        self.assertEqual(proving.list_model_names() - named, set())

    def test_faults_of_rows_are_found(self):
        self.assertEqual(proving.find_faults([VALID_ROW]), [])
        for change in INVALID_CHANGES:
            with self.subTest(change):
                row = dataclasses.replace(VALID_ROW, **change)
                self.assertTrue(proving.find_faults([row]))

    def test_results_of_tests(self):
        failed = proving.read_failed(OUTPUT)
        for name, expected in RESULTS:
            with self.subTest(name):
                self.assertEqual(proving.has_passed(name, failed), expected)

    def test_results_of_models(self):
        self.assertEqual(
            proving.read_models(MODELS),
            {
                "models.start": True,
                "models.start.fence": False,
                "models.escrow": False,
                "models.escrow.claim": True,
            },
        )

    def test_a_row_fails_with_its_proof_or_its_twin(self):
        row = dataclasses.replace(VALID_ROW, twins=["models.start.fence"])
        for proof, twin, expected in (
            (True, True, proving.PROVED),
            (False, True, proving.FAILED),
            (True, False, proving.FAILED),
        ):
            passed = {"models.start": proof, "models.start.fence": twin}
            self.assertEqual(proving.judge(row, passed), expected)
        row = dataclasses.replace(row, proofs=[], twins=[], why="none")
        self.assertEqual(proving.judge(row, {}), proving.NOT_PROVED)
