"""Tests of verdicts, allowance units and messages when groups end."""

import math
import unittest
from unittest import mock

from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import directory
from pollenladder.dispatch import intake
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import spilling
from pollenladder.dispatch import tables
from pollenladder.endpoints import outcomes
from pollenladder.plans import escrow
from pollenladder.wire import messages
from tests.dispatch import simulations
from tests.dispatch import test_intake

IDS = ("dc/0", "dc/1")
REASON = verdicts.Reason


def offload_job(tasks=10, now=110.0, free=8):
    """Return a shard that runs 4 tasks of a job, and the batch it offloaded."""
    shard = simulations.make_shard(ids=IDS, offload_wait_s=0.0)
    load = messages.ShardLoad("dc/1", 1, free, 0, 8, "", 0.0)
    directory.record_load(shard.shard_directory, "guest", load, now)
    test_intake.offer(shard, simulations.make_job("j", tasks))
    effects = shards.run_dispatch_pass([shard], now)
    starts = [e for e in effects if isinstance(e, tables.StartTask)]
    return shard, starts, get_messages(effects, messages.BatchOffer)


def get_messages(effects, kind):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, tables.SendMessage)
        and isinstance(effect.message, kind)
    ]


def make_results(offer, ends):
    """Return the result of a batch with one named outcome for each task."""
    results = tuple(
        verdicts.TaskResult(
            item.task.task_id, *simulations.START_OUTCOMES[end][:2]
        )
        for item, end in zip(offer.tasks, ends, strict=True)
    )
    return messages.BatchResult(offer.batch_id, results)


class BatchResultTest(unittest.TestCase):
    def end_batch(self, ends):
        shard, _, (offer,) = offload_job(4 + len(ends))
        effects = spilling.record_batch_result(
            shard, make_results(offer, ends), 110.0
        )
        return shard, offer, test_intake.get_answers(effects)

    def test_failure_keeps_all_verdicts_of_batch(self):
        """A failed task doesn't hide the verdicts that follow it."""
        _, offer, ((_, answer),) = self.end_batch(["busy", "error", "ok"])
        by_id = {result.task_id: result for result in answer.results}
        reported = [by_id[item.task.task_id] for item in offer.tasks]
        self.assertEqual(answer.reason, REASON.TASK_ERROR)
        self.assertEqual(
            [(r.verdict, r.reason) for r in reported],
            [
                simulations.START_OUTCOMES[end][:2]
                for end in ("busy", "error", "ok")
            ],
        )

    def test_tasks_not_run_are_requeued(self):
        shard, offer, answers = self.end_batch(["busy", "ok"])
        self.assertEqual(answers, [])
        group = shard.groups["j"]
        self.assertEqual(group.waiting, [offer.tasks[0].index])
        self.assertEqual(shard.queue.tasks, 1)

    def test_answer_names_cause_not_sibling_failure(self):
        shard, _, (offer,) = offload_job(6)
        results = tuple(
            verdicts.TaskResult(item.task.task_id, simulations.NOT_RUN, reason)
            for item, reason in zip(
                offer.tasks,
                (REASON.SIBLING_FAILED, REASON.DEADLINE),
                strict=True,
            )
        )
        message = messages.BatchResult(offer.batch_id, results)
        effects = spilling.record_batch_result(shard, message, 110.0)
        ((_, answer),) = test_intake.get_answers(effects)
        self.assertEqual(answer.reason, REASON.DEADLINE)

    def test_remote_batch_is_answered_with_batch_result(self):
        shard = simulations.make_shard()
        test_intake.offer_batch(shard)
        effects = []
        for start in test_intake.start_all(shard):
            effects += test_intake.end(shard, start)
        (effect,) = effects
        self.assertIsInstance(effect.message, messages.BatchResult)
        self.assertEqual(effect.daemon_id, "g")
        self.assertFalse(shard.ledger.hosted)


class UnitsTest(unittest.TestCase):
    def count_in_use(self, shard, now):
        return escrow.count_in_use(shard.ledger, "p", now)

    def lose_remote_owner(self):
        """Offload 6 tasks and lose the remote owner.

        Returns:
            The shard and the latest time at which the tasks may start.
        """
        shard, _, (offer,) = offload_job()
        spilling.settle_lost_batches(shard, "guest", 110.0)
        return shard, 110.0 + offer.start_within_s

    def test_units_are_held_while_lost_owner_may_start_tasks(self):
        """The remote owner may be alive and start the tasks just in time."""
        shard, start_by = self.lose_remote_owner()
        ends_at = start_by + simulations.MAX_RUN_S
        self.assertGreaterEqual(self.count_in_use(shard, ends_at - 0.01), 6)
        self.assertEqual(
            self.count_in_use(
                shard, ends_at + completion.MAX_REQUEST_TRANSIT_S
            ),
            0,
        )

    def test_units_would_be_freed_early_if_held_from_the_loss(self):
        """Without the latest start, a unit is held for one run from the loss.

        The remote owner may start the task later than that, so that the task
        would run after its unit was freed.
        """
        without_start_limit = mock.patch.object(
            tables.Group,
            "offloaded_start_by",
            property(lambda _: {}, lambda *_: None),
            create=True,
        )
        with without_start_limit:
            shard, start_by = self.lose_remote_owner()
        ends_at = start_by + simulations.MAX_RUN_S
        self.assertEqual(self.count_in_use(shard, ends_at - 0.01), 0)

    def test_remote_batch_starts_no_task_after_its_limit(self):
        shard = simulations.make_shard()
        test_intake.offer_batch(shard, now=110.0, start_within_s=0.02)
        # No check of deadlines is due at 110.03; the start itself is refused.
        shard.next_expiry_at = 110.05
        self.assertEqual(test_intake.start_all(shard, 110.03), [])
        effects = shards.run_dispatch_pass([shard], 110.06)
        (result,) = get_messages(effects, messages.BatchResult)
        for task in result.results:
            self.assertIs(task.verdict, simulations.NOT_RUN)
        self.assertFalse(shard.ledger.hosted)

    def test_no_offload_without_time_to_start(self):
        """A run as long as the loan term leaves no time before the start."""
        with mock.patch.object(simulations, "TERM_S", simulations.MAX_RUN_S):
            _, starts, offers = offload_job()
        self.assertEqual((len(starts), offers), (4, []))

    def test_own_tasks_of_earlier_epoch_use_units_of_new_one(self):
        shard = simulations.make_shard(workers=1)
        test_intake.offer(shard, simulations.make_job("j", 2))
        running = tuple(
            outcomes.RunningTask(start.start_id, "c", "p", "k", "d", 1, 0.5)
            for start in test_intake.start_all(shard)
        )
        granted = outcomes.LeaseGranted(2, running, 2, 64, False)
        shards.record_lease(shard, "dc/0w0", granted, 111.0)
        simulations.become_owner(shard, 2, 111.0)
        self.assertEqual(self.count_in_use(shard, 111.0), 2)
        self.assertEqual(shard.workers["dc/0w0"].predecessor_tasks, {})
        self.assertEqual(self.count_in_use(shard, 111.0 + 2.0), 0)

    def test_hosted_tasks_are_kept_in_new_epoch(self):
        shard = simulations.make_shard(ids=IDS)
        test_intake.offer_batch(shard)
        simulations.become_owner(shard, 2, 110.0)
        self.assertEqual(len(shard.ledger.hosted), 2)

    def test_batch_of_stale_owner_is_refused(self):
        shard = simulations.make_shard(ids=IDS)
        shard.ledger.claimed["dc/1"] = 2
        (effect,) = test_intake.offer_batch(shard, epoch=1)
        self.assertEqual(
            {result.reason for result in effect.message.results},
            {REASON.FENCED},
        )
        self.assertEqual(test_intake.start_all(shard), [])
        test_intake.offer_batch(shard, "b2", epoch=2)
        self.assertEqual(len(test_intake.start_all(shard)), 2)

    def test_no_loan_is_requested_once_nothing_waits(self):
        shard = simulations.make_shard(ids=IDS)
        # The two shards share two units, so one task starts and two wait.
        shard.declared.plans["p"] = simulations.make_plan(running=2)
        shards._set_shares(shard, 105.0)
        test_intake.offer(shard, simulations.make_job("j", 3))
        test_intake.start_all(shard)
        self.assertEqual(shard.awaiting_allowance, {("c", "p"): 2})
        intake.cancel_groups(shard, ["j"], 110.0)
        shards.run_dispatch_pass([shard], 110.2)
        self.assertEqual(shard.awaiting_allowance, {})


class CancelTest(unittest.TestCase):
    def test_cancel_sends_one_message_per_worker_and_owner(self):
        shard = simulations.make_shard(ids=IDS, offload_wait_s=0.0)
        load = messages.ShardLoad("dc/1", 1, 4, 0, 8, "", 0.0)
        directory.record_load(shard.shard_directory, "guest", load, 110.0)
        jobs = [f"j{i}" for i in range(12)]
        for job_id in jobs:
            test_intake.offer(shard, simulations.make_job(job_id))
        offers = get_messages(
            shards.run_dispatch_pass([shard], 110.0), messages.BatchOffer
        )
        effects = intake.cancel_groups(shard, jobs, 110.1)
        stops = [e for e in effects if isinstance(e, tables.StopTasks)]
        self.assertEqual(
            sorted(stop.worker_ref.worker_id for stop in stops),
            ["dc/0w0", "dc/0w1"],
        )
        self.assertEqual(sum(len(stop.start_ids) for stop in stops), 4)
        (cancel,) = get_messages(effects, messages.BatchCancel)
        self.assertEqual(
            sorted(cancel.batch_ids), sorted(o.batch_id for o in offers)
        )
        self.assertEqual(len(test_intake.get_answers(effects)), 12)
        self.assertEqual(shard.queue.flows, {})

    def test_cancelled_batch_gets_no_reply(self):
        shard = simulations.make_shard()
        test_intake.offer_batch(shard, tasks=6)
        starts = test_intake.start_all(shard)
        effects = intake.cancel_groups(shard, ["b1"], 110.1)
        self.assertTrue(effects)
        for effect in effects:
            self.assertIsInstance(effect, tables.StopTasks)
        for start in starts:
            self.assertEqual(test_intake.end(shard, start), [])
        self.assertEqual([w.running for w in shard.workers.values()], [0, 0])


class GroupEndTest(unittest.TestCase):
    def test_deadline_answers_immediately_with_known_verdicts(self):
        shard = simulations.make_shard()
        test_intake.offer(shard, simulations.make_job("j", 6, deadline_s=1.0))
        starts = test_intake.start_all(shard)
        test_intake.end(shard, starts[0])
        effects = shards.run_dispatch_pass([shard], 111.0)
        ((_, answer),) = test_intake.get_answers(effects)
        reported = [result.verdict for result in answer.results]
        self.assertEqual(answer.reason, REASON.DEADLINE)
        self.assertEqual(reported.count(simulations.RAN), 1)
        self.assertEqual(reported.count(simulations.MAY_HAVE_RUN), 3)
        self.assertEqual(reported.count(simulations.NOT_RUN), 2)
        in_use = escrow.count_in_use(shard.ledger, "p", 111.0)
        self.assertEqual(in_use, 3)
        late = 111.0 + simulations.MAX_RUN_S + completion.MAX_REQUEST_TRANSIT_S
        self.assertEqual(escrow.count_in_use(shard.ledger, "p", late), 0)

    def test_draining_refuses_new_work_and_finishes_started_jobs(self):
        shard = simulations.make_shard()
        test_intake.offer(shard, simulations.make_job("j", 6))
        started = test_intake.start_all(shard)
        test_intake.offer(shard, simulations.make_job("waits"))
        shard.draining = True
        ((_, answer),) = test_intake.get_answers(
            test_intake.offer(shard, simulations.make_job("j2"))
        )
        self.assertEqual(answer.reason, REASON.DRAINING)
        ((_, answer),) = test_intake.get_answers(
            shards.run_dispatch_pass([shard], 110.0)
        )
        self.assertEqual(answer.job_id, "waits")
        self.assertEqual(answer.reason, REASON.DRAINING)
        self.assertIsInstance(answer, verdicts.Refused)
        (effect,) = test_intake.offer_batch(shard)
        for result in effect.message.results:
            self.assertIs(result.verdict, simulations.NOT_RUN)
        effects = []
        starts = started
        while starts:
            for start in starts:
                effects += test_intake.end(shard, start)
            starts = test_intake.start_all(shard)
        ((_, answer),) = test_intake.get_answers(effects)
        self.assertIsInstance(answer, verdicts.Complete)

    @mock.patch.object(completion, "BUSY_PAUSE_S", 0.0)
    def count_starts(self):
        """Refuse every start of 30 jobs as busy.

        Without the pause, only the budget limits the retries.

        Returns:
            The number of starts and the number of answers.
        """
        shard = simulations.make_shard(
            retry_burst=10.0, max_queue_wait_s=math.inf
        )
        starts = answers = 0
        for i in range(30):
            test_intake.offer(shard, simulations.make_job(f"j{i}", 1))
        now = 110.0
        while shard.groups:
            now += 0.001
            for start in test_intake.start_all(shard, now):
                starts += 1
                effects = test_intake.end(shard, start, "busy", now)
                answers += len(test_intake.get_answers(effects))
        return starts, answers

    def test_retries_stay_within_budget(self):
        """The budget is the burst of 10 and 0.1 retries for each start."""
        starts, answers = self.count_starts()
        self.assertEqual(answers, 30)
        self.assertLessEqual(starts - 30, 10 + 0.1 * starts)

    def test_retries_would_exceed_budget_without_tokens(self):
        unlimited = mock.patch.object(
            completion, "_may_retry", self.allow_without_tokens
        )
        with unlimited:
            starts, _ = self.count_starts()
        self.assertGreater(starts - 30, 10 + 0.1 * starts)

    @staticmethod
    def allow_without_tokens(shard, group, index):
        return group.attempts[index] < shard.limits.max_attempts

    def count_complete(self):
        """Run 60 jobs while one of two workers refuses every task as busy.

        Returns:
            The number of jobs that complete.
        """
        shard = simulations.make_shard(
            retry_burst=10.0, max_queue_wait_s=math.inf
        )
        running, complete = [], 0
        for step in range(200):
            now = 110.0 + step * 0.05
            if step < 60:
                test_intake.offer(
                    shard, simulations.make_job(f"j{step}"), now=now
                )
            ended, running = running, []
            for start in ended:
                accepts = start.worker_ref.worker_id != "dc/0w0"
                effects = test_intake.end(
                    shard, start, "ok" if accepts else "busy", now
                )
                for _, answer in test_intake.get_answers(effects):
                    complete += isinstance(answer, verdicts.Complete)
            running = test_intake.start_all(shard, now)
        return complete

    def test_worker_that_refuses_all_tasks_fails_few_jobs(self):
        """The pause keeps the refusing worker from using up the retries."""
        self.assertGreaterEqual(self.count_complete(), 59)

    def test_refusing_worker_fails_many_jobs_without_pause(self):
        with mock.patch.object(completion, "BUSY_PAUSE_S", 0.0):
            self.assertLess(self.count_complete(), 55)
