"""Which daemons count as reachable in small and in large regions."""

import unittest

from pollenladder.cluster import groups
from pollenladder.cluster import heartbeats
from pollenladder.cluster import liveness
from pollenladder.cluster import roster as rosters
from tests.cluster import samples

LOST_AT = 100.0


class LivenessTest(unittest.TestCase):
    """A daemon that lost its owner at `LOST_AT`, with 5 or 60 peers.

    Of 60 peers, each sends heartbeats at a longer interval.
    """

    def _build(self, peers: int) -> None:
        self.roster = rosters.Roster("own")
        for number in range(peers):
            name = f"d{number}"
            member = rosters.Member(name, "10.0.0.1", 1, "norte", 1)
            self.roster.record_member(member, 0.0)
            self.roster.record_link_state(name, True, 0.0)
            self._receive(name, LOST_AT - 1.0)
        self.liveness = liveness.Liveness(
            groups.REGION_GROUP, self.roster, LOST_AT
        )

    def _receive(self, name: str, now: float) -> None:
        self.roster.record_heartbeat(name, samples.build_heartbeat(), now)

    def _count(self, has_owner: bool, now: float) -> int:
        return len(self.liveness.list_reachable(has_owner, now))

    def test_small_region_counts_all_linked_peers(self):
        self._build(5)
        self.assertFalse(self.liveness.is_awaiting_heartbeats(False, LOST_AT))
        self.assertEqual(self._count(False, LOST_AT + 5.0), 5)

    def test_large_region_counts_peers_with_fresh_heartbeats(self):
        self._build(60)
        self._receive("d1", LOST_AT + 0.1)
        self.assertTrue(
            self.liveness.is_awaiting_heartbeats(False, LOST_AT + 0.1)
        )
        after = LOST_AT + heartbeats.OWNER_LOSS_WAIT_S
        self.assertFalse(self.liveness.is_awaiting_heartbeats(False, after))
        self.assertEqual(self._count(False, after), 1)

    def test_wait_ends_once_all_peers_have_sent_a_heartbeat(self):
        self._build(60)
        for number in range(60):
            self._receive(f"d{number}", LOST_AT + 0.05)
        self.assertFalse(
            self.liveness.is_awaiting_heartbeats(False, LOST_AT + 0.06)
        )

    def test_all_linked_peers_count_while_there_is_an_owner(self):
        self._build(60)
        self.assertFalse(
            self.liveness.is_awaiting_heartbeats(True, LOST_AT + 0.1)
        )
        self.assertEqual(self._count(True, LOST_AT + 5.0), 60)
