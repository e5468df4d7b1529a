"""Epochs grow, whatever the time of day does, and belong to one daemon."""

import unittest

from pollenladder.cluster import epochs

NOW_S = 1_800_000_000.0


class EpochTest(unittest.TestCase):
    """Epochs of daemons whose clocks jump."""

    def test_a_later_one_is_higher(self):
        first = epochs.make_epoch("a", NOW_S, 0)
        self.assertGreater(epochs.make_epoch("b", NOW_S + 0.01, 0), first)

    def test_a_clock_that_went_back_is_made_up_for(self):
        first = epochs.make_epoch("a", NOW_S, 0)
        second = epochs.make_epoch("b", NOW_S - 3600.0, first)
        self.assertGreater(second, first)

    def test_a_clock_before_the_origin_still_gives_one(self):
        self.assertGreater(epochs.make_epoch("a", 0.0, 0), 0)

    def test_a_leap_is_above_what_others_may_have_made_meanwhile(self):
        first = epochs.make_epoch("a", NOW_S, 0)
        other = epochs.make_epoch("b", NOW_S + 5.0, 0)
        self.assertGreater(epochs.leap(first), other)
