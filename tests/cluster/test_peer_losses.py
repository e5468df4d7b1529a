"""Tests of the time in which daemons may not know the same owners."""

import unittest

from pollenladder.cluster import peer_losses


class PeerLossesTest(unittest.TestCase):
    """Guards against attempts that are not told, and against telling all for good."""

    def setUp(self):
        self.losses = peer_losses.PeerLosses()

    def test_first_links_are_no_loss(self):
        self.losses.record_change("d2", True, 100.0)
        self.assertFalse(self.losses.is_recent(100.1))

    def test_lost_peer_counts_until_some_time_after_its_return(self):
        self.losses.record_change("d2", True, 90.0)
        self.losses.record_change("d2", False, 100.0)
        self.assertTrue(self.losses.is_recent(130.0))
        self.losses.record_change("d2", True, 130.0)
        end = 130.0 + peer_losses.DOUBT_S
        self.assertTrue(self.losses.is_recent(end - 0.1))
        self.assertFalse(self.losses.is_recent(end))

    def test_peer_that_has_stopped_for_good_does_not_count(self):
        self.losses.record_change("d2", False, 100.0)
        end = 100.0 + peer_losses.MAX_ABSENCE_S
        self.assertTrue(self.losses.is_recent(end - 0.1))
        self.assertFalse(self.losses.is_recent(end))
