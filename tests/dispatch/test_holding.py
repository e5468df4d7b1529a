"""Tests of jobs that wait for an owner."""

import unittest

from pollenladder.core import verdicts
from pollenladder.dispatch import directory
from pollenladder.dispatch import submissions
from pollenladder.wire import messages
from tests.dispatch import worlds

NOW = 100.0


class HoldTest(unittest.TestCase):
    def setUp(self):
        self.loads = directory.Directory()
        self.table = submissions.Submissions("dc", self.loads, 60.0)

    def submit(self, **changes):
        job = worlds.make_job("j", **changes)
        return submissions.submit(self.table, job, NOW)

    def tell(self, daemon_id, epoch=1):
        load = messages.ShardLoad("dc/0", epoch, 2, 0, 4, "", 0.0)
        directory.record_load(self.loads, daemon_id, load, NOW)

    def get_answer(self):
        return self.table.answered["j"].answer

    def test_a_job_is_offered_to_the_owner_that_comes(self):
        self.assertEqual(self.submit(), [])
        self.assertEqual(submissions.offer_held(self.table, NOW + 0.5), [])
        self.tell("d")
        [sent] = submissions.offer_held(self.table, NOW + 0.6)
        self.assertEqual((sent.daemon_id, self.table.held), ("d", {}))

    def test_a_job_is_refused_if_none_comes_in_time(self):
        for deadline_s in (5.0, submissions.HOLD_S / 2):
            with self.subTest(deadline_s=deadline_s):
                self.submit(deadline_s=deadline_s)
                at = NOW + min(deadline_s, submissions.HOLD_S)
                submissions.offer_held(self.table, at - 0.01)
                self.assertIn("j", self.table.held)
                submissions.offer_held(self.table, at)
                submissions.expire(self.table, at, 0.5)
                self.assertIsInstance(self.get_answer(), verdicts.Refused)

    def test_a_job_with_a_key_is_refused_at_once(self):
        self.submit(key="dc/0~1~0~own")
        self.assertIsInstance(self.get_answer(), verdicts.Refused)

    def test_a_job_handed_on_waits_for_the_next_owner(self):
        self.tell("leaves")
        self.submit()
        reason = verdicts.Reason.DRAINING
        refused = verdicts.Refused("j", reason, 1.0)
        sent = submissions.record_answer(self.table, "leaves", refused, NOW)
        self.assertEqual(sent, [])
        self.tell("next", 2)
        [sent] = submissions.offer_held(self.table, NOW + 0.1)
        self.assertEqual(sent.daemon_id, "next")

    def test_a_job_that_waits_is_cancelled_as_not_run(self):
        self.submit(tasks=2)
        self.assertEqual(submissions.cancel(self.table, "j", NOW), [])
        answer = self.get_answer()
        self.assertIs(answer.reason, verdicts.Reason.CANCELLED)
        self.assertEqual(
            [result.verdict for result in answer.results], [worlds.NOT_RUN] * 2
        )
        self.assertEqual(self.table.held, {})
