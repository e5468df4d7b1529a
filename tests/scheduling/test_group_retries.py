"""Which group is asked after a refusal, and whether it may serve the job late."""

import dataclasses
import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import group_retries
from tests.scheduling import simulations


class GroupRetriesTest(unittest.TestCase):
    """A job of 200 ms with a stretch of 1.6 and a slack of 60 ms.

    Guards against refusals while another group has room, and against questions
    that cannot lead to a useful result.
    """

    def setUp(self):
        self.submission = simulations.build_submission("a1")
        self.has_room = False

    def _choose(
        self,
        reason: jobs.Reason = jobs.Reason.NO_ROOM_IN_TIME,
        age_s: float = 0.0,
    ) -> tuple[str, bool]:
        choice = group_retries.choose_next(
            self.submission, reason, age_s, self._choose_group
        )
        return choice.group, choice.may_be_late

    def _choose_group(self, needs_room: bool) -> str:
        if self.has_room:
            return "with-room"
        return "" if needs_room else "without-room"

    def test_groups_with_room_are_asked_to_be_in_time(self):
        self.has_room = True
        for reason in (
            jobs.Reason.NO_ROOM_IN_TIME,
            jobs.Reason.WAITED_TOO_LONG,
        ):
            with self.subTest(reason=reason):
                self.assertEqual(self._choose(reason), ("with-room", False))

    def test_without_room_one_more_group_may_serve_the_job_late(self):
        self.assertEqual(self._choose(), ("without-room", True))
        self.submission = dataclasses.replace(self.submission, may_be_late=True)
        self.assertEqual(self._choose(), ("", True))

    def test_after_that_only_groups_with_room_are_asked(self):
        self.submission = dataclasses.replace(self.submission, may_be_late=True)
        self.has_room = True
        self.assertEqual(self._choose(), ("with-room", True))

    def test_reason_that_holds_for_all_groups(self):
        self.has_room = True
        self.assertEqual(self._choose(jobs.Reason.OWNER_BUSY)[0], "")

    def test_job_that_can_only_be_late(self):
        self.has_room = True
        self.assertEqual(self._choose(age_s=0.17), ("with-room", False))
        self.assertEqual(self._choose(age_s=0.19), ("with-room", True))

    def test_job_whose_late_result_would_be_worthless(self):
        self.has_room = True
        self.assertEqual(self._choose(age_s=0.9)[0], "")
        self.submission = dataclasses.replace(self.submission, budget_s=0.4)
        self.assertEqual(self._choose(age_s=0.3)[0], "")
