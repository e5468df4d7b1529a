"""How often daemons beat, by how many they are."""

import unittest

from pollenladder.cluster import heartbeats


class CadenceTest(unittest.TestCase):
    """What a daemon reads and writes for beats is bounded."""

    def test_a_small_region_beats_at_the_full_rate(self):
        interval_s = heartbeats.choose_interval_s(5, False, True)
        self.assertEqual(interval_s, heartbeats.MIN_INTERVAL_S)

    def test_a_large_one_keeps_to_the_bound(self):
        for peers in (35, 100, 300):
            interval_s = heartbeats.choose_interval_s(peers, False, True)
            self.assertLessEqual(
                peers / interval_s, heartbeats.MAX_HEARTBEATS_PER_S + 1e-6
            )

    def test_an_owner_beats_at_the_full_rate(self):
        interval_s = heartbeats.choose_interval_s(100, True, True)
        self.assertEqual(interval_s, heartbeats.MIN_INTERVAL_S)

    def test_without_an_owner_all_beat_at_the_full_rate(self):
        interval_s = heartbeats.choose_interval_s(100, False, False)
        self.assertEqual(interval_s, heartbeats.MIN_INTERVAL_S)

    def test_no_peer_is_lost_for_one_beat(self):
        for peers in (1, 5, 35, 100, 300):
            interval_s = heartbeats.choose_interval_s(peers, False, True)
            timeout_s = heartbeats.choose_timeout_s(peers, False)
            self.assertGreaterEqual(timeout_s, 2 * interval_s)

    def test_an_owner_is_lost_as_soon_in_any_region(self):
        few = heartbeats.choose_timeout_s(5, True)
        many = heartbeats.choose_timeout_s(300, True)
        self.assertEqual(few, many)
