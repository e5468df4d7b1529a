"""Tests of groups whose shard is lost or handed over."""

import unittest

from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import intake
from pollenladder.dispatch import keys
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import tables
from pollenladder.membership import leases
from pollenladder.wire import messages
from tests.dispatch import simulations

NOW = 110.0
IDS = ("dc/0", "dc/1")
REFUSED = messages.AnswerKind.REFUSED
FAILED = messages.AnswerKind.FAILED


class HandoverTest(unittest.TestCase):
    def setUp(self):
        self.lost = simulations.make_shard("dc/0", ids=IDS)
        self.kept = simulations.make_shard(
            "dc/1",
            ids=IDS,
            shard_directory=self.lost.shard_directory,
            sibling=self.lost,
        )

    def lose(self, phase=leases.Phase.IDLE):
        """Expire all leases; in phase EXPIRED the shard may be regained."""
        self.lost.ownership.phase = phase
        for row in self.lost.ownership.leases.values():
            row.lease_until = -1.0

    def offer(self, job):
        offer = messages.JobOffer("dc/0", job)
        return intake.handle_job_offer(self.lost, "gateway", offer, NOW)

    def run_dispatch_pass(self, now=NOW):
        return shards.run_dispatch_pass([self.lost, self.kept], now)

    def list_answers(self, effects):
        return [
            effect.message
            for effect in effects
            if isinstance(effect, tables.SendMessage)
            and isinstance(effect.message, messages.JobAnswer)
        ]

    def list_starts(self, effects):
        return [e for e in effects if isinstance(e, tables.StartTask)]

    def test_unstarted_job_is_refused_for_the_next_owner(self):
        self.offer(simulations.make_job("j", 3))
        self.lose()
        effects = self.run_dispatch_pass()
        [answer] = self.list_answers(effects)
        self.assertEqual((answer.job_id, answer.kind), ("j", REFUSED))
        self.assertIs(answer.reason, verdicts.Reason.NOT_READY)
        self.assertEqual(self.list_starts(effects), [])
        self.assertEqual((self.lost.groups, self.lost.queue.tasks), ({}, 0))

    def test_started_job_with_waiting_tasks_fails(self):
        self.offer(simulations.make_job("j", 20))
        started = {e.index for e in self.list_starts(self.run_dispatch_pass())}
        self.assertTrue(0 < len(started) < 20)
        self.lose()
        [answer] = self.list_answers(self.run_dispatch_pass())
        self.assertIs(answer.kind, FAILED)
        for index, result in enumerate(answer.results):
            expected = (
                simulations.MAY_HAVE_RUN
                if index in started
                else simulations.NOT_RUN
            )
            self.assertIs(result.verdict, expected, index)

    def test_fully_started_job_continues(self):
        self.offer(simulations.make_job("j", 2))
        self.assertEqual(len(self.list_starts(self.run_dispatch_pass())), 2)
        self.lose()
        self.assertEqual(self.run_dispatch_pass(), [])
        self.assertIn("j", self.lost.groups)

    def test_no_task_starts_while_shard_may_be_regained(self):
        self.offer(simulations.make_job("j", 2))
        self.lose(leases.Phase.EXPIRED)
        self.assertEqual(self.list_starts(self.run_dispatch_pass()), [])
        self.assertIn("j", self.lost.groups)
        # Another owner has epoch 2, so the shard can't be regained in epoch 1.
        load = messages.ShardLoad("dc/0", 2, 0, 0, 4, "", 0.0)
        simulations.directory.record_load(
            self.lost.shard_directory, "other", load, NOW
        )
        [answer] = self.list_answers(self.run_dispatch_pass())
        self.assertIs(answer.kind, REFUSED)

    def test_draining_owner_finishes_started_jobs(self):
        self.offer(simulations.make_job("begun", 20))
        starts = self.list_starts(self.run_dispatch_pass())
        self.offer(simulations.make_job("waits", 2))
        self.lost.draining = self.kept.draining = True
        [answer] = self.list_answers(self.run_dispatch_pass())
        self.assertEqual((answer.job_id, answer.kind), ("waits", REFUSED))
        self.assertIs(answer.reason, verdicts.Reason.DRAINING)
        self.assertEqual(list(self.lost.groups), ["begun"])
        for effect in starts:
            result = verdicts.TaskResult(
                effect.task.task_id, simulations.RAN, verdicts.Reason.OK
            )
            completion.record_start_outcome(self.lost, effect, result, NOW)
        self.assertTrue(self.list_starts(self.run_dispatch_pass()))

    def test_key_is_released_after_refusal(self):
        stamp = keys.format_stamp(self.lost.keys, NOW)
        job = simulations.make_job("j", 1, key=f"{stamp}~own")
        self.offer(job)
        self.lose()
        self.run_dispatch_pass()
        # The only window of keys has no entry left.
        self.assertEqual(list(map(len, self.lost.keys.windows.values())), [0])
