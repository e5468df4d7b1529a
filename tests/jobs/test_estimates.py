"""Tests of the correction of declared run times."""

import math
import random
import statistics
import unittest

from pollenladder.jobs import estimates

SIGMA = 0.4
TASKS = 3_000


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


class UndeclaredTest(unittest.TestCase):
    """Jobs without a declared run time are expected to run like earlier ones."""

    def setUp(self):
        self.estimates = estimates.Estimates()

    def _predict(self, declared_s: float = 0.0) -> float:
        return estimates.predict_run_s(self.estimates, "q", declared_s)

    def _find_longest(self) -> float | None:
        return estimates.find_longest_usual_s(
            self.estimates, "q", 0.0, self._predict()
        )

    def test_expected_run_time_is_never_zero(self):
        # Guards against divisions by the expected run time.
        self.assertEqual(self._predict(), estimates.UNDECLARED_RUN_S)
        estimates.record_run(self.estimates, "q", 0.0, 0.9)
        self.assertAlmostEqual(self._predict(), 0.9)

    def test_later_runs_count_too(self):
        for measured_s in [0.9] * 20 + [0.1] * 200:
            estimates.record_run(self.estimates, "q", 0.0, measured_s)
        self.assertAlmostEqual(self._predict(), 0.1, places=2)

    def test_declared_run_times_are_learned_apart(self):
        for _ in range(100):
            estimates.record_run(self.estimates, "q", 0.0, 0.9)
        self.assertEqual(self._predict(0.1), 0.1)
        for _ in range(300):
            estimates.record_run(self.estimates, "q", 0.1, 0.2)
        self.assertAlmostEqual(self._predict(), 0.9)

    def test_unusual_run_times_are_known_after_some_tasks(self):
        # Guards against runs that are moved by the measure of a guess.
        for n in range(estimates.MIN_UNDECLARED_TASKS):
            self.assertIsNone(self._find_longest())
            estimates.record_run(self.estimates, "q", 0.0, 0.1 + 0.8 * (n % 2))
        self.assertGreater(self._find_longest(), 0.9)

    def test_tail_of_declared_run_times_does_not_make_it_zero(self):
        random_s = random.Random(1)
        for n in range(2 * TASKS):
            measured_s = 0.7 if n % 20 == 0 else random_s.uniform(0.08, 0.12)
            estimates.record_duration(self.estimates, "q", 0.1, measured_s)
        self.assertIsNotNone(estimates.find_long_tail(self.estimates, "q"))
        self.assertEqual(self._predict(), estimates.UNDECLARED_RUN_S)


class RegressionTest(unittest.TestCase):
    """Declared run times are trusted as far as they have been right.

    Without the regression, a caller's error in the declared run time decided
    which job was refused under overload and which one started first.
    """

    def _measure_error(self, declared_sigma: float) -> tuple[float, float]:
        """Return the spread of predicted and declared over measured run time.

        Both are standard deviations of the natural logarithm.
        """
        generator = random.Random(7)
        learned = estimates.Estimates()
        predicted_errors = []
        declared_errors = []
        for number in range(TASKS):
            measured_s = 0.2 * generator.lognormvariate(0, SIGMA)
            error = generator.gauss(0, declared_sigma)
            declared_s = measured_s * math.exp(error)
            predicted_s = estimates.predict_run_s(learned, "q", declared_s)
            if number > TASKS // 2:
                predicted_errors.append(math.log(predicted_s / measured_s))
                declared_errors.append(error)
            estimates.record_run(learned, "q", declared_s, measured_s)
        return (
            statistics.stdev(predicted_errors),
            statistics.stdev(declared_errors),
        )

    def test_wrong_declarations_are_moved_towards_the_usual_run_time(self):
        predicted, declared = self._measure_error(SIGMA)
        # The best linear prediction has an error of SIGMA / sqrt(2).
        self.assertLess(predicted, 0.8 * declared)

    def test_exact_declarations_are_kept(self):
        predicted, _ = self._measure_error(0.0)
        self.assertLess(predicted, 0.01)

    def test_queue_with_one_declared_run_time_keeps_it(self):
        learned = estimates.Estimates()
        for measured_s in (0.05, 0.1, 0.2) * 100:
            estimates.record_run(learned, "q", 0.1, measured_s)
        predicted_s = estimates.predict_run_s(learned, "q", 0.1)
        self.assertAlmostEqual(predicted_s, 0.1, delta=0.03)
