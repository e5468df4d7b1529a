"""Short soak rounds, and regression rounds that once failed."""

import json
import pathlib
import tempfile
import unittest

from soak import __main__ as command
from soak import faults
from soak import rounds

SEED = 1
# Workers are cut off in turn, all through the round.
CUTS = [
    faults.Fault("order_cuts", at_s=1.0, for_s=0.5, target=0),
    faults.Fault("order_cuts", at_s=6.0, for_s=0.5, target=1),
]


class DrawTest(unittest.TestCase):
    """A seed determines the faults of a round."""

    def test_the_same_seed_gives_the_same_faults(self):
        kinds = ["kill", "pause", "store_down"]
        self.assertEqual(faults.draw(5, kinds), faults.draw(5, kinds))
        self.assertNotEqual(faults.draw(5, kinds), faults.draw(6, kinds))


class RoundTest(unittest.TestCase):
    """Real daemons keep the invariants under the faults of a seed."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_a_short_round_has_no_violations(self):
        report = rounds.run(SEED, self.folder)
        self.assertEqual(report.violations, [])

    def test_recorded_rounds_have_no_violations(self):
        for case in json.loads(command.REGRESSIONS.read_text()):
            with self.subTest(seed=case["seed"], cause=case["cause"]):
                seed, planned_faults = command.parse_regression(case)
                report = rounds.run(
                    seed, self.folder, planned_faults=planned_faults
                )
                self.assertEqual(report.violations, [])

    def test_an_injected_defect_is_detected(self):
        report = rounds.run(SEED, self.folder, "complete_too_early")
        self.assertNotEqual(report.violations, [])
        self.assertNotEqual(list(self.folder.iterdir()), [])

    def test_partitioned_workers_fail_no_job(self):
        """Guards against jobs shown as failed whose tasks run on."""
        report = rounds.run(SEED, self.folder, planned_faults=CUTS)
        self.assertEqual(report.violations, [])

    def test_refusals_taken_for_crashes_are_detected(self):
        """Guards against partitions that are too short to be noticed."""
        defect = "take_refusals_for_crashes"
        report = rounds.run(SEED, self.folder, defect, CUTS)
        self.assertIn("given up for crashes", " ".join(report.violations))
