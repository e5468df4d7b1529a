"""What the store's rows tell, over time."""

import unittest

from pollenladder.cluster import roster as rosters
from pollenladder.service import feeds


class OwnerRowTest(unittest.TestCase):
    """Whether the store shows that an owner lives."""

    def setUp(self):
        self.now = 100.0
        outlets = feeds.Outlets(
            on_configuration=lambda found: None,
            on_workers=lambda *arguments: None,
            on_member=lambda member: None,
            is_owner=lambda: False,
            get_owner=lambda: "",
        )
        own = rosters.Member("d", "10.0.0.1", 1, "norte", 1)
        self.feeds = feeds.Feeds(None, own, outlets, lambda: self.now)

    def _watch(self, seconds: float, changes: bool, version: int = 5) -> None:
        end = self.now + seconds
        while self.now < end:
            self.feeds.take_owner_row(version)
            version += changes
            self.now += feeds.OWNERSHIP_PAUSE_S

    def test_a_row_that_changes_has_an_owner(self):
        self._watch(2 * feeds.OWNER_SILENT_S, changes=True)
        self.assertFalse(self.feeds.is_owner_silent())

    def test_a_row_that_stands_still_has_none(self):
        self._watch(feeds.OWNER_SILENT_S, changes=False)
        self.assertFalse(self.feeds.is_owner_silent())
        self._watch(2 * feeds.OWNERSHIP_PAUSE_S, changes=False)
        self.assertTrue(self.feeds.is_owner_silent())

    def test_a_store_that_cannot_be_read_shows_nothing(self):
        self._watch(2 * feeds.OWNER_SILENT_S, changes=False)
        self.now += 3 * feeds.OWNERSHIP_PAUSE_S
        self.assertFalse(self.feeds.is_owner_silent())


class PauseTest(unittest.TestCase):
    """What all daemons together read of the store is bounded."""

    def test_few_daemons_keep_to_the_least_pause(self):
        self.assertEqual(feeds.choose_pause_s(6), feeds.PAUSE_S)

    def test_many_share_the_bound(self):
        for daemons in (36, 100, 300):
            reads_per_s = daemons / feeds.choose_pause_s(daemons)
            self.assertLessEqual(reads_per_s, feeds.MAX_READS_PER_S + 1e-9)
