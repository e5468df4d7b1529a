"""The daemons that are known."""

import unittest

from pollenladder.cluster import roster as rosters
from tests.cluster import samples

BEAT = samples.build_beat()


def _build_member(daemon_id: str, incarnation: int = 1) -> rosters.Member:
    return rosters.Member(daemon_id, "10.0.0.1", 7720, "norte", incarnation)


class RosterTest(unittest.TestCase):
    """Who is heard, who is known, and who is forgotten."""

    def setUp(self):
        self.roster = rosters.Roster("own")
        self.roster.learn(_build_member("a"), 0.0)

    def test_only_who_is_linked_and_speaks_is_heard(self):
        self.roster.record_beat("a", BEAT, 1.0)
        self.assertEqual(self.roster.list_heard(), {})
        self.roster.record_linked("a", True, 1.0)
        self.roster.record_beat("a", BEAT, 1.0)
        self.assertEqual(list(self.roster.list_heard()), ["a"])
        self.roster.record_linked("a", False, 2.0)
        self.assertEqual(self.roster.list_heard(), {})

    def test_itself_is_no_peer(self):
        self.assertFalse(self.roster.learn(_build_member("own"), 0.0))
        self.assertEqual(self.roster.list_known(), {"own", "a"})

    def test_an_older_incarnation_is_no_news(self):
        self.assertTrue(self.roster.learn(_build_member("a", 2), 0.0))
        self.assertFalse(self.roster.learn(_build_member("a", 1), 0.0))

    def test_who_has_long_been_away_is_forgotten(self):
        later = rosters.FORGOTTEN_AFTER_S + 1
        self.assertEqual(self.roster.forget_lost(later - 2), [])
        self.assertEqual(self.roster.forget_lost(later), ["a"])
        self.assertEqual(self.roster.list_known(), {"own"})

    def test_a_forgotten_row_does_not_bring_it_back(self):
        self.roster.forget_lost(rosters.FORGOTTEN_AFTER_S + 1)
        self.assertFalse(self.roster.learn(_build_member("a"), 20.0))
        self.assertTrue(self.roster.learn(_build_member("a", 2), 20.0))

    def test_a_link_brings_it_back(self):
        self.roster.forget_lost(rosters.FORGOTTEN_AFTER_S + 1)
        member = _build_member("a")
        self.assertTrue(self.roster.learn(member, 20.0, is_linked=True))
