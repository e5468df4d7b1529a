"""Epochs grow, even if the wall clock goes back."""

import unittest

from pollenladder.cluster import epochs

NOW_S = 1_800_000_000.0


class EpochTest(unittest.TestCase):
    """Epochs of daemons whose wall clocks jump."""

    def test_later_epoch_is_higher(self):
        first = epochs.make_epoch("a", NOW_S, 0)
        self.assertGreater(epochs.make_epoch("b", NOW_S + 0.01, 0), first)

    def test_epoch_is_higher_after_the_clock_went_back(self):
        first = epochs.make_epoch("a", NOW_S, 0)
        second = epochs.make_epoch("b", NOW_S - 3600.0, first)
        self.assertGreater(second, first)

    def test_clock_before_the_origin_gives_a_positive_epoch(self):
        self.assertGreater(epochs.make_epoch("a", 0.0, 0), 0)

    def test_skipping_ahead_exceeds_epochs_made_by_others_since(self):
        first = epochs.make_epoch("a", NOW_S, 0)
        other = epochs.make_epoch("b", NOW_S + 5.0, 0)
        self.assertGreater(epochs.skip_ahead(first), other)
