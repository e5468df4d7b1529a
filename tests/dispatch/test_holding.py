"""Tests of jobs that wait at their gateway until a shard has an owner."""

import unittest

from pollenladder.core import verdicts
from pollenladder.dispatch import directory
from pollenladder.dispatch import submissions
from pollenladder.wire import messages
from tests.dispatch import simulations

NOW = 100.0


class HoldTest(unittest.TestCase):
    def setUp(self):
        self.shard_directory = directory.Directory()
        self.table = submissions.Submissions("dc", self.shard_directory, 60.0)

    def submit(self, **changes):
        job = simulations.make_job("j", **changes)
        return submissions.submit(self.table, job, NOW)

    def report_load(self, daemon_id, epoch=1):
        load = messages.ShardLoad("dc/0", epoch, 2, 0, 4, "", 0.0)
        directory.record_load(self.shard_directory, daemon_id, load, NOW)

    def get_answer(self):
        return self.table.answered["j"].answer

    def test_held_job_is_offered_to_new_owner(self):
        self.assertEqual(self.submit(), [])
        self.assertEqual(submissions.offer_held(self.table, NOW + 0.5), [])
        self.report_load("d")
        [sent] = submissions.offer_held(self.table, NOW + 0.6)
        self.assertEqual((sent.daemon_id, self.table.held), ("d", {}))

    def test_held_job_is_refused_after_wait_limit(self):
        for deadline_s in (5.0, submissions.OWNER_WAIT_LIMIT_S / 2):
            with self.subTest(deadline_s=deadline_s):
                self.submit(deadline_s=deadline_s)
                at = NOW + min(deadline_s, submissions.OWNER_WAIT_LIMIT_S)
                submissions.offer_held(self.table, at - 0.01)
                self.assertIn("j", self.table.held)
                submissions.offer_held(self.table, at)
                submissions.expire(self.table, at, 0.5)
                self.assertIsInstance(self.get_answer(), verdicts.Refused)

    def test_job_with_key_is_refused_immediately(self):
        self.submit(key="dc/0~1~0~own")
        self.assertIsInstance(self.get_answer(), verdicts.Refused)

    def test_job_refused_by_draining_owner_waits_for_next_one(self):
        self.report_load("leaves")
        self.submit()
        reason = verdicts.Reason.DRAINING
        refused = verdicts.Refused("j", reason, 1.0)
        sent = submissions.record_answer(self.table, "leaves", refused, NOW)
        self.assertEqual(sent, [])
        self.report_load("next", 2)
        [sent] = submissions.offer_held(self.table, NOW + 0.1)
        self.assertEqual(sent.daemon_id, "next")

    def test_held_job_is_cancelled_as_not_run(self):
        self.submit(tasks=2)
        self.assertEqual(submissions.cancel(self.table, "j", NOW), [])
        answer = self.get_answer()
        self.assertIs(answer.reason, verdicts.Reason.CANCELLED)
        self.assertEqual(
            [result.verdict for result in answer.results],
            [simulations.NOT_RUN] * 2,
        )
        self.assertEqual(self.table.held, {})
