"""Tests of the correction of declared run times."""

import unittest

from pollenladder.jobs import estimates


class EstimatesTest(unittest.TestCase):
    """Measured run times correct later declared run times of the same queue."""

    def setUp(self):
        self.estimates = estimates.Estimates()

    def test_a_bias_applies_only_to_its_queue(self):
        for _ in range(300):
            estimates.record_run(self.estimates, "q", 0.1, 0.2)
        self.assertAlmostEqual(
            estimates.predict_run_s(self.estimates, "q", 0.1), 0.2, places=2
        )
        self.assertEqual(estimates.predict_run_s(self.estimates, "r", 0.1), 0.1)

    def test_one_task_has_little_influence(self):
        estimates.record_run(self.estimates, "q", 0.1, 100.0)
        # Less than 10% above the declared run time.
        self.assertLess(estimates.predict_run_s(self.estimates, "q", 0.1), 0.11)

    def test_zero_run_times_are_ignored(self):
        estimates.record_run(self.estimates, "q", 0.0, 1.0)
        estimates.record_run(self.estimates, "q", 1.0, 0.0)
        self.assertEqual(self.estimates.log_bias, {})
