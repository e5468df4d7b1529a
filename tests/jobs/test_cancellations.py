"""Tests of the memory of cancelled jobs."""

import unittest

from pollenladder.jobs import cancellations


class CancellationsTest(unittest.TestCase):
    """Cancelled jobs are known for a time, and not without limit."""

    def setUp(self):
        self.cancellations = cancellations.Cancellations()

    def test_cancelled_job_is_known_for_the_retention(self):
        self.cancellations.record("a1", 100.0)
        until = 100.0 + cancellations.RETENTION_S
        self.assertTrue(self.cancellations.is_cancelled("a1", until - 0.1))
        self.assertFalse(self.cancellations.is_cancelled("a1", until))
        self.assertFalse(self.cancellations.is_cancelled("b2", 100.0))

    def test_job_that_is_cancelled_again_is_known_for_longer(self):
        self.cancellations.record("a1", 100.0)
        self.cancellations.record("b2", 101.0)
        self.cancellations.record("a1", 130.0)
        now = 129.0 + cancellations.RETENTION_S
        self.cancellations.record("c3", now)
        self.assertTrue(self.cancellations.is_cancelled("a1", now))
        self.assertFalse(self.cancellations.is_cancelled("b2", now))

    def test_memory_is_bounded(self):
        # Guards against a daemon that grows with the cancellations.
        for number in range(cancellations.MAX_JOBS + 10):
            self.cancellations.record(str(number), 100.0)
        self.assertFalse(self.cancellations.is_cancelled("9", 100.0))
        self.assertTrue(self.cancellations.is_cancelled("10", 100.0))
