"""Tests of the choice of the group that a job first goes to."""

import unittest

from pollenladder.scheduling import home_groups
from pollenladder.scheduling import lease_limits
from pollenladder.scheduling import sharing

GROUPS = ["aarau/0", "aarau/1", "bern/0", "olten/0"]
JOB = "9edf2ed7bdde412a"
RANKED = home_groups.rank(JOB, GROUPS, "olten")
HOME, SECOND, THIRD, LAST = RANKED
ABSENCE_S = 1.5


class RankTest(unittest.TestCase):
    """The order in which a job may go to the groups."""

    def test_groups_of_the_own_data_centre_come_first(self):
        # Guards against two gateways of a data centre that send one job to two
        # groups behind a cut.
        self.assertEqual(HOME, "olten/0")
        for number in range(50):
            ranked = home_groups.rank(f"{number:016x}", GROUPS, "aarau")
            self.assertEqual(set(ranked[:2]), {"aarau/0", "aarau/1"})

    def test_jobs_are_spread_over_the_groups_of_the_data_centre(self):
        first = {
            home_groups.rank(f"{number:016x}", GROUPS, "aarau")[0]
            for number in range(50)
        }
        self.assertEqual(first, {"aarau/0", "aarau/1"})

    def test_data_centre_without_groups_follows_the_hash_over_all(self):
        ranked = home_groups.rank(JOB, GROUPS, "basel")
        self.assertEqual(ranked, sharing.rank_groups(JOB, GROUPS))


class ChooseFirstTest(unittest.TestCase):
    """The first group of a job, as one gateway knows the owners."""

    def _choose(
        self, *lost: tuple[str, float], absence_s: float = ABSENCE_S
    ) -> str:
        ownerless_s = dict.fromkeys(GROUPS, 0.0) | dict(lost)
        return home_groups.choose_first(RANKED, ownerless_s, absence_s)

    def test_home_group_without_owner_keeps_its_jobs_for_a_while(self):
        # Guards against two gateways that choose two groups for one job.
        self.assertEqual(self._choose((HOME, 0.01)), HOME)
        self.assertEqual(self._choose((HOME, ABSENCE_S)), HOME)

    def test_next_group_gets_the_job_once_no_run_can_be_left(self):
        self.assertEqual(self._choose((HOME, ABSENCE_S + 0.01)), SECOND)

    def test_next_group_gets_a_first_attempt_at_once(self):
        self.assertEqual(self._choose((HOME, 0.01), absence_s=0.0), SECOND)

    def test_next_group_that_has_just_lost_its_owner_is_not_passed_over(self):
        self.assertEqual(self._choose((HOME, 9.0), (SECOND, 0.2)), SECOND)

    def test_without_any_owner_a_job_waits_for_its_home_group(self):
        lost = [(name, 9.0) for name in GROUPS]
        self.assertEqual(self._choose(*lost), HOME)

    def test_no_group(self):
        self.assertEqual(home_groups.choose_first([], {}, ABSENCE_S), "")


class BoundsTest(unittest.TestCase):
    """How long runs of an earlier attempt may go on."""

    def test_absence_outlasts_the_leases_of_a_slow_clock(self):
        limit_s = lease_limits.choose_limit_s(1.3, 0.95)
        self.assertGreater(home_groups.bound_absence_s(limit_s), 1.02 * limit_s)

    def test_earlier_attempt_lasts_until_its_deadline_and_its_stop(self):
        # Guards against an attempt whose gateway does not notice that its caller
        # has left.
        bound_s = home_groups.bound_earlier_attempt_s(8.0, 1.3)
        self.assertGreater(bound_s, 8.0 - 1.3)

    def test_earlier_attempt_with_a_short_budget_is_over_but_for_its_stop(self):
        self.assertLess(home_groups.bound_earlier_attempt_s(1.0, 1.3), 0.5)


class PassedOverTest(unittest.TestCase):
    """The groups in which another attempt of a job may arrive."""

    def test_groups_before_the_chosen_one(self):
        passed = home_groups.list_passed_over(RANKED, THIRD)
        self.assertEqual(passed, (HOME, SECOND))

    def test_none_before_the_home_group(self):
        self.assertEqual(home_groups.list_passed_over(RANKED, HOME), ())

    def test_none_without_a_group(self):
        self.assertEqual(home_groups.list_passed_over([], ""), ())
