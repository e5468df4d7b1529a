"""Owners that were taken for lost, and those that were only slow."""

import unittest

from pollenladder.cluster import cadence
from pollenladder.cluster import ownership
from pollenladder.cluster import suspicion

LATE_S = ownership.QUICK_LAG_S + 0.05


class SuspicionsTest(unittest.TestCase):
    """Only an owner that is back at once and runs late is a false alarm."""

    def setUp(self):
        self.suspicions = suspicion.Suspicions()
        self.suspicions.record_lost("a", 1, 100.0)

    def _count(self, at: float = 101.0) -> int:
        return self.suspicions.count_alarms(at)

    def test_a_slow_owner_that_is_back(self):
        self.assertTrue(self.suspicions.record_lag("a", 1, LATE_S, 100.3))
        self.assertEqual(self._count(), 1)

    def test_what_is_not_one(self):
        cases = (
            ("its connection was silent", "a", 1, 0.0, 100.3),
            ("it has begun anew", "a", 2, LATE_S, 100.3),
            ("another daemon", "b", 1, LATE_S, 100.3),
            ("it was away", "a", 1, LATE_S, 101.5),
        )
        for name, *told in cases:
            with self.subTest(name):
                self.setUp()
                self.assertFalse(self.suspicions.record_lag(*told))
                self.assertEqual(self._count(), 0)

    def test_one_loss_is_one_alarm(self):
        for at in (100.2, 100.3, 100.4):
            self.suspicions.record_lag("a", 1, LATE_S, at)
        self.assertEqual(self._count(), 1)

    def test_alarms_are_forgotten(self):
        self.suspicions.record_lag("a", 1, LATE_S, 100.3)
        self.assertEqual(self._count(100.4 + suspicion.REMEMBERED_S), 0)

    def test_owners_are_waited_for_longer(self):
        silences = [
            cadence.choose_silence_s(5, True, alarms) for alarms in range(4)
        ]
        self.assertEqual(silences[0], cadence.OWNER_SILENCE_S)
        self.assertEqual(silences, sorted(silences))
        self.assertEqual(silences[2], silences[3])
