"""Tests of admission: refusals, their reasons and their retry times."""

import dataclasses
import unittest
from unittest import mock

from pollenladder.core import verdicts
from pollenladder.dispatch import admission
from pollenladder.dispatch import estimates
from pollenladder.dispatch import shard as shards
from pollenladder.wire import messages
from tests.dispatch import simulations
from tests.dispatch import test_intake

REASON = verdicts.Reason
JOB = simulations.make_job("new", 2)


def learn(run_s, now=110.0, kind="k"):
    """Return a step that records 50 runs of a kind."""

    def record(shard):
        for _ in range(50):
            estimates.record_run(shard.estimates, "p", kind, run_s, now)

    return record


def declare(**changes):
    """Return a step that declares a changed plan."""

    def change(shard):
        shard.declared.plans["p"] = simulations.make_plan(**changes)
        shards._set_shares(shard, 105.0)

    return change


def queue(jobs, tasks=1, customer="c"):
    """Return a step that queues jobs; their tasks are expected to run 0.5 s."""

    def offer(shard):
        for i in range(jobs):
            job = simulations.make_job(f"{customer}{i}", tasks, customer)
            test_intake.offer(shard, job)

    return offer


def drain(shard):
    shard.draining = True


def expire_leases(shard):
    for row in shard.ownership.leases.values():
        row.lease_until = 0.0


def with_kind(kind):
    tasks = tuple(dataclasses.replace(t, kind=kind) for t in JOB.tasks)
    return dataclasses.replace(JOB, tasks=tasks)


class AdmissionTest(unittest.TestCase):
    # Preparation of the shard (None starts all tasks that can start), the
    # job, and the reason of its refusal; None if it is accepted.
    CASES = (
        ((), JOB, None),
        ((drain,), JOB, REASON.DRAINING),
        ((expire_leases,), JOB, REASON.NOT_READY),
        ((), simulations.make_job("new", plan="other"), REASON.NOT_READY),
        ((), with_kind("other"), REASON.NEVER_RUNS),
        ((declare(running=0),), JOB, REASON.NEVER_RUNS),
        ((declare(rate=0.1, burst=1),), JOB, REASON.NEVER_RUNS),
        ((declare(rate=0.2, burst=1),), JOB, None),
        ((learn(1.9),), JOB, None),
        ((learn(5.1),), JOB, REASON.NEVER_RUNS),
        ((learn(1.9), declare(deadline_s=1.0)), JOB, REASON.NEVER_RUNS),
        ((learn(3.0), declare(running=1)), JOB, REASON.NEVER_RUNS),
        ((learn(5.1), learn(0.1)), JOB, None),
        ((learn(5.1, now=70.0),), JOB, None),
        ((queue(300),), JOB, REASON.OVERLOAD),
        ((queue(300),), simulations.make_job("new", 2, "other"), None),
        ((declare(rate=0.5, burst=2), queue(6), None), JOB, REASON.ALLOWANCE),
    )

    def decide(self, before, job, **limits):
        shard = simulations.make_shard(**limits)
        for step in before:
            if step is None:
                test_intake.start_all(shard)
            else:
                step(shard)
        return admission.decide(shard, job, 110.0)

    def test_decisions(self):
        for i, (before, job, reason) in enumerate(self.CASES):
            with self.subTest(i):
                refused = self.decide(before, job)
                self.assertEqual(refused and refused.reason, reason)
                if refused is None:
                    continue
                is_permanent = reason is REASON.NEVER_RUNS
                self.assertEqual(refused.retry_after_s is None, is_permanent)
                self.assertTrue(is_permanent or refused.retry_after_s >= 1.0)

    def test_short_deadline_is_accepted_after_one_fast_run(self):
        def run_once(shard):
            estimates.record_run(shard.estimates, "p", "k", 0.05, 110.0)

        job = dataclasses.replace(JOB, deadline_s=0.2)
        self.assertIsNone(self.decide((run_once,), job))

    def test_declared_sizes_and_run_times_have_no_effect(self):
        """Declared values that are wrong by a factor of 10 change nothing."""
        for i, (before, job, reason) in enumerate(self.CASES):
            for factor in (0.1, 10.0):
                tasks = tuple(
                    dataclasses.replace(
                        task,
                        declared_ms=500 * factor,
                        declared_size=100 * factor,
                    )
                    for task in job.tasks
                )
                mis_declared = dataclasses.replace(job, tasks=tasks)
                with self.subTest(i, factor=factor):
                    refused = self.decide(before, mis_declared)
                    self.assertEqual(refused and refused.reason, reason)

    def test_declared_run_times_would_have_an_effect_if_used(self):
        def use_declared(shard, plan_id, tasks):
            return sum(task.declared_ms for task in tasks) / 1000 or 1.0

        job = dataclasses.replace(
            JOB,
            tasks=tuple(
                dataclasses.replace(task, declared_ms=60_000.0)
                for task in JOB.tasks
            ),
        )
        before = (queue(12, 2, "c"),)
        with mock.patch.object(admission, "estimate_work_s", use_declared):
            self.assertIsNotNone(self.decide(before, job))
        self.assertIsNone(self.decide(before, job))

    def test_small_jobs_of_one_customer_do_not_shut_out_others(self):
        before = (learn(0.001), queue(30))
        limits = {"max_queued_jobs": 20}
        same = self.decide(before, JOB, **limits)
        self.assertEqual(same.reason, REASON.OVERLOAD)
        other = dataclasses.replace(JOB, customer_id="other")
        self.assertIsNone(self.decide(before, other, **limits))
        first_come = mock.patch.object(
            admission,
            "_is_full",
            lambda shard, *_: len(shard.groups) >= limits["max_queued_jobs"],
        )
        with first_come:
            self.assertIsNotNone(self.decide(before, other, **limits))

    def test_refusal_is_answered_immediately(self):
        shard = simulations.make_shard()
        drain(shard)
        (effect,) = test_intake.offer(shard, JOB)
        self.assertEqual(effect.message.kind, messages.AnswerKind.REFUSED)
        self.assertEqual(shard.queue.flows, {})
