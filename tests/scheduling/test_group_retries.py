"""Whether another group is asked after a refusal."""

import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import group_retries
from tests.scheduling import simulations


class GroupRetriesTest(unittest.TestCase):
    """A job of 200 ms with a stretch of 1.6 and a slack of 60 ms.

    Guards against refusals while another group has room, and against questions
    that cannot lead to a job in time.
    """

    def setUp(self):
        self.submission = simulations.build_submission("a1")

    def _may_ask(self, reason: jobs.Reason, age_s: float = 0.0) -> bool:
        return group_retries.may_ask_another(self.submission, reason, age_s)

    def test_lack_of_room_in_one_group(self):
        self.assertTrue(self._may_ask(jobs.Reason.NO_ROOM_IN_TIME))

    def test_displaced_job(self):
        self.assertTrue(self._may_ask(jobs.Reason.WAITED_TOO_LONG, 0.1))
        self.assertTrue(
            group_retries.needs_room(1, jobs.Reason.WAITED_TOO_LONG)
        )

    def test_reason_that_holds_for_all_groups(self):
        self.assertFalse(self._may_ask(jobs.Reason.OWNER_BUSY))

    def test_job_that_would_start_too_late(self):
        self.assertTrue(self._may_ask(jobs.Reason.NO_ROOM_IN_TIME, 0.17))
        self.assertFalse(self._may_ask(jobs.Reason.NO_ROOM_IN_TIME, 0.19))

    def test_only_the_second_group_may_be_without_room(self):
        reason = jobs.Reason.NO_ROOM_IN_TIME
        self.assertFalse(group_retries.needs_room(1, reason))
        self.assertTrue(group_retries.needs_room(2, reason))
