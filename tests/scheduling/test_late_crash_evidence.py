"""Tests of crashes that are proved or taken back by later replies."""

import dataclasses
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import crash_outcomes
from pollenladder.scheduling import crash_records
from pollenladder.scheduling import effects
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import recovery
from tests.scheduling import simulations

OLD_JOB = "a" * 16
NEW_JOB = "b" * 16
LONG = {"budget_s": 20.0, "stretch": 50.0, "estimate_s": 0.5}
STARTED_AGAIN_MS = simulations.STARTED_MS + 5_000


class LaterEvidenceTest(unittest.TestCase):
    """What a proof or a withdrawal may still change when it comes late."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=4)
        self.region = self.simulation.region

    def _start(self, job_id: str, **changes) -> effects.StartRun:
        options = {"tasks": 1} | LONG | changes
        self.simulation.submit(job_id, **options)
        (order,) = self.simulation.take_starts()
        self.simulation.confirm(order)
        return order

    def _lose_twice(self) -> tuple[effects.StartRun, ...]:
        """Lose the workers of a task's first two runs in silence."""
        first = self._start(NEW_JOB)
        self.simulation.lose(first.worker_id)
        self.simulation.expire_lease()
        (second,) = self.simulation.take_starts()
        self.simulation.confirm(second)
        self.simulation.lose(second.worker_id)
        self.simulation.expire_lease()
        (third,) = self.simulation.take_starts()
        self.simulation.confirm(third)
        return first, second, third

    def test_late_proofs_do_not_end_a_job_whose_task_runs(self):
        """Guards against a job that fails while its task runs on a sound worker."""
        first, second, third = self._lose_twice()
        self.simulation.replace(first.worker_id)
        self.simulation.replace(second.worker_id)
        self.assertIn(NEW_JOB, self.region.jobs)
        self.simulation.end(third)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)

    def test_late_proofs_do_not_end_a_job_whose_task_is_done(self):
        """Guards against a job that fails because of a task that has completed."""
        self.simulation.submit(NEW_JOB, **LONG)
        lost = []
        for _ in range(2):
            orders = self.simulation.take_starts()
            for order in orders:
                self.simulation.confirm(order)
            for worker_id in {order.worker_id for order in orders}:
                self.simulation.lose(worker_id)
                lost.append(worker_id)
            self.simulation.expire_lease()
        first, second = self.simulation.take_starts()
        for order in (first, second):
            self.simulation.confirm(order)
        self.simulation.end(first)
        job = self.region.jobs[NEW_JOB]
        self.assertEqual(len(job.list_waiting_tasks()), 0)
        for worker_id in lost:
            self.simulation.replace(worker_id)
        self.assertIn(NEW_JOB, self.region.jobs)

    def test_restarts_of_several_workers_do_not_fail_a_job(self):
        """Guards against a job that fails as workers restart for another reason.

        That another process answers proves that a worker's process has ended, but
        not that the task was the cause: all workers restart at the same time.
        """
        simulation = simulations.RegionSimulation(workers=4)
        names = [letter * 16 for letter in "bcdefa01"]
        for name in names:
            simulation.submit(name, tasks=1, **LONG)
        for _ in range(2):
            starts = simulation.take_starts()
            for order in starts:
                simulation.confirm(order)
            simulation.step(0.2)
            used = sorted({order.worker_id for order in starts})
            for worker_id in used:
                simulation.lose(worker_id)
            for worker_id in used:
                simulation.poll(
                    worker_id,
                    running=(),
                    started_ms=int(STARTED_AGAIN_MS + 1000 * simulation.now),
                )
            simulation.expire_lease()
        failed = [
            answer.job_id
            for answer in simulation.take_answers()
            if answer.outcome is jobs.Outcome.FAILED
        ]
        self.assertEqual(failed, [])

    def test_no_crash_is_proved_against_a_run_that_was_never_confirmed(self):
        """Guards against a task that is blamed though it has not started there.

        The worker has crashed before the order has arrived, which got no reply.
        """
        old = self._start(OLD_JOB)
        self.simulation.step(0.2)
        self.simulation.submit(NEW_JOB, tasks=1, **LONG)
        (order,) = self.simulation.take_starts()
        self.assertEqual(order.worker_id, old.worker_id)
        self.simulation.reply(order, fleet.StartReply.NO_REPLY)
        self.simulation.lose(old.worker_id)
        self.simulation.replace(old.worker_id)
        (task,) = self.region.jobs[NEW_JOB].tasks
        self.assertEqual(task.crashes.suspicions, 0)

    def test_silent_loss_of_a_draining_worker_proves_nothing(self):
        """Guards against tasks that are blamed when a worker has left as announced."""
        order = self._start(NEW_JOB)
        listings = [
            dataclasses.replace(
                w.listing, is_draining=worker_id == order.worker_id
            )
            for worker_id, w in self.region.workers.items()
        ]
        maintenance.update_workers(self.region, listings, self.simulation.now)
        self.simulation.lose(order.worker_id)
        self.simulation.expire_lease()
        self.simulation.replace(order.worker_id)
        (task,) = self.region.jobs[NEW_JOB].tasks
        self.assertEqual(task.crashes.suspicions, 0)

    def test_counts_are_taken_back_after_the_entry_has_lapsed(self):
        """Guards against counts that stay as a partition hides the entry, too."""
        order = self._start(NEW_JOB)
        listed = list(self.region.workers)
        self.simulation.crash(order.worker_id)
        rest = [name for name in listed if name != order.worker_id]
        self.simulation.list_workers(rest, synced=False)
        self.simulation.list_workers(listed, synced=False)
        self.simulation.poll(order.worker_id)
        (task,) = self.region.jobs[NEW_JOB].tasks
        self.assertEqual(task.crashes, crash_records.CrashCounts())

    def test_counts_are_taken_back_by_an_owner_that_claims_again(self):
        """Guards against counts that nobody can take back after a new claim."""
        order = self._start(NEW_JOB)
        self.simulation.crash(order.worker_id)
        simulation = self.simulation
        simulation.region = recovery.rebuild_region(
            self.region, 2, simulation.now
        )
        simulation.list_workers(list(self.region.workers), synced=False)
        simulation.poll(order.worker_id, running=((order.task, 1, 10.0),))
        (task,) = simulation.region.jobs[NEW_JOB].tasks
        self.assertEqual(task.crashes, crash_records.CrashCounts())

    def test_job_that_was_given_up_starts_again_after_a_withdrawal(self):
        """Guards against an answer that is repeated after its evidence is gone."""
        first = self._start(NEW_JOB)
        self.simulation.crash(first.worker_id)
        self.simulation.expire_lease()
        (second,) = self.simulation.take_starts()
        self.simulation.confirm(second)
        self.simulation.crash(second.worker_id)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)
        self.simulation.step(0.1)
        for order in (first, second):
            self.simulation.poll(order.worker_id, running=())
        self.simulation.submit(NEW_JOB, tasks=1, **LONG)
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_crash_of_a_run_whose_job_was_given_up_is_counted(self):
        """Guards against a crash that nobody counts if its job is submitted again.

        Both workers of a job that was given up answer again; one still has its run,
        which crashes it before it is stopped.
        """
        simulation = simulations.RegionSimulation(workers=3)
        simulation.submit(NEW_JOB, tasks=1, **LONG)
        orders = []
        for _ in range(crash_outcomes.MAX_SUSPICIONS):
            simulation.expire_lease()
            (order,) = simulation.take_starts()
            simulation.confirm(order)
            simulation.crash(order.worker_id)
            orders.append(order)
        (answer,) = simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)
        simulation.step(0.1)
        first, second = orders
        simulation.poll(first.worker_id, running=())
        running = ((second.task, second.number, 10.0),)
        simulation.poll(second.worker_id, running=running)
        simulation.crash(second.worker_id)
        simulation.submit(NEW_JOB, tasks=1, **LONG)
        (task,) = simulation.region.jobs[NEW_JOB].tasks
        self.assertEqual(task.crashes.suspicions, 1)
