"""Tests of the distribution of run times."""

import math
import random
import unittest

from pollenladder.jobs import durations
from pollenladder.jobs import estimates

DECLARED_SIGMA = 0.4


def _record(count: int, tail_share: float) -> durations.Distribution:
    noise = random.Random(3)
    found = durations.Distribution()
    for _ in range(count):
        ratio = noise.lognormvariate(0.0, DECLARED_SIGMA)
        ratio *= 7.0 if noise.random() < tail_share else 1.0
        durations.record(found, ratio)
    return found


class DurationsTest(unittest.TestCase):
    """A long tail is told from wrong declared run times."""

    def test_three_of_a_hundred_long_tasks_are_a_long_tail(self):
        found = _record(2_000, 0.03)
        self.assertTrue(found.has_long_tail)
        self.assertGreater(found.high, 7.0)

    def test_wrong_declared_run_times_are_no_long_tail(self):
        # Else slow workers would be recognised later without any need.
        for count in range(100, 4_000, 300):
            with self.subTest(count=count):
                self.assertFalse(_record(count, 0.0).has_long_tail)

    def test_few_samples_say_nothing(self):
        self.assertFalse(_record(100, 0.2).has_long_tail)

    def test_a_tail_that_has_ended_is_forgotten(self):
        found = _record(2_000, 0.03)
        for _ in range(10_000):
            durations.record(found, 1.0)
        self.assertFalse(found.has_long_tail)
        self.assertLess(found.samples, durations.MAX_SAMPLES)

    def test_values_beyond_the_buckets_are_kept_at_the_ends(self):
        found = durations.Distribution()
        for ratio in (0.0, 1e-9, 1e9):
            durations.record(found, ratio)
        self.assertEqual(found.samples, 2.0)

    def test_a_long_tail_does_not_shift_the_expected_run_time(self):
        # The mean of these run times is a fifth above the median.
        known = estimates.Estimates()
        noise = random.Random(5)
        for _ in range(3_000):
            factor = 7.0 if noise.random() < 0.03 else 1.0
            factor *= noise.lognormvariate(0.0, DECLARED_SIGMA)
            estimates.record_run(known, "q", 0.1, 0.1 * factor)
            estimates.record_duration(known, "q", 0.1, 0.1 * factor)
        shift = math.log(estimates.predict_run_s(known, "q", 0.1) / 0.1)
        self.assertLess(abs(shift), 0.04)
