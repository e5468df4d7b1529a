"""Declared run times, corrected."""

import unittest

from pollenladder.jobs import estimates


class EstimatesTest(unittest.TestCase):
    """What a queue's tasks took corrects what is declared for the next."""

    def setUp(self):
        self.own = estimates.Estimates()

    def test_a_bias_is_learnt_for_its_queue_alone(self):
        for _ in range(300):
            estimates.record_run(self.own, "q", 0.1, 0.2)
        self.assertAlmostEqual(
            estimates.predict_run_s(self.own, "q", 0.1), 0.2, places=2
        )
        self.assertEqual(estimates.predict_run_s(self.own, "r", 0.1), 0.1)

    def test_one_task_changes_little(self):
        estimates.record_run(self.own, "q", 0.1, 100.0)
        self.assertLess(estimates.predict_run_s(self.own, "q", 0.1), 0.11)

    def test_nothing_is_learnt_from_nothing(self):
        estimates.record_run(self.own, "q", 0.0, 1.0)
        estimates.record_run(self.own, "q", 1.0, 0.0)
        self.assertEqual(self.own.log_bias, {})
