"""Known, reachable and forgotten daemons."""

import unittest

from pollenladder.cluster import groups
from pollenladder.cluster import roster as rosters
from tests.cluster import samples

GROUP = groups.REGION_GROUP
HEARTBEAT = samples.build_heartbeat()


def _build_member(daemon_id: str, incarnation: int = 1) -> rosters.Member:
    return rosters.Member(daemon_id, "10.0.0.1", 7720, "norte", incarnation)


class RosterTest(unittest.TestCase):
    """A roster with one peer, "a", without a link."""

    def setUp(self):
        self.roster = rosters.Roster("own")
        self.roster.record_member(_build_member("a"), 0.0)

    def test_reachable_needs_a_link_and_a_heartbeat(self):
        self.roster.record_heartbeat("a", HEARTBEAT, 1.0)
        self.assertEqual(self.roster.list_reachable(GROUP), {})
        self.roster.record_link_state("a", True, 1.0)
        self.roster.record_heartbeat("a", HEARTBEAT, 1.0)
        self.assertEqual(list(self.roster.list_reachable(GROUP)), ["a"])
        self.roster.record_link_state("a", False, 2.0)
        self.assertEqual(self.roster.list_reachable(GROUP), {})

    def test_near_peers_are_those_of_one_data_centre(self):
        far = rosters.Member("z", "10.0.0.2", 7720, "sur", 1)
        self.roster.record_member(far, 0.0)
        self.assertEqual(self.roster.count_near(), 2)
        self.roster.limit_near("sur")
        self.assertEqual(self.roster.count_near(), 1)
        self.assertTrue(self.roster.is_near("z"))
        self.assertEqual(self.roster.list_known("sur"), {"own", "z"})
        self.roster.forget_lost(rosters.FORGET_AFTER_S + 1)
        self.assertEqual(self.roster.count_near(), 0)

    def test_own_daemon_is_no_peer(self):
        self.assertFalse(self.roster.record_member(_build_member("own"), 0.0))
        self.assertEqual(self.roster.list_known(), {"own", "a"})

    def test_older_incarnation_is_ignored(self):
        self.assertTrue(self.roster.record_member(_build_member("a", 2), 0.0))
        self.assertFalse(self.roster.record_member(_build_member("a", 1), 0.0))

    def test_peer_without_a_link_is_forgotten(self):
        later = rosters.FORGET_AFTER_S + 1
        self.assertEqual(self.roster.forget_lost(later - 2), [])
        self.assertEqual(self.roster.forget_lost(later), ["a"])
        self.assertEqual(self.roster.list_known(), {"own"})

    def test_forgotten_incarnation_is_not_added_again(self):
        self.roster.forget_lost(rosters.FORGET_AFTER_S + 1)
        self.assertFalse(self.roster.record_member(_build_member("a"), 20.0))
        self.assertTrue(self.roster.record_member(_build_member("a", 2), 20.0))

    def test_link_adds_a_forgotten_incarnation_again(self):
        self.roster.forget_lost(rosters.FORGET_AFTER_S + 1)
        member = _build_member("a")
        self.assertTrue(self.roster.record_member(member, 20.0, is_linked=True))


class ForgottenPeersTest(unittest.TestCase):
    """A roster that has forgotten its only peer, "a"."""

    def setUp(self):
        self.roster = rosters.Roster("own")
        self.roster.record_member(_build_member("a"), 0.0)
        self.forgotten_at = rosters.FORGET_AFTER_S + 1
        self.roster.forget_lost(self.forgotten_at)

    def _list_due(self, after_s: float) -> list[str]:
        due = self.roster.take_forgotten_due(self.forgotten_at + after_s)
        return [peer.member.daemon_id for peer in due]

    def test_forgotten_peer_is_tried_at_intervals(self):
        # Guards against daemons that never connect again after a network partition.
        tried = [
            tenth for tenth in range(100) if self._list_due(tenth / 10) == ["a"]
        ]
        self.assertEqual(tried, [20, 40, 60, 80])

    def test_peer_that_is_linked_again_is_not_forgotten(self):
        self.roster.record_member(_build_member("a"), 20.0, is_linked=True)
        self.assertEqual(self._list_due(100.0), [])
        self.assertEqual(self.roster.list_known(), {"own", "a"})

    def test_restarted_peer_is_not_forgotten(self):
        self.roster.record_member(_build_member("a", 2), 20.0)
        self.assertEqual(self._list_due(100.0), [])

    def test_peer_whose_row_is_gone_is_not_tried_forever(self):
        before_limit_s = rosters.ROWLESS_RETRY_LIMIT_S - 1.0
        self.assertEqual(self._list_due(before_limit_s), ["a"])
        self.assertEqual(self._list_due(before_limit_s + 1000.0), [])

    def test_peer_is_tried_as_long_as_it_has_a_row(self):
        # Guards against two parts of a cluster that stay apart after a long partition.
        read_at = self.forgotten_at + 3 * rosters.ROWLESS_RETRY_LIMIT_S
        self.assertFalse(self.roster.record_member(_build_member("a"), read_at))
        self.assertEqual(self._list_due(read_at), ["a"])

    def test_peer_whose_address_another_daemon_has_is_not_tried(self):
        # Guards against links that are replaced by those of another name.
        self.roster.record_member(_build_member("b"), self.forgotten_at)
        self.assertEqual(self._list_due(10.0), [])

    def test_forgotten_peer_does_not_count_as_known(self):
        self._list_due(10.0)
        self.assertEqual(self.roster.list_known(), {"own"})
        self.assertEqual(self.roster.count_near(), 0)
