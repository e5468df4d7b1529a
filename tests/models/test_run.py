"""Tests of how the output of the model checker is interpreted.

They guard against an incomplete search that passes as a proof, and against
models that refer to code that no longer exists. The search itself is a separate
step of the test runner.
"""

import importlib
import re
import unittest

from models import run

HOLDS = "State-vector 84, errors: 0\n  4060 states, stored\n"
FAILS = "pan:1: assertion violated (x)\nerrors: 1\n   41 states, stored\n"
INCOMPLETE = "error: max search depth too small\n" + HOLDS
DEADLOCK = "pan:1: invalid end state\nerrors: 1\n   41 states, stored\n"

# Output, and how the result starts for a model and for a twin, which is the
# model with one guard removed.
CASES = (
    (HOLDS, "holds", "NO VIOLATION FOUND"),
    (FAILS, "VIOLATED", "violation found"),
    (INCOMPLETE, "NOT FINISHED", "NOT FINISHED"),
    (DEADLOCK, "NOT FINISHED", "NOT FINISHED"),
    ("", "NOT FINISHED", "NOT FINISHED"),
)

# "Code: module: names." in the head of a model.
CODE_REFERENCES = re.compile(r"Code: ([\w.]+): ([^.]+)\.")


class RunTest(unittest.TestCase):
    def test_names_in_the_specification_are_those_of_the_code(self):
        found = 0
        for model in run.list_models():
            for module_name, names in CODE_REFERENCES.findall(
                model.read_text()
            ):
                module = importlib.import_module(f"pollenladder.{module_name}")
                for name in re.findall(r"\w+", names):
                    self.assertTrue(hasattr(module, name), name)
                    found += 1
        self.assertGreaterEqual(found, 19)

    def test_outcomes(self):
        for output, of_model, of_twin in CASES:
            outcome = run._read_outcome(output, 1.0)
            found = (run.judge(outcome, ""), run.judge(outcome, "NAIVE_X"))
            for text, expected in zip(found, (of_model, of_twin), strict=True):
                self.assertTrue(text.startswith(expected), text)

    def test_every_model_has_twins(self):
        models = run.list_models()
        self.assertEqual(len(models), 9)
        for model in models:
            twins = run.list_twins(model)
            self.assertGreaterEqual(len(twins), 6)
            head = model.read_text().split("*/")[0]
            self.assertEqual([t for t in twins if t not in head], [])
