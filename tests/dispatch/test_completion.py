"""Verdicts, units and messages when groups end."""

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
from tests.dispatch import test_intake
from tests.dispatch import worlds

IDS = ("dc/0", "dc/1")
REASON = verdicts.Reason


def spill_job(tasks=10, now=110.0, free=8):
    """Return a shard that runs 4 tasks of a job, and the batch it offloaded."""
    shard = worlds.make_shard(ids=IDS, spill_wait_s=0.0)
    load = messages.ShardLoad("dc/1", 1, free, 0, 8, "", 0.0)
    directory.record_load(shard.shard_directory, "guest", load, now)
    test_intake.offer(shard, worlds.make_job("j", tasks))
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
    """Return the result of a batch whose tasks ended as named."""
    results = tuple(
        verdicts.TaskResult(item.task.task_id, *worlds.ENDS[end][:2])
        for item, end in zip(offer.tasks, ends, strict=True)
    )
    return messages.BatchResult(offer.batch_id, results)


class BatchResultTest(unittest.TestCase):
    def end_batch(self, ends):
        shard, _, (offer,) = spill_job(4 + len(ends))
        effects = spilling.record_batch_result(
            shard, make_results(offer, ends), 110.0
        )
        return shard, offer, test_intake.get_answers(effects)

    def test_a_failure_keeps_the_verdicts_of_the_whole_batch(self):
        """Those after the failed one are no vaguer than the guest knows."""
        _, offer, ((_, answer),) = self.end_batch(["busy", "error", "ok"])
        by_id = {result.task_id: result for result in answer.results}
        told = [by_id[item.task.task_id] for item in offer.tasks]
        self.assertEqual(answer.reason, REASON.TASK_ERROR)
        self.assertEqual(
            [(r.verdict, r.reason) for r in told],
            [worlds.ENDS[end][:2] for end in ("busy", "error", "ok")],
        )

    def test_what_has_not_run_is_queued_again(self):
        shard, offer, answers = self.end_batch(["busy", "ok"])
        self.assertEqual(answers, [])
        group = shard.groups["j"]
        self.assertEqual(group.waiting, [offer.tasks[0].index])
        self.assertEqual(shard.queue.tasks, 1)

    def test_the_cause_is_told_rather_than_what_followed(self):
        shard, _, (offer,) = spill_job(6)
        results = tuple(
            verdicts.TaskResult(item.task.task_id, worlds.NOT_RUN, reason)
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

    def test_a_guest_answers_its_batch_with_a_batch_result(self):
        shard = worlds.make_shard()
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

    def lose_guest(self):
        """Spill 6 tasks, lose the guest, and return when they may start."""
        shard, _, (offer,) = spill_job()
        spilling.settle_lost_batches(shard, "guest", 110.0)
        return shard, 110.0 + offer.start_within_s

    def test_units_outlast_what_a_lost_guest_may_start(self):
        """The guest may live, and start the tasks at the last moment."""
        shard, start_by = self.lose_guest()
        ends_at = start_by + worlds.MAX_RUN_S
        self.assertGreaterEqual(self.count_in_use(shard, ends_at - 0.01), 6)
        self.assertEqual(
            self.count_in_use(shard, ends_at + completion.TRANSIT_S), 0
        )

    def test_they_would_not_if_counted_from_the_loss(self):
        forgetful = mock.patch.object(
            tables.Group,
            "offloaded_start_by",
            property(lambda _: {}, lambda *_: None),
            create=True,
        )
        with forgetful:
            shard, start_by = self.lose_guest()
        ends_at = start_by + worlds.MAX_RUN_S
        self.assertEqual(self.count_in_use(shard, ends_at - 0.01), 0)

    def test_a_guest_starts_nothing_after_its_time(self):
        shard = worlds.make_shard()
        test_intake.offer_batch(shard, now=110.0, start_within_s=0.02)
        shard.next_expiry_at = 110.05
        self.assertEqual(test_intake.start_all(shard, 110.03), [])
        effects = shards.run_dispatch_pass([shard], 110.06)
        (result,) = get_messages(effects, messages.BatchResult)
        for task in result.results:
            self.assertIs(task.verdict, worlds.NOT_RUN)
        self.assertFalse(shard.ledger.hosted)

    def test_nothing_is_spilled_that_a_guest_must_hand_back(self):
        with mock.patch.object(worlds, "TERM_S", worlds.MAX_RUN_S):
            _, starts, offers = spill_job()
        self.assertEqual((len(starts), offers), (4, []))

    def test_own_tasks_of_an_earlier_epoch_count_in_the_new_one(self):
        shard = worlds.make_shard(workers=1)
        test_intake.offer(shard, worlds.make_job("j", 2))
        running = tuple(
            outcomes.RunningTask(start.start_id, "c", "p", "k", "d", 1, 0.5)
            for start in test_intake.start_all(shard)
        )
        granted = outcomes.LeaseGranted(2, running, 2, 64, False)
        shards.record_lease(shard, "dc/0w0", granted, 111.0)
        worlds.become_owner(shard, 2, 111.0)
        self.assertEqual(self.count_in_use(shard, 111.0), 2)
        self.assertEqual(shard.workers["dc/0w0"].foreign, {})
        self.assertEqual(self.count_in_use(shard, 111.0 + 2.0), 0)

    def test_guests_keep_their_note_through_a_new_epoch(self):
        shard = worlds.make_shard(ids=IDS)
        test_intake.offer_batch(shard)
        worlds.become_owner(shard, 2, 110.0)
        self.assertEqual(len(shard.ledger.hosted), 2)

    def test_a_stale_owner_gets_no_guest_in(self):
        shard = worlds.make_shard(ids=IDS)
        shard.ledger.claimed["dc/1"] = 2
        (effect,) = test_intake.offer_batch(shard, epoch=1)
        self.assertEqual(
            {result.reason for result in effect.message.results},
            {REASON.FENCED},
        )
        self.assertEqual(test_intake.start_all(shard), [])
        test_intake.offer_batch(shard, "b2", epoch=2)
        self.assertEqual(len(test_intake.start_all(shard)), 2)

    def test_no_loan_is_asked_for_once_nothing_waits(self):
        shard = worlds.make_shard(ids=IDS)
        shard.declared.plans["p"] = worlds.make_plan(running=2)
        shards._declare_shares(shard, 105.0)
        test_intake.offer(shard, worlds.make_job("j", 3))
        test_intake.start_all(shard)
        self.assertEqual(shard.stalled, {("c", "p"): 2})
        intake.cancel_groups(shard, ["j"], 110.0)
        shards.run_dispatch_pass([shard], 110.2)
        self.assertEqual(shard.stalled, {})


class CancelTest(unittest.TestCase):
    def test_a_wave_costs_one_message_a_worker_and_an_owner(self):
        shard = worlds.make_shard(ids=IDS, spill_wait_s=0.0)
        load = messages.ShardLoad("dc/1", 1, 4, 0, 8, "", 0.0)
        directory.record_load(shard.shard_directory, "guest", load, 110.0)
        jobs = [f"j{i}" for i in range(12)]
        for job_id in jobs:
            test_intake.offer(shard, worlds.make_job(job_id))
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
        self.assertEqual(shard.queue.lines, {})

    def test_a_cancelled_batch_gets_no_reply(self):
        shard = worlds.make_shard()
        test_intake.offer_batch(shard, tasks=6)
        starts = test_intake.start_all(shard)
        effects = intake.cancel_groups(shard, ["b1"], 110.1)
        self.assertTrue(effects)
        for effect in effects:
            self.assertIsInstance(effect, tables.StopTasks)
        for start in starts:
            self.assertEqual(test_intake.end(shard, start), [])
        self.assertEqual([w.running for w in shard.workers.values()], [0, 0])


class EndsTest(unittest.TestCase):
    def test_a_deadline_answers_at_once_with_true_verdicts(self):
        shard = worlds.make_shard()
        test_intake.offer(shard, worlds.make_job("j", 6, deadline_s=1.0))
        starts = test_intake.start_all(shard)
        test_intake.end(shard, starts[0])
        effects = shards.run_dispatch_pass([shard], 111.0)
        ((_, answer),) = test_intake.get_answers(effects)
        told = [result.verdict for result in answer.results]
        self.assertEqual(answer.reason, REASON.DEADLINE)
        self.assertEqual(told.count(worlds.RAN), 1)
        self.assertEqual(told.count(worlds.UNKNOWN), 3)
        self.assertEqual(told.count(worlds.NOT_RUN), 2)
        in_use = escrow.count_in_use(shard.ledger, "p", 111.0)
        self.assertEqual(in_use, 3)
        late = 111.0 + worlds.MAX_RUN_S + completion.TRANSIT_S
        self.assertEqual(escrow.count_in_use(shard.ledger, "p", late), 0)

    def test_draining_takes_nothing_and_finishes_what_has_begun(self):
        shard = worlds.make_shard()
        test_intake.offer(shard, worlds.make_job("j", 6))
        begun = test_intake.start_all(shard)
        test_intake.offer(shard, worlds.make_job("waits"))
        shard.draining = True
        ((_, answer),) = test_intake.get_answers(
            test_intake.offer(shard, worlds.make_job("j2"))
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
            self.assertIs(result.verdict, worlds.NOT_RUN)
        effects = []
        starts = begun
        while starts:
            for start in starts:
                effects += test_intake.end(shard, start)
            starts = test_intake.start_all(shard)
        ((_, answer),) = test_intake.get_answers(effects)
        self.assertIsInstance(answer, verdicts.Complete)

    @mock.patch.object(completion, "BUSY_PAUSE_S", 0.0)
    def count_starts(self):
        """Refuse every start as busy; return starts of 30 jobs, and answers.

        The pause is left out, so that the budget alone bounds the retries.
        """
        shard = worlds.make_shard(retry_burst=10.0, max_queue_wait_s=math.inf)
        starts = answers = 0
        for i in range(30):
            test_intake.offer(shard, worlds.make_job(f"j{i}", 1))
        now = 110.0
        while shard.groups:
            now += 0.001
            for start in test_intake.start_all(shard, now):
                starts += 1
                effects = test_intake.end(shard, start, "busy", now)
                answers += len(test_intake.get_answers(effects))
        return starts, answers

    def test_retries_stay_within_the_budget(self):
        starts, answers = self.count_starts()
        self.assertEqual(answers, 30)
        self.assertLessEqual(starts - 30, 10 + 0.1 * starts)

    def test_they_would_not_without_it(self):
        free = mock.patch.object(completion, "_may_retry", self.try_again)
        with free:
            starts, _ = self.count_starts()
        self.assertGreater(starts - 30, 10 + 0.1 * starts)

    @staticmethod
    def try_again(shard, group, index):
        return group.attempts[index] < shard.limits.max_attempts

    def count_complete(self):
        """Serve 60 jobs, one worker refusing all; return the complete ones."""
        shard = worlds.make_shard(retry_burst=10.0, max_queue_wait_s=math.inf)
        running, complete = [], 0
        for step in range(200):
            now = 110.0 + step * 0.05
            if step < 60:
                test_intake.offer(shard, worlds.make_job(f"j{step}"), now=now)
            ended, running = running, []
            for start in ended:
                good = start.worker_ref.worker_id != "dc/0w0"
                effects = test_intake.end(
                    shard, start, "ok" if good else "busy", now
                )
                for _, answer in test_intake.get_answers(effects):
                    complete += isinstance(answer, verdicts.Complete)
            running = test_intake.start_all(shard, now)
        return complete

    def test_a_worker_that_refuses_all_draws_little(self):
        self.assertGreaterEqual(self.count_complete(), 59)

    def test_it_would_draw_all_if_it_counted_as_free(self):
        with mock.patch.object(completion, "BUSY_PAUSE_S", 0.0):
            self.assertLess(self.count_complete(), 55)
