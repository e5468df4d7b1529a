"""When a daemon claims the workers, gives them up, or waits."""

import unittest

from pollenladder.cluster import cadence
from pollenladder.cluster import epochs
from pollenladder.cluster import messages
from pollenladder.cluster import ownership
from pollenladder.cluster import roster as rosters
from pollenladder.service import leadership
from tests.cluster import samples


class LeadershipTest(unittest.TestCase):
    """One daemon, "b", and the beats it hears and sends."""

    def setUp(self):
        self.now = 100.0
        self.store_lost_at = None
        self.knows_all = True
        self.owner_is_silent = False
        self.roster = rosters.Roster("b")
        self.sent: list[messages.Beat] = []
        self.claimed: list[int] = []
        self.resigned = 0
        self.leading = leadership.Leadership(
            "b",
            1.0,
            self.roster,
            leadership.Outlets(
                broadcast=self.sent.append,
                claim=self.claimed.append,
                resign=self._count_resigned,
                on_owner=lambda owner_id: None,
                on_forgotten=lambda daemon_id: None,
                count_reached=lambda: 5,
                count_pending=dict,
                reads_store=self._reads_store,
                knows_all=lambda: self.knows_all,
                get_version=lambda: 1,
                is_leaving=lambda: False,
                is_cut_off_with_zone=lambda: False,
                is_owner_silent=lambda: self.owner_is_silent,
            ),
            lambda: self.now,
            lambda: 1_800_000_000.0,
        )

    def _count_resigned(self) -> None:
        self.resigned += 1

    def _reads_store(self, within_s: float) -> bool:
        lost_at = self.store_lost_at
        return lost_at is None or self.now < lost_at + within_s

    def _hear(self, daemon_id: str, **changes: object) -> None:
        member = rosters.Member(daemon_id, "10.0.0.1", 1, "norte", 1)
        self.roster.learn(member, self.now)
        self.roster.record_linked(daemon_id, True, self.now)
        self.leading.take_beat(daemon_id, samples.build_beat(**changes))

    def _record_late(self, late_s: float) -> None:
        self.leading.lateness.record(late_s, self.leading.is_owner)

    def _own(self) -> None:
        self._hear("c")
        self.leading.step()
        self.assertTrue(self.leading.is_owner)

    def test_who_hears_all_claims_at_once(self):
        self._hear("c")
        self.leading.step()
        self.assertEqual(len(self.claimed), 1)

    def test_who_is_alone_waits_for_others_to_come(self):
        self.leading.step()
        self.assertEqual(self.claimed, [])
        self.now += leadership.BOOT_GRACE_S
        self.leading.step()
        self.assertEqual(len(self.claimed), 1)

    def test_a_store_away_for_all_moves_nothing(self):
        self._own()
        self.store_lost_at = self.now
        for _ in range(40):
            self.now += leadership.STEP_S
            lost_s = self.now - self.store_lost_at
            self._hear("c", reads_store=lost_s < leadership.PATIENCE_S)
            self.leading.step()
        self.assertEqual(self.resigned, 0)

    def test_a_store_away_for_the_owner_alone_moves_the_workers(self):
        self._own()
        self.store_lost_at = self.now
        self.now += leadership.OWNER_PATIENCE_S
        self._hear("c")
        self.leading.step()
        self.assertEqual(self.resigned, 1)
        self.assertTrue(self.leading.build_beat().is_yielding)

    def test_a_worker_with_a_higher_epoch_is_outbid(self):
        self._own()
        self.leading.take_fenced("w1")
        self.leading.step()
        self.assertEqual(len(self.claimed), 1)
        self.now += leadership.FENCED_S
        self.leading.step()
        first, second = self.claimed
        height = epochs.leap(first)
        self.assertGreaterEqual(second, height)

    def test_whom_the_others_have_left_gives_up_when_fenced(self):
        self._own()
        self.leading.take_fenced("w1")
        self._hear("c", follows="x")
        self.now += leadership.FENCED_S
        self.leading.step()
        self.assertEqual((len(self.claimed), self.resigned), (1, 1))

    def test_who_hears_too_few_gives_up_when_fenced(self):
        self._own()
        for name in ("d", "e", "f"):
            member = rosters.Member(name, "10.0.0.1", 1, "norte", 1)
            self.roster.learn(member, self.now)
        self.roster.record_linked("c", False, self.now)
        self.leading.take_fenced("w1")
        self.now += leadership.FENCED_S
        self.leading.step()
        self.assertEqual(self.resigned, 1)

    def test_an_owner_that_wakes_yields_to_the_one_it_hears_of(self):
        self._own()
        self.leading.take_fenced("w1")
        self._hear(
            "c", is_owner=True, epoch=self.claimed[0] + 1, workers_reached=5
        )
        self.leading.step()
        self.assertEqual((len(self.claimed), self.resigned), (1, 1))

    def test_a_survivor_claims_once_the_store_shows_no_owner(self):
        for name in ("d", "e", "f"):
            member = rosters.Member(name, "10.0.0.1", 1, "norte", 1)
            self.roster.learn(member, self.now)
        self.now += leadership.BOOT_GRACE_S
        self.leading.step()
        self.assertFalse(self.leading.is_owner)
        self.owner_is_silent = True
        self.leading.step()
        self.assertTrue(self.leading.is_owner)

    def test_epochs_of_two_daemons_differ(self):
        self._own()
        daemons = epochs.DAEMONS
        self._hear("c", is_owner=True, epoch=self.claimed[0] + 5 * daemons)
        self.leading.step()
        self.assertGreater(self.claimed[-1], self.claimed[0] + 5 * daemons)

    def test_in_a_large_region_it_beats_seldom_while_it_follows_one(self):
        for number in range(100):
            self._hear(f"x{number}", is_owner=number == 0, workers_reached=9)
        for _ in range(50):
            self.leading.step()
            self.leading.beat()
            self.now += leadership.STEP_S
        self.assertLess(len(self.sent), 8)

    def test_news_is_told_at_once(self):
        for number in range(100):
            self._hear(f"x{number}", is_owner=number == 0, workers_reached=9)
        self.leading.step()
        self.leading.beat()
        self.now += leadership.STEP_S
        self._hear("x0")
        self.leading.step()
        self.leading.beat()
        self.assertEqual(len(self.sent), 2)

    def test_a_daemon_just_linked_is_greeted_at_once(self):
        self._hear("c", is_owner=True, workers_reached=9)
        self.leading.step()
        self.leading.beat()
        self.leading.greet()
        self.leading.beat()
        self.assertEqual(len(self.sent), 2)

    def _follow_one_of_many(self) -> None:
        for number in range(40):
            self._hear(f"x{number}")
        self._hear("a")
        self._hear("y", is_owner=True, workers_reached=9)
        self.leading.step()
        self.assertEqual(self.leading.owner_id, "y")
        self.now += 1.0
        self.roster.record_linked("y", False, self.now)
        self.leading.step()

    def test_in_a_large_region_the_dead_are_not_waited_for(self):
        self._follow_one_of_many()
        self.assertEqual(self.claimed, [])
        self.now += cadence.FRESH_S
        # "a" would come first, and has said nothing since.
        for number in range(40):
            self._hear(f"x{number}")
        self.leading.step()
        self.assertEqual(len(self.claimed), 1)

    def test_in_a_large_region_who_speaks_up_comes_first(self):
        self._follow_one_of_many()
        self.now += cadence.FRESH_S
        for name in ("a", *(f"x{number}" for number in range(40))):
            self._hear(name)
        self.leading.step()
        self.assertEqual(self.claimed, [])

    def test_once_all_have_spoken_nobody_waits(self):
        self._follow_one_of_many()
        for number in range(40):
            self._hear(f"x{number}")
        self.roster.record_linked("a", False, self.now)
        self.leading.step()
        self.assertEqual(len(self.claimed), 1)

    def test_an_owner_that_runs_late_tells_what_to_refuse(self):
        self._own()
        for _ in range(5):
            self._record_late(0.5)
        share = self.leading.get_shed_share()
        self.assertGreater(share, 0.0)
        self.assertEqual(self.leading.build_beat().shed_share, share)

    def test_a_follower_refuses_what_its_owner_tells(self):
        self._record_late(5.0)
        self.assertEqual(self.leading.get_shed_share(), 0.0)
        self._hear("a", is_owner=True, epoch=3, shed_share=0.4)
        self.leading.step()
        self.assertEqual(self.leading.get_shed_share(), 0.4)

    def test_the_last_of_several_late_owners_stays(self):
        before = ""
        for owner in ("a", "c"):
            self._hear(owner, is_owner=True, epoch=3)
            if before:
                self._hear(before, is_yielding=True)
            self.leading.step()
            self.assertEqual(self.leading.owner_id, owner)
            before = owner
        self._hear(before, is_yielding=True)
        self.leading.step()
        self.assertTrue(self.leading.is_owner)
        for _ in range(20):
            self._record_late(1.0)
        self.leading.step()
        self.assertEqual(self.resigned, 0)
        self.now += ownership.RESTLESS_S
        self._hear("a")
        self.leading.step()
        self.assertEqual(self.resigned, 1)
