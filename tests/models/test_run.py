"""Tests of how the checker's output is read; the search itself is a step."""

import unittest

from models import run

HOLDS = "State-vector 84, errors: 0\n  4060 states, stored\n"
FAILS = "pan:1: assertion violated (x)\nerrors: 1\n   41 states, stored\n"
CUT = "error: max search depth too small\n" + HOLDS
DEADLOCK = "pan:1: invalid end state\nerrors: 1\n   41 states, stored\n"

# Output, and what is printed for the model and for a twin.
CASES = (
    (HOLDS, "holds", "NO VIOLATION FOUND"),
    (FAILS, "VIOLATED", "violation found"),
    (CUT, "NOT FINISHED", "NOT FINISHED"),
    (DEADLOCK, "NOT FINISHED", "NOT FINISHED"),
    ("", "NOT FINISHED", "NOT FINISHED"),
)


class RunTest(unittest.TestCase):
    def test_outcomes(self):
        for output, of_model, of_twin in CASES:
            outcome = run._read_outcome(output, 1.0)
            found = (run.judge(outcome, ""), run.judge(outcome, "NAIVE_X"))
            for text, expected in zip(found, (of_model, of_twin), strict=True):
                self.assertTrue(text.startswith(expected), text)

    def test_every_model_has_twins(self):
        models = run.list_models()
        self.assertEqual(len(models), 3)
        for model in models:
            twins = run.list_twins(model)
            self.assertGreaterEqual(len(twins), 6)
            head = model.read_text().split("*/")[0]
            self.assertEqual([t for t in twins if t not in head], [])
