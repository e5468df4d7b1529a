"""Detection of a stale owner row, and the rate of reads from the store."""

import unittest

from pollenladder.cluster import roster as rosters
from pollenladder.service import feeds

GROUP = "norte/0"


class OwnerRowTest(unittest.TestCase):
    """Whether the owner's row shows a live owner."""

    def setUp(self):
        self.now = 100.0
        callbacks = feeds.Callbacks(
            on_configuration=lambda found: None,
            on_workers=lambda *arguments: None,
            on_member=lambda member: None,
            on_layout=lambda layout, version: None,
            on_epoch=lambda group, epoch: None,
            get_epochs=dict,
            list_ownerless=lambda: [GROUP],
        )
        own = rosters.Member("d", "10.0.0.1", 1, "norte", 1)
        self.feeds = feeds.Feeds(None, own, callbacks, lambda: self.now)

    def _record_rows(
        self, seconds: float, changes: bool, version: int = 5
    ) -> None:
        end = self.now + seconds
        while self.now < end:
            self.feeds.record_owner_row(GROUP, version)
            version += changes
            self.now += feeds.OWNERSHIP_INTERVAL_S

    def test_changing_row_is_not_stale(self):
        self._record_rows(2 * feeds.OWNER_ROW_STALE_S, changes=True)
        self.assertFalse(self.feeds.is_owner_row_stale(GROUP))

    def test_unchanged_row_becomes_stale(self):
        self._record_rows(feeds.OWNER_ROW_STALE_S, changes=False)
        self.assertFalse(self.feeds.is_owner_row_stale(GROUP))
        self._record_rows(2 * feeds.OWNERSHIP_INTERVAL_S, changes=False)
        self.assertTrue(self.feeds.is_owner_row_stale(GROUP))

    def test_row_without_a_recent_read_is_not_stale(self):
        self._record_rows(2 * feeds.OWNER_ROW_STALE_S, changes=False)
        self.now += 3 * feeds.OWNERSHIP_INTERVAL_S
        self.assertFalse(self.feeds.is_owner_row_stale(GROUP))


class PauseTest(unittest.TestCase):
    """The reads by all daemons together are bounded."""

    def test_few_daemons_use_the_least_pause(self):
        self.assertEqual(feeds.choose_pause_s(6), feeds.MIN_PAUSE_S)

    def test_many_daemons_stay_below_the_maximum_rate(self):
        for daemons in (36, 100, 300):
            reads_per_s = daemons / feeds.choose_pause_s(daemons)
            self.assertLessEqual(reads_per_s, feeds.MAX_READS_PER_S + 1e-9)
