"""How often daemons beat, by how many they are."""

import unittest

from pollenladder.cluster import cadence


class CadenceTest(unittest.TestCase):
    """What a daemon reads and writes for beats is bounded."""

    def test_a_small_region_beats_at_the_full_rate(self):
        interval_s = cadence.choose_beat_s(5, False, True)
        self.assertEqual(interval_s, cadence.FULL_BEAT_S)

    def test_a_large_one_keeps_to_the_bound(self):
        for peers in (35, 100, 300):
            interval_s = cadence.choose_beat_s(peers, False, True)
            self.assertLessEqual(
                peers / interval_s, cadence.MAX_BEATS_PER_S + 1e-6
            )

    def test_an_owner_beats_at_the_full_rate(self):
        interval_s = cadence.choose_beat_s(100, True, True)
        self.assertEqual(interval_s, cadence.FULL_BEAT_S)

    def test_without_an_owner_all_beat_at_the_full_rate(self):
        interval_s = cadence.choose_beat_s(100, False, False)
        self.assertEqual(interval_s, cadence.FULL_BEAT_S)

    def test_no_peer_is_lost_for_one_beat(self):
        for peers in (1, 5, 35, 100, 300):
            interval_s = cadence.choose_beat_s(peers, False, True)
            silence_s = cadence.choose_silence_s(peers, False)
            self.assertGreaterEqual(silence_s, 2 * interval_s)

    def test_an_owner_is_lost_as_soon_in_any_region(self):
        few = cadence.choose_silence_s(5, True)
        many = cadence.choose_silence_s(300, True)
        self.assertEqual(few, many)
