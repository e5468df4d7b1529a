"""Tests of late, repeated and resubmitted messages at the owner of a shard."""

import unittest
from unittest import mock

from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import intake
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import tables
from pollenladder.plans import escrow
from pollenladder.wire import messages
from tests.dispatch import simulations

KEY = "dc/0~1~0~own"


def offer(shard, job, sender="g", now=110.0):
    message = messages.JobOffer(shard.shard_id, job)
    return intake.handle_job_offer(shard, sender, message, now)


def offer_batch(shard, batch_id="b1", epoch=1, tasks=2, now=110.0, **changes):
    job = simulations.make_job("j", tasks)
    items = tuple(
        messages.BatchTask(i, task, "") for i, task in enumerate(job.tasks)
    )
    fields = {
        "waited_s": 0.0,
        "deadline_s": 5.0,
        "start_within_s": 3.0,
    } | changes
    message = messages.BatchOffer(
        batch_id, "dc/1", epoch, "dc/0", "j", "c", "p", tasks=items, **fields
    )
    return intake.handle_batch_offer(shard, "g", message, now)


def query(shard, group_id, is_remote=False, now=110.0):
    task_ids = ("t0",)
    return intake.answer_query(shard, "g2", group_id, task_ids, is_remote, now)


def get_answers(effects):
    """Return (daemon, answer) of all answers among effects."""
    return [
        (effect.daemon_id, messages.unpack_answer(effect.message))
        for effect in effects
        if isinstance(effect, tables.SendMessage)
        and isinstance(effect.message, messages.JobAnswer)
    ]


def start_all(shard, now=110.0):
    """Run a dispatch pass and return the starts of tasks."""
    effects = shards.run_dispatch_pass([shard], now)
    return [e for e in effects if isinstance(e, tables.StartTask)]


def end(shard, start, kind="ok", now=110.1):
    """End a start with a named outcome and return the effects."""
    verdict, reason, _ = simulations.START_OUTCOMES[kind]
    result = verdicts.TaskResult(
        start.task.task_id, verdict, reason, start.task.payload, 0.1
    )
    return completion.record_start_outcome(shard, start, result, now)


class LateMessagesTest(unittest.TestCase):
    def refuse_then_repeat(self):
        """Refuse a job while draining; return its starts when offered again."""
        shard = simulations.make_shard()
        shard.draining = True
        offer(shard, simulations.make_job("j"))
        shard.draining = False
        offer(shard, simulations.make_job("j"))
        return start_all(shard)

    def refuse_batch_then_repeat(self):
        shard = simulations.make_shard()
        shard.draining = True
        offer_batch(shard)
        shard.draining = False
        offer_batch(shard)
        return start_all(shard)

    def test_refused_group_never_starts(self):
        self.assertEqual(self.refuse_then_repeat(), [])
        self.assertEqual(self.refuse_batch_then_repeat(), [])

    def test_refused_group_would_start_if_refusals_were_forgotten(self):
        with mock.patch.object(completion, "remember_ended"):
            self.assertTrue(self.refuse_then_repeat())
            self.assertTrue(self.refuse_batch_then_repeat())

    def test_query_repeats_refusal(self):
        shard = simulations.make_shard()
        shard.draining = True
        first = offer(shard, simulations.make_job("j"))
        (again,) = query(shard, "j")
        self.assertEqual(again.message, first[0].message)


class ResubmissionTest(unittest.TestCase):
    def setUp(self):
        self.shard = simulations.make_shard()
        offer(self.shard, simulations.make_job("j1", key=KEY))
        self.starts = start_all(self.shard)
        self.assertEqual(
            offer(self.shard, simulations.make_job("j2", key=KEY), "g2"), []
        )

    def test_resubmission_gets_same_answer(self):
        answers = get_answers(end(self.shard, self.starts[0]))
        self.assertEqual([a.job_id for _, a in answers], ["j1", "j2"])
        self.assertEqual([to for to, _ in answers], ["g", "g2"])
        self.assertEqual(answers[0][1].results, answers[1][1].results)

    def test_query_finds_resubmission(self):
        (effect,) = query(self.shard, "j2")
        self.assertEqual(effect.message, messages.JobPending("j2"))
        end(self.shard, self.starts[0])
        ((_, answer),) = get_answers(query(self.shard, "j2"))
        self.assertIsInstance(answer, verdicts.Complete)

    def test_query_would_refuse_unrecorded_resubmission(self):
        self.shard.followed_group_ids.clear()
        ((_, answer),) = get_answers(query(self.shard, "j2"))
        self.assertIsInstance(answer, verdicts.Refused)

    def test_cancelled_resubmission_leaves_first_job(self):
        effects = intake.cancel_groups(self.shard, ["j2"], 110.0)
        ((to, answer),) = get_answers(effects)
        self.assertEqual((to, answer.job_id), ("g2", "j2"))
        (result,) = answer.results
        self.assertIs(result.verdict, verdicts.Verdict.MAY_HAVE_RUN)
        answers = get_answers(end(self.shard, self.starts[0]))
        self.assertEqual([a.job_id for _, a in answers], ["j1"])


class TwoShardsTest(unittest.TestCase):
    def setUp(self):
        ids = ("dc/0", "dc/1")
        self.expired = simulations.make_shard("dc/0", ids=ids)
        self.held = simulations.make_shard(
            "dc/1", ids=ids, sibling=self.expired
        )
        for row in self.expired.ownership.leases.values():
            row.lease_until = 0.0

    def count_units(self):
        return escrow.count_in_use(self.held.ledger, "p", 110.0)

    def test_job_is_queued_at_another_shard_of_same_daemon(self):
        self.assertEqual(offer(self.expired, simulations.make_job("j")), [])
        owned = self.held.local_shards.values()
        (start,) = shards.run_dispatch_pass(owned, 110.0)
        self.assertEqual(start.home_shard_id, "dc/1")
        self.assertEqual(self.count_units(), 1)
        ((_, answer),) = get_answers(end(self.held, start))
        self.assertIsInstance(answer, verdicts.Complete)
        self.assertEqual(self.count_units(), 0)

    def test_cancel_at_the_offered_shard_leaks_no_unit(self):
        offer(self.expired, simulations.make_job("j"))
        shards.run_dispatch_pass(self.held.local_shards.values(), 110.0)
        intake.cancel_groups(self.expired, ["j"], 110.1)
        late = 110.1 + simulations.MAX_RUN_S + completion.MAX_REQUEST_TRANSIT_S
        in_use = escrow.count_in_use(self.held.ledger, "p", late)
        self.assertEqual(in_use, 0)

    def test_remote_task_is_recorded_at_hosting_shard(self):
        offer_batch(self.held)
        self.held.workers["dc/1w0"].leaving = True
        self.held.workers["dc/1w1"].leaving = True
        for row in self.expired.ownership.leases.values():
            row.lease_until = 1000.0
        starts = shards.run_dispatch_pass(
            self.held.local_shards.values(), 110.0
        )
        hosts = {start.worker_ref.shard_id for start in starts}
        self.assertEqual(hosts, {"dc/0"})
        self.assertEqual(len(self.expired.ledger.hosted), len(starts))
        for start in starts:
            end(self.held, start)
        self.assertFalse(self.expired.ledger.hosted)

    def test_key_is_accepted_only_at_home_shard(self):
        job = simulations.make_job("j", key=KEY)
        ((_, answer),) = get_answers(offer(self.expired, job))
        self.assertEqual(answer.reason, verdicts.Reason.NOT_READY)
