"""Soak rounds on three data centres whose callers send jobs again."""

import pathlib
import tempfile
import unittest

from soak import data_centres
from soak import faults
from soak import resubmissions

SEED = 1
ROUND_S = 18.0
# Each data centre is cut off once, beside daemons that are frozen, slow or killed.
FAULTS = [
    faults.Fault("cut_silent", at_s=1.0, for_s=3.5, target=0),
    faults.Fault("freeze", at_s=2.0, for_s=1.6, target=1),
    faults.Fault("cut_outgoing", at_s=5.5, for_s=3.0, target=1),
    faults.Fault("pair_reset", at_s=6.0, for_s=0.0, target=9),
    faults.Fault("slow", at_s=8.0, for_s=2.5, target=2),
    faults.Fault("cut_reset", at_s=9.5, for_s=2.5, target=2),
    faults.Fault("kill", at_s=11.0, for_s=1.0, target=0),
    faults.Fault("cut_incoming", at_s=13.0, for_s=3.0, target=0),
    faults.Fault("stop", at_s=14.0, for_s=1.0, target=4),
]


class DrawTest(unittest.TestCase):
    """A seed determines the faults of a round."""

    def test_the_same_seed_gives_the_same_faults(self):
        draw = data_centres.draw_faults
        self.assertEqual(draw(3, 60.0), draw(3, 60.0))
        self.assertNotEqual(draw(3, 60.0), draw(4, 60.0))


class RoundTest(unittest.TestCase):
    """No task runs twice at once if the daemons see that a caller has left."""

    def test_no_overlap_across_data_centres(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        report = data_centres.run(
            SEED,
            pathlib.Path(folder.name),
            resubmissions.RESET,
            ROUND_S,
            FAULTS,
        )
        self.assertEqual(report.violations, [])
        self.assertGreater(report.tasks, 0)
