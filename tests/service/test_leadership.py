"""When a daemon claims the ownership, resigns, or waits."""

import itertools
import unittest

from pollenladder.cluster import boot
from pollenladder.cluster import epochs
from pollenladder.cluster import groups
from pollenladder.cluster import heartbeats
from pollenladder.cluster import messages
from pollenladder.cluster import ownership
from pollenladder.cluster import roster as rosters
from pollenladder.fleet import worker_lists
from pollenladder.service import leadership
from pollenladder.service import membership
from tests.cluster import samples

GROUP = groups.REGION_GROUP


class LeadershipTest(unittest.TestCase):
    """One daemon, "b", and the heartbeats that it receives and sends."""

    def setUp(self):
        self.now = 100.0
        self.store_lost_at = None
        self.claim_fails = False
        self.is_leaving = False
        self.knows_all_daemons = True
        self.is_owner_row_stale = False
        self.reaches_workers = False
        self.roster = rosters.Roster("b")
        self.sent: list[messages.Heartbeat] = []
        self.claimed: list[int] = []
        self.resigned = 0
        self.membership = membership.Membership(
            1.0,
            self.roster,
            membership.Callbacks(
                broadcast=lambda heartbeat, _: self.sent.append(heartbeat),
                on_forgotten=lambda daemon_id: None,
                reads_store=self._reads_store,
                get_version=lambda: 1,
                get_layout_version=lambda: 1,
                list_crashing_queues=dict,
                is_leaving=lambda: self.is_leaving,
            ),
            lambda: self.now,
            worker_lists.ListHistory(),
        )
        self.leading = self._build_leadership(GROUP)
        self.membership.leaderships[GROUP] = self.leading

    def _build_leadership(self, group: str) -> leadership.Leadership:
        return leadership.Leadership(
            group,
            rosters.Member("b", "10.0.0.1", 1, "sur", 1),
            self.roster,
            leadership.Callbacks(
                claim=self._claim,
                resign=self._count_resigned,
                on_owner=lambda owner_id: None,
                on_change=lambda: None,
                get_own_view=self.membership.build_own_view,
                count_reachable_workers=lambda: 5,
                count_pending=dict,
                measure_loads=dict,
                knows_all_daemons=lambda: self.knows_all_daemons,
                is_isolated=lambda: False,
                reaches_workers=lambda: self.reaches_workers,
                is_owner_row_stale=lambda: self.is_owner_row_stale,
            ),
            lambda: self.now,
            lambda: 1_800_000_000.0,
        )

    def _claim(self, epoch: int) -> None:
        if self.claim_fails:
            raise ValueError
        self.claimed.append(epoch)

    def _count_resigned(self) -> None:
        self.resigned += 1

    def _reads_store(self, within_s: float) -> bool:
        lost_at = self.store_lost_at
        return lost_at is None or self.now < lost_at + within_s

    def _receive(self, daemon_id: str, **changes: object) -> None:
        member = rosters.Member(daemon_id, "10.0.0.1", 1, "norte", 1)
        self.roster.record_member(member, self.now)
        self.roster.record_link_state(daemon_id, True, self.now)
        self.membership.record_heartbeat(
            daemon_id, samples.build_heartbeat(**changes)
        )

    def _record_late(self, late_s: float) -> None:
        self.membership.loop_lag.record(late_s, self.leading.is_owner)

    def _become_owner(self) -> None:
        self._receive("c")
        self.membership.step()
        self.assertTrue(self.leading.is_owner)

    def test_daemon_that_cannot_take_over_lets_others_claim(self):
        # Guards against an owner in name only, and against lost heartbeats.
        self.claim_fails = True
        self._receive("c")
        with self.assertLogs(leadership.LOGGER, "ERROR"):
            self.membership.step()
        self.assertFalse(self.leading.is_owner)
        self.assertEqual(self.resigned, 1)
        self.membership.send_heartbeat_if_needed()
        self.assertFalse(self.sent[-1].count_owned())

    def test_group_whose_decision_fails_does_not_hold_up_the_others(self):
        # Guards against a loop that one group ends for all.
        broken = self._build_leadership("norte/0")
        broken.step = lambda: 1 / 0
        self.membership.leaderships = {"norte/0": broken, GROUP: self.leading}
        self._receive("c")
        with self.assertLogs(membership.LOGGER, "ERROR"):
            self.membership.step()
        self.assertTrue(self.leading.is_owner)

    def test_daemon_that_reaches_all_others_claims_at_once(self):
        self._receive("c")
        self.membership.step()
        self.assertEqual(len(self.claimed), 1)

    def _lose_owner_of_other_data_centre(self) -> leadership.Leadership:
        """Return the leadership of a group whose only daemon was lost."""
        foreign = self._build_leadership("norte/0")
        self.membership.leaderships["norte/0"] = foreign
        self._receive("z", group="norte/0", is_owner=True, epoch=3)
        self.membership.step()
        self.assertEqual(foreign.owner_id, "z")
        self.roster.record_link_state("z", False, self.now)
        self.membership.step()
        self.assertEqual(foreign.owner_id, "")
        return foreign

    def test_group_of_another_data_centre_is_left_to_its_daemons(self):
        foreign = self._lose_owner_of_other_data_centre()
        self.now += leadership.OUTSIDE_CLAIM_S + 1.0
        self.membership.step()
        # Its workers are not reachable: the data centre may be cut off.
        self.assertFalse(foreign.is_owner)

    def test_group_without_any_daemon_is_claimed_from_outside(self):
        foreign = self._lose_owner_of_other_data_centre()
        self.reaches_workers = True
        self.membership.step()
        self.assertFalse(foreign.is_owner)
        self.now += leadership.OUTSIDE_CLAIM_S
        self.membership.step()
        self.assertTrue(foreign.is_owner)

    def _start_with_lost_daemon(self, **changes: object) -> None:
        """Start when one of four daemons is listed, but gone for good."""
        gone = rosters.Member("a", "10.0.0.1", 1, "norte", 1)
        self.roster.record_member(gone, self.now)
        self._receive("c", **changes)
        self._receive("d", **changes)
        self.membership.step()
        self.assertFalse(self.leading.is_owner)
        self.now += boot.OWNERLESS_GRACE_S
        self.membership.step()

    def test_after_a_start_of_all_a_lost_daemon_does_not_delay_the_claim(self):
        # Before, the daemons waited for the lost one for .8 s, and jobs that
        # arrived meanwhile were refused.
        self._start_with_lost_daemon()
        self.assertTrue(self.leading.is_owner)

    def test_restarted_daemon_does_not_claim_if_others_follow_an_owner(self):
        self._start_with_lost_daemon(follows="a")
        self.assertFalse(self.leading.is_owner)

    def test_lone_daemon_waits_for_others_before_it_claims(self):
        self.membership.step()
        self.assertEqual(self.claimed, [])
        self.now += boot.GRACE_S
        self.membership.step()
        self.assertEqual(len(self.claimed), 1)

    def test_owner_stays_if_all_daemons_lose_the_store(self):
        self._become_owner()
        self.store_lost_at = self.now
        for _ in range(40):
            self.now += membership.STEP_S
            lost_s = self.now - self.store_lost_at
            self._receive("c", reads_store=lost_s < membership.STORE_GRACE_S)
            self.membership.step()
        self.assertEqual(self.resigned, 0)

    def test_owner_resigns_if_it_alone_loses_the_store(self):
        self._become_owner()
        self.store_lost_at = self.now
        grace_s = membership.STORE_GRACE_S + leadership.ALONE_WITHOUT_STORE_S
        resigned = []
        while self.now < self.store_lost_at + grace_s + membership.STEP_S:
            self.now += membership.STEP_S
            self._receive("c")
            self.membership.step()
            resigned.append(self.resigned)
        self.assertEqual(resigned[-2:], [0, 1])
        self.assertTrue(self.leading.build_state().is_backing_off)

    def test_owner_stays_if_the_others_regain_the_store_first(self):
        self._become_owner()
        self.store_lost_at = self.now - 10.0
        self._receive("c", reads_store=False)
        self.membership.step()
        # A retry comes at most `feeds.MAX_RETRY_S` later than another daemon's.
        for _ in range(6):
            self.now += membership.STEP_S
            self._receive("c")
            self.membership.step()
        self.store_lost_at = None
        self.now += 1.0
        self.membership.step()
        self.assertEqual(self.resigned, 0)

    def test_resigning_owner_names_its_successor_once(self):
        self._become_owner()
        self._receive("a", processor_cores=0.5)
        self.is_leaving = True
        self.membership.step()
        self.membership.send_heartbeat_if_needed()
        self.now += 1.0
        self.membership.send_heartbeat_if_needed()
        successors = [sent.groups[0].successor for sent in self.sent]
        self.assertEqual([name for name in successors if name], ["c"])

    def test_named_successor_claims_though_another_ranks_better(self):
        self._receive("a", is_owner=True, epoch=3)
        self.membership.step()
        self._receive("a", successor="b")
        self.membership.step()
        self.assertEqual(len(self.claimed), 1)

    def test_claim_is_left_to_the_named_successor_for_a_while(self):
        self._receive("c", is_owner=True, epoch=3)
        self.membership.step()
        self._receive("c", is_backing_off=True, successor="d")
        self._receive("d")
        self.membership.step()
        self.assertEqual(self.claimed, [])
        self.now += ownership.SUCCESSOR_WAIT_S
        self.membership.step()
        self.assertEqual(len(self.claimed), 1)

    def test_restarted_owner_passes_a_distant_epoch_in_few_claims(self):
        self._become_owner()
        hour_ms = 3_600_000
        distant = self.claimed[0] + hour_ms * epochs.DAEMON_NUMBERS
        while self.claimed[-1] < distant:
            self.leading.record_fenced("w1")
            self.now += leadership.FENCED_WAIT_S
            self.membership.step()
        self.assertLess(len(self.claimed), 12)

    def test_claim_exceeds_the_epoch_in_the_owner_row(self):
        self.leading.record_epoch(1 << 60)
        self._become_owner()
        self.assertGreater(self.claimed[0], 1 << 60)

    def test_claim_drops_the_fencing_of_the_epoch_before(self):
        self._become_owner()
        self.now += ownership.SETTLING_S
        self.leading.record_fenced("w1")
        rival = {"epoch": self.claimed[0] + 1, "is_settled": True}
        self._receive("c", is_owner=True, **rival)
        self.membership.step()
        self._receive("c", follows="b")
        self.now += leadership.FENCED_WAIT_S
        self.membership.step()
        self.assertEqual(len(self.claimed), 2)

    def test_fenced_owner_claims_a_higher_epoch(self):
        self._become_owner()
        self.leading.record_fenced("w1")
        self.membership.step()
        self.assertEqual(len(self.claimed), 1)
        self.now += leadership.FENCED_WAIT_S
        self.membership.step()
        first, second = self.claimed
        epoch_floor = epochs.skip_ahead(first)
        self.assertGreaterEqual(second, epoch_floor)

    def test_fenced_owner_resigns_if_others_follow_another_owner(self):
        self._become_owner()
        self.leading.record_fenced("w1")
        self._receive("c", follows="x")
        self.now += leadership.FENCED_WAIT_S
        self.membership.step()
        self.assertEqual((len(self.claimed), self.resigned), (1, 1))

    def test_fenced_owner_resigns_if_it_reaches_less_than_half(self):
        self._become_owner()
        for name in ("d", "e", "f"):
            member = rosters.Member(name, "10.0.0.1", 1, "norte", 1)
            self.roster.record_member(member, self.now)
        self.roster.record_link_state("c", False, self.now)
        self.leading.record_fenced("w1")
        self.now += leadership.FENCED_WAIT_S
        self.membership.step()
        self.assertEqual(self.resigned, 1)

    def test_resumed_owner_resigns_to_the_new_owner(self):
        self._become_owner()
        self.leading.record_fenced("w1")
        self._receive(
            "c", is_owner=True, epoch=self.claimed[0] + 1, workers_reached=5
        )
        self.membership.step()
        self.assertEqual((len(self.claimed), self.resigned), (1, 1))

    def test_survivor_claims_once_the_owner_row_is_stale(self):
        for name in ("d", "e", "f"):
            member = rosters.Member(name, "10.0.0.1", 1, "norte", 1)
            self.roster.record_member(member, self.now)
        self.now += boot.GRACE_S
        self.membership.step()
        self.assertFalse(self.leading.is_owner)
        self.is_owner_row_stale = True
        self.membership.step()
        self.assertTrue(self.leading.is_owner)

    def test_claim_exceeds_the_epoch_of_another_owner(self):
        self._become_owner()
        self.now += ownership.SETTLING_S
        daemons = epochs.DAEMON_NUMBERS
        self._receive(
            "c",
            is_owner=True,
            epoch=self.claimed[0] + 5 * daemons,
            is_settled=True,
        )
        self.membership.step()
        self.assertGreater(self.claimed[-1], self.claimed[0] + 5 * daemons)

    def test_claims_follow_the_time_since_an_epoch_became_known(self):
        # Guards against a later owner that obeys an earlier one's fence, as its wall
        # clock is behind and it does not know that one's claim.
        ahead = epochs.make_epoch("c", 1_800_000_007.0, 0)
        self._receive("c", follows="z", epoch=ahead)
        self.now += 3.0
        self._become_owner()
        after_ms = (self.claimed[0] - ahead) // epochs.DAEMON_NUMBERS
        self.assertGreaterEqual(after_ms, 3000)

    def test_daemon_with_the_same_hash_has_another_epoch(self):
        # Guards against two owners that all workers obey.
        own = epochs.make_epoch("b", 1_800_000_000.0, 0)
        twin = next(
            daemon_id
            for daemon_id in (f"a{n}" for n in itertools.count())
            if epochs.make_epoch(daemon_id, 1_800_000_000.0, 0) == own
        )
        self._receive(twin, is_backing_off=True)
        self.roster.record_link_state(twin, False, self.now)
        self.now += rosters.FORGET_AFTER_S + 1.0
        self.membership.step()
        self.assertNotIn(twin, self.roster.peers)
        self._become_owner()
        made_by_twin = epochs.make_epoch(twin, 1_800_000_000.0, 0, ["b", twin])
        self.assertNotEqual(self.claimed[0], made_by_twin)
        self.assertEqual(made_by_twin, own)

    def test_follower_in_a_large_region_sends_few_heartbeats(self):
        for number in range(100):
            self._receive(f"x{number}", is_owner=number == 0, workers_reached=9)
        for _ in range(50):
            self.membership.step()
            self.membership.send_heartbeat_if_needed()
            self.now += membership.STEP_S
        self.assertLess(len(self.sent), 8)

    def test_distant_peers_get_few_heartbeats(self):
        self.roster.limit_near("sur")
        self._receive("x", is_owner=True, workers_reached=9)
        self._receive("y")
        due: list[str] = []
        for _ in range(100):
            self.now += membership.STEP_S
            heartbeat = self.membership.build_heartbeat()
            found = self.membership._list_due(heartbeat, self.now, False, False)
            self.membership._last_sent_at.update(dict.fromkeys(found, self.now))
            due += found
        self.assertLessEqual(due.count("y"), 3)
        self.assertGreaterEqual(due.count("x"), 12)

    def test_urgent_change_is_sent_at_once(self):
        for number in range(100):
            self._receive(f"x{number}", is_owner=number == 0, workers_reached=9)
        self.membership.step()
        self.membership.send_heartbeat_if_needed()
        self.now += membership.STEP_S
        self._receive("x0")
        self.membership.step()
        self.membership.send_heartbeat_if_needed()
        self.assertEqual(len(self.sent), 2)

    def test_newly_linked_daemon_gets_a_heartbeat_at_once(self):
        self._receive("c", is_owner=True, workers_reached=9)
        self.membership.step()
        self.membership.send_heartbeat_if_needed()
        self.membership.request_heartbeat()
        self.membership.send_heartbeat_if_needed()
        self.assertEqual(len(self.sent), 2)

    def _follow_one_of_many(self) -> None:
        for number in range(40):
            self._receive(f"x{number}")
        self._receive("a")
        self._receive("y", is_owner=True, workers_reached=9)
        self.membership.step()
        self.assertEqual(self.leading.owner_id, "y")
        self.now += 1.0
        self.roster.record_link_state("y", False, self.now)
        self.membership.step()

    def test_large_region_does_not_wait_for_a_silent_peer(self):
        self._follow_one_of_many()
        self.assertEqual(self.claimed, [])
        self.now += heartbeats.OWNER_LOSS_WAIT_S
        # "a" has the best rank but has sent no heartbeat since.
        for number in range(40):
            self._receive(f"x{number}")
        self.membership.step()
        self.assertEqual(len(self.claimed), 1)

    def test_large_region_waits_for_a_live_peer_of_better_rank(self):
        self._follow_one_of_many()
        self.now += heartbeats.OWNER_LOSS_WAIT_S
        for name in ("a", *(f"x{number}" for number in range(40))):
            self._receive(name)
        self.membership.step()
        self.assertEqual(self.claimed, [])

    def test_wait_ends_once_all_linked_peers_have_sent_a_heartbeat(self):
        self._follow_one_of_many()
        for number in range(40):
            self._receive(f"x{number}")
        self.roster.record_link_state("a", False, self.now)
        self.membership.step()
        self.assertEqual(len(self.claimed), 1)

    def test_slow_owner_announces_the_share_to_refuse(self):
        self._become_owner()
        for _ in range(5):
            self._record_late(0.5)
        share = self.membership.get_shed_share(GROUP)
        self.assertGreater(share, 0.0)
        self.assertEqual(self.membership.build_heartbeat().shed_share, share)

    def test_follower_uses_the_share_of_its_owner(self):
        self._record_late(5.0)
        self.assertEqual(self.membership.get_shed_share(GROUP), 0.0)
        self._receive("a", is_owner=True, epoch=3, shed_share=0.4)
        self.membership.step()
        self.assertEqual(self.membership.get_shed_share(GROUP), 0.4)

    def test_owner_stays_after_several_slow_owners(self):
        before = ""
        for owner in ("a", "c"):
            self._receive(owner, is_owner=True, epoch=3)
            if before:
                self._receive(before, is_backing_off=True)
            self.membership.step()
            self.assertEqual(self.leading.owner_id, owner)
            before = owner
        self._receive(before, is_backing_off=True)
        self.membership.step()
        self.assertTrue(self.leading.is_owner)
        for _ in range(20):
            self._record_late(1.0)
        self.membership.step()
        self.assertEqual(self.resigned, 0)
        self.now += ownership.RECENT_OWNERS_WINDOW_S
        self._receive("a")
        self.membership.step()
        self.assertEqual(self.resigned, 1)
