"""False alarms: owners that were declared lost but were only slow."""

import unittest

from pollenladder.cluster import heartbeats
from pollenladder.cluster import ownership
from pollenladder.cluster import suspicion

LATE_S = ownership.LOW_LAG_S + 0.05


class SuspicionsTest(unittest.TestCase):
    """Only a slow owner that reconnects at once is a false alarm."""

    def setUp(self):
        self.suspicions = suspicion.Suspicions()
        self.suspicions.record_timeout("a", 1, 100.0)

    def _count(self, at: float = 101.0) -> int:
        return self.suspicions.count_false_alarms(at)

    def test_slow_owner_that_reconnects_is_a_false_alarm(self):
        self.assertTrue(self.suspicions.record_lag("a", 1, LATE_S, 100.3))
        self.assertEqual(self._count(), 1)

    def test_other_cases_are_no_false_alarms(self):
        cases = (
            ("only the connection was silent", "a", 1, 0.0, 100.3),
            ("owner has restarted", "a", 2, LATE_S, 100.3),
            ("other daemon", "b", 1, LATE_S, 100.3),
            ("owner reconnects too late", "a", 1, LATE_S, 101.5),
        )
        for name, *report in cases:
            with self.subTest(name):
                self.setUp()
                self.assertFalse(self.suspicions.record_lag(*report))
                self.assertEqual(self._count(), 0)

    def test_one_loss_counts_once(self):
        for at in (100.2, 100.3, 100.4):
            self.suspicions.record_lag("a", 1, LATE_S, at)
        self.assertEqual(self._count(), 1)

    def test_false_alarms_expire(self):
        self.suspicions.record_lag("a", 1, LATE_S, 100.3)
        self.assertEqual(self._count(100.4 + suspicion.FALSE_ALARM_TTL_S), 0)

    def test_false_alarms_lengthen_the_owner_timeout(self):
        timeouts = [
            heartbeats.choose_timeout_s(5, True, false_alarms)
            for false_alarms in range(4)
        ]
        self.assertEqual(timeouts[0], heartbeats.OWNER_TIMEOUT_S)
        self.assertEqual(timeouts, sorted(timeouts))
        self.assertEqual(timeouts[2], timeouts[3])
