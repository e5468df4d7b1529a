"""Tests of the estimated speeds of workers."""

import math
import random
import unittest

from pollenladder.fleet import entities
from pollenladder.fleet import speeds


def _learn(speed: float, runs: int, sigma: float = 0.2) -> float:
    estimate = entities.SpeedEstimate()
    noise = random.Random(7)
    for _ in range(runs):
        shown = math.log(speed) + noise.gauss(0.0, sigma)
        speeds.record_run(estimate, shown, 1.0)
    return speeds.get_speed(estimate)


class SpeedTest(unittest.TestCase):
    """Estimates follow evidence, and equal workers count as equal."""

    def test_a_slow_and_a_fast_worker_are_recognised(self):
        for speed in (0.7, 1.7):
            with self.subTest(speed=speed):
                self.assertAlmostEqual(_learn(speed, 100), speed, delta=0.08)

    def test_little_evidence_changes_nothing(self):
        # A single disturbed run must not redirect load.
        self.assertEqual(_learn(0.5, 1), 1.0)

    def test_noise_among_equal_workers_changes_no_decision(self):
        self.assertEqual({_learn(1.0, runs) for runs in range(1, 300)}, {1.0})

    def test_estimates_are_bounded(self):
        # Beyond the bounds, `health` must recognise the worker as slow.
        self.assertEqual(_learn(0.05, 2000), speeds.MIN_SPEED)
        self.assertEqual(_learn(50.0, 2000), speeds.MAX_SPEED)

    def test_centring_keeps_ratios_and_restores_the_average(self):
        # Only ratios are observed, so estimates could drift together.
        estimates = [
            entities.SpeedEstimate(math.log(speed), 10.0)
            for speed in (1.4, 1.4, 2.0)
        ]
        unknown = entities.SpeedEstimate()
        speeds.centre([*estimates, unknown])
        logs = [estimate.log_speed for estimate in estimates]
        self.assertAlmostEqual(sum(logs), 0.0)
        self.assertAlmostEqual(logs[2] - logs[0], math.log(2.0 / 1.4))
        self.assertEqual(unknown.log_speed, 0.0)

    def test_capacity_that_shrinks_and_grows_keeps_the_estimate(self):
        """Guards against a speed that is learned anew after each change."""
        listing = entities.Listing("w", ("", 1), "z", "s", _cores(64), False)
        worker = entities.Worker(listing)
        worker.speed = entities.SpeedEstimate(0.5, 9.0)
        for cores in (32, 64):
            capacity = _cores(cores)
            worker.update_listing(
                entities.Listing("w", ("", 1), "z", "s", capacity, False)
            )
            self.assertEqual(worker.speed, entities.SpeedEstimate(0.5, 9.0))


def _cores(count: int) -> entities.jobs.Resources:
    return entities.jobs.Resources(1000 * count)
