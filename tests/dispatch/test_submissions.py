"""Tests of jobs at their gateway: offers, refusals and final answers."""

import unittest

from pollenladder.core import verdicts
from pollenladder.dispatch import directory
from pollenladder.dispatch import submissions
from pollenladder.wire import messages
from tests.dispatch import simulations
from tests.dispatch import test_intake

REASON = verdicts.Reason
NOW = 110.0


def make_gateway():
    shard_directory = directory.Directory()
    for shard_id, daemon in (("dc/0", "a"), ("dc/1", "b"), ("far/0", "c")):
        load = messages.ShardLoad(shard_id, 1, 4, 0, 4, "", 0.0)
        directory.record_load(shard_directory, daemon, load, NOW)
    return submissions.Submissions("dc", shard_directory, 60.0)


def refuse(reason):
    return verdicts.Refused("j", reason, 1.0)


class SubmissionsTest(unittest.TestCase):
    def setUp(self):
        self.table = make_gateway()

    def submit(self, **changes):
        job = simulations.make_job("j", 2, **changes)
        return get_targets(submissions.submit(self.table, job, NOW))

    def record(self, sender, answer, now=NOW):
        return get_targets(
            submissions.record_answer(self.table, sender, answer, now)
        )

    def get_reason(self):
        return self.table.answered["j"].answer.reason

    def test_refusals(self):
        """Only some refusals let a job be offered to another owner."""
        for reason, is_offered_again in (
            (REASON.NOT_READY, True),
            (REASON.DRAINING, True),
            (REASON.CONNECTION_LOST, True),
            (REASON.OVERLOAD, False),
            (REASON.ALLOWANCE, False),
            (REASON.NEVER_RUNS, False),
            (REASON.KEY_IN_USE, False),
        ):
            with self.subTest(reason):
                self.table = make_gateway()
                self.assertEqual(self.submit(), ["a"])
                sent = self.record("a", refuse(reason))
                self.assertEqual(sent, ["b"] if is_offered_again else [])
                if not is_offered_again:
                    self.assertEqual(self.get_reason(), reason)

    def test_late_refusal_of_former_owner_is_ignored(self):
        self.submit()
        self.record("a", refuse(REASON.CONNECTION_LOST))
        self.assertEqual(self.record("a", refuse(REASON.CONNECTION_LOST)), [])
        self.assertEqual(self.table.pending["j"].daemon_id, "b")

    def test_number_of_offers_is_bounded(self):
        self.submit()
        for sender, sent in (("a", ["b"]), ("b", ["c"]), ("c", [])):
            self.assertEqual(self.record(sender, refuse(REASON.DRAINING)), sent)
        self.assertEqual(self.get_reason(), REASON.DRAINING)

    def test_job_with_key_is_offered_only_to_home_shard(self):
        self.assertEqual(self.submit(key="far/0~1~0~own"), ["c"])
        self.assertEqual(self.record("c", refuse(REASON.NOT_READY)), [])
        self.assertEqual(self.get_reason(), REASON.NOT_READY)

    def test_refusal_of_late_offer_names_deadline(self):
        self.submit()
        self.record("a", refuse(REASON.NOT_READY), NOW + 4.9)
        self.record("b", refuse(REASON.NEVER_RUNS), NOW + 4.9)
        answer = self.table.answered["j"].answer
        self.assertEqual(answer.reason, REASON.DEADLINE)
        self.assertIsNotNone(answer.retry_after_s)

    def test_no_offer_after_the_deadline(self):
        self.submit()
        self.assertEqual(
            self.record("a", refuse(REASON.NOT_READY), NOW + 5.1), []
        )
        self.assertEqual(self.get_reason(), REASON.NOT_READY)

    def test_there_is_one_final_answer(self):
        self.submit()
        submissions.fail_jobs_of_daemon(self.table, "a", NOW)
        self.record("a", refuse(REASON.NOT_READY))
        submissions.expire(self.table, NOW + 9.0, 0.5)
        self.assertEqual(self.table.newly_answered, ["j"])
        answer = self.table.answered["j"].answer
        self.assertEqual(answer.reason, REASON.OWNER_LOST)
        for result in answer.results:
            self.assertIs(result.verdict, simulations.MAY_HAVE_RUN)

    def test_silent_owner_times_out(self):
        self.submit()
        submissions.expire(self.table, NOW + 5.4, 0.5)
        self.assertIn("j", self.table.pending)
        submissions.expire(self.table, NOW + 5.6, 0.5)
        self.assertEqual(self.get_reason(), REASON.DEADLINE)
        submissions.expire(self.table, NOW + 66.0, 0.5)
        self.assertEqual(self.table.answered, {})

    def test_other_customers_cannot_find_job(self):
        self.submit()
        self.assertIsNotNone(submissions.find(self.table, "j", "c"))
        self.assertIsNone(submissions.find(self.table, "j", "other"))

    def test_owner_without_keys_refuses_key(self):
        shard = simulations.make_shard()
        shard.keys = None
        ((_, answer),) = test_intake.get_answers(
            test_intake.offer(
                shard, simulations.make_job("j", key=test_intake.KEY)
            )
        )
        self.assertEqual(answer.reason, REASON.NOT_READY)


def get_targets(effects):
    return [effect.daemon_id for effect in effects]
