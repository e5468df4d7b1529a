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

    def test_lag_that_an_owner_reports_extends_its_timeout(self):
        in_time = heartbeats.choose_timeout_s(5, True)
        late = heartbeats.choose_timeout_s(5, True, 0, 0.1)
        very_late = heartbeats.choose_timeout_s(5, True, 0, 60.0)
        self.assertGreater(late, in_time)
        # A dead owner is replaced within 2 s, whatever it has reported.
        self.assertLess(very_late, 2.0)

    def test_one_missed_heartbeat_does_not_lose_a_distant_peer(self):
        for is_owner in (False, True):
            for is_peer_owner in (False, True):
                interval_s = heartbeats.choose_distant_interval_s(
                    is_peer_owner, is_owner
                )
                timeout_s = heartbeats.choose_distant_timeout_s(
                    is_owner, is_peer_owner, 0, 0.0
                )
                with self.subTest(owner=is_owner, peer=is_peer_owner):
                    self.assertGreaterEqual(timeout_s, 2 * interval_s)

    def test_heartbeats_of_hundreds_of_daemons(self):
        """Heartbeats received by a daemon of 5 data centres with an owner each.

        The number grows more slowly than the number of daemons.
        """
        counts = {}
        for daemons in (100, 1000):
            near = daemons // 5 - 1
            owner = 1 / heartbeats.choose_interval_s(near, True, True)
            others = near / heartbeats.choose_interval_s(near, False, True)
            distant_owners = 4 / heartbeats.choose_distant_interval_s(
                True, False
            )
            distant = (
                4 * near / heartbeats.choose_distant_interval_s(False, False)
            )
            counts[daemons] = owner + others + distant_owners + distant
        self.assertLess(counts[1000], 5 * counts[100])

    def test_owner_timeout_does_not_depend_on_the_region_size(self):
        few = heartbeats.choose_timeout_s(5, True)
        many = heartbeats.choose_timeout_s(300, True)
        self.assertEqual(few, many)
