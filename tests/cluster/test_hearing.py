"""Who counts as heard in small and in large regions."""

import unittest

from pollenladder.cluster import cadence
from pollenladder.cluster import hearing
from pollenladder.cluster import roster as rosters
from tests.cluster import samples

LOST_AT = 100.0


class HearingTest(unittest.TestCase):
    """A daemon whose owner was lost, and who has spoken before and since."""

    def _build(self, peers: int) -> None:
        self.roster = rosters.Roster("own")
        for number in range(peers):
            name = f"d{number}"
            member = rosters.Member(name, "10.0.0.1", 1, "norte", 1)
            self.roster.learn(member, 0.0)
            self.roster.record_linked(name, True, 0.0)
            self._hear(name, LOST_AT - 1.0)
        self.hearing = hearing.Hearing(self.roster, LOST_AT)

    def _hear(self, name: str, now: float) -> None:
        self.roster.record_beat(name, samples.build_beat(), now)

    def _count(self, has_owner: bool, now: float) -> int:
        return len(self.hearing.list_heard(has_owner, now))

    def test_in_a_small_region_all_with_links_are_heard(self):
        self._build(5)
        self.assertFalse(self.hearing.is_going_on(False, LOST_AT))
        self.assertEqual(self._count(False, LOST_AT + 5.0), 5)

    def test_in_a_large_one_those_who_are_left_are(self):
        self._build(60)
        self._hear("d1", LOST_AT + 0.1)
        self.assertTrue(self.hearing.is_going_on(False, LOST_AT + 0.1))
        after = LOST_AT + cadence.FRESH_S
        self.assertFalse(self.hearing.is_going_on(False, after))
        self.assertEqual(self._count(False, after), 1)

    def test_it_ends_once_all_have_spoken(self):
        self._build(60)
        for number in range(60):
            self._hear(f"d{number}", LOST_AT + 0.05)
        self.assertFalse(self.hearing.is_going_on(False, LOST_AT + 0.06))

    def test_with_an_owner_nobody_is_left_out(self):
        self._build(60)
        self.assertFalse(self.hearing.is_going_on(True, LOST_AT + 0.1))
        self.assertEqual(self._count(True, LOST_AT + 5.0), 60)
