"""Heartbeat intervals and timeouts, by the size of the region."""

import unittest

from pollenladder.cluster import heartbeats


class HeartbeatsTest(unittest.TestCase):
    """The rate of heartbeats is bounded without delaying loss detection."""

    def test_small_region_uses_the_full_rate(self):
        interval_s = heartbeats.choose_interval_s(5, False, True)
        self.assertEqual(interval_s, heartbeats.MIN_INTERVAL_S)

    def test_large_region_stays_below_the_maximum_rate(self):
        for peers in (35, 100, 300):
            interval_s = heartbeats.choose_interval_s(peers, False, True)
            self.assertLessEqual(
                peers / interval_s, heartbeats.MAX_HEARTBEATS_PER_S + 1e-6
            )

    def test_owner_uses_the_full_rate(self):
        interval_s = heartbeats.choose_interval_s(100, True, True)
        self.assertEqual(interval_s, heartbeats.MIN_INTERVAL_S)

    def test_daemon_without_an_owner_uses_the_full_rate(self):
        interval_s = heartbeats.choose_interval_s(100, False, False)
        self.assertEqual(interval_s, heartbeats.MIN_INTERVAL_S)

    def test_one_missed_heartbeat_does_not_lose_a_peer(self):
        for peers in (1, 5, 35, 100, 300):
            interval_s = heartbeats.choose_interval_s(peers, False, True)
            timeout_s = heartbeats.choose_timeout_s(peers, False)
            self.assertGreaterEqual(timeout_s, 2 * interval_s)

    def test_owner_timeout_does_not_depend_on_the_region_size(self):
        few = heartbeats.choose_timeout_s(5, True)
        many = heartbeats.choose_timeout_s(300, True)
        self.assertEqual(few, many)
