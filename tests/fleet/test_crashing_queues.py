"""Tests of what daemons tell each other about queues that crash workers."""

import unittest

from pollenladder.fleet import crashing_queues

QUEUE = "holds"


class CrashingQueuesTest(unittest.TestCase):
    """Queues found here and told by other daemons."""

    def setUp(self):
        self.queues = crashing_queues.CrashingQueues()

    def test_found_queue_counts_for_a_time(self):
        self.queues.record(QUEUE, 10.0)
        end = 10.0 + crashing_queues.HOLD_S
        self.assertTrue(self.queues.contains(QUEUE, end - 0.01))
        self.assertFalse(self.queues.contains(QUEUE, end))
        self.assertEqual(self.queues.build_report(end), {})

    def test_another_daemon_counts_it_for_as_long(self):
        self.queues.record(QUEUE, 10.0)
        other = crashing_queues.CrashingQueues()
        other.record_told(self.queues.build_report(12.0), 500.0)
        left_s = crashing_queues.HOLD_S - 2.0
        self.assertTrue(other.contains(QUEUE, 500.0 + left_s - 0.1))
        self.assertFalse(other.contains(QUEUE, 500.0 + left_s + 0.1))

    def test_told_queue_is_not_passed_on(self):
        """Guards against daemons that remind each other forever."""
        self.queues.record_told({QUEUE: 3.0}, 10.0)
        self.assertEqual(self.queues.build_report(10.0), {})

    def test_told_time_is_limited(self):
        """Guards against a peer that tells an endless time."""
        self.queues.record_told({QUEUE: 1e9}, 10.0)
        self.assertFalse(
            self.queues.contains(QUEUE, 10.0 + crashing_queues.HOLD_S)
        )

    def test_earlier_end_does_not_shorten_a_later_one(self):
        self.queues.record_told({QUEUE: 4.0}, 10.0)
        self.queues.record_told({QUEUE: 1.0}, 10.5)
        self.assertTrue(self.queues.contains(QUEUE, 13.5))
