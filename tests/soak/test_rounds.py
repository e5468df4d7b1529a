"""A short soak, and the seeds that ever failed."""

import json
import pathlib
import tempfile
import unittest

from soak import __main__ as command
from soak import faults
from soak import rounds

SEED = 1


class DrawTest(unittest.TestCase):
    """A seed always gives the same faults."""

    def test_the_same_seed_gives_the_same_faults(self):
        kinds = ["kill", "pause", "store_down"]
        self.assertEqual(faults.draw(5, kinds), faults.draw(5, kinds))
        self.assertNotEqual(faults.draw(5, kinds), faults.draw(6, kinds))


class RoundTest(unittest.TestCase):
    """Real daemons keep their promises under the faults of a seed."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_a_short_round(self):
        report = rounds.play(SEED, self.folder)
        self.assertEqual(report.broken, [])

    def test_seeds_that_ever_failed(self):
        for case in json.loads(command.REGRESSIONS.read_text()):
            with self.subTest(seed=case["seed"], cause=case["cause"]):
                seed, drawn = command.read_case(case)
                report = rounds.play(seed, self.folder, drawn=drawn)
                self.assertEqual(report.broken, [])

    def test_a_guard_that_is_missing_is_noticed(self):
        report = rounds.play(SEED, self.folder, "complete_too_early")
        self.assertNotEqual(report.broken, [])
        self.assertNotEqual(list(self.folder.iterdir()), [])
