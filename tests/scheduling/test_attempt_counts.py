"""Tests of what counts as a failed attempt of a task."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import recovery
from pollenladder.scheduling import unknown_runs
from tests.scheduling import simulations

JOB = "a1"
TASK = jobs.format_task_name(JOB, 0)
WORKERS = ["w0", "w1", "w2", "w3"]
NO_FAILURES = (
    fleet.RunEnd.STOPPED,
    fleet.RunEnd.LAPSED,
    fleet.RunEnd.BROKEN,
)


class AttemptCountTest(unittest.TestCase):
    """A job fails only after `max_attempts` runs of a task have failed."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=len(WORKERS))
        self._submit()

    def _submit(self, max_attempts: int = 2, **changes: object) -> None:
        self.simulation.submit(
            JOB, tasks=1, max_attempts=max_attempts, budget_s=60.0, **changes
        )

    def _count_failures(self) -> int:
        (task,) = self.simulation.region.jobs[JOB].tasks
        return len(task.failed_runs)

    def _take_start(self) -> effects.StartRun:
        (order,) = self.simulation.take_starts()
        return order

    def _end_next(self, end: fleet.RunEnd) -> effects.StartRun:
        order = self._take_start()
        self.simulation.confirm(order)
        self.simulation.now += 0.05
        self.simulation.end(order, end)
        return order

    def _claim_again(self) -> None:
        """Claim again, and poll all workers, none of which runs anything.

        They list all of their ends again.
        """
        simulation = self.simulation
        simulation.take_starts()
        simulation.region = recovery.rebuild_region(
            simulation.region, simulation.region.epoch + 1, simulation.now
        )
        simulation.list_workers(WORKERS, synced=False)
        simulation.region.is_worker_list_current = True
        for worker_id in WORKERS:
            simulation.poll(worker_id, running=())
        simulation.step(unknown_runs.OWNER_SETTLING_S)

    def _assert_job_failed(self) -> None:
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.FAILED)
        self.assertIs(answer.reason, jobs.Reason.TASK_FAILED)

    def test_ends_that_are_no_failures_count_for_nothing(self):
        """Guards against a job that fails as its runs were ended by others."""
        for end in NO_FAILURES * 2:
            with self.subTest(end=end):
                self._end_next(end)
                self.assertEqual(self._count_failures(), 0)
        self.assertEqual(self.simulation.take_answers(), [])

    def test_rejected_starts_count_for_nothing(self):
        """Guards against a job that fails although no run has begun."""
        rejections = [
            reply
            for reply in fleet.StartReply
            if reply
            not in (
                fleet.StartReply.STARTED,
                fleet.StartReply.NO_REPLY,
                # The worker follows another owner from then on.
                fleet.StartReply.FENCED,
            )
        ]
        for reply in rejections:
            with self.subTest(reply=reply):
                self.simulation.reply(self._take_start(), reply)
                self.assertEqual(self._count_failures(), 0)
                # Workers that were not reached answer again.
                for worker_id in WORKERS:
                    self.simulation.poll(worker_id)
                self.simulation.step(1.0)
        self.assertEqual(self.simulation.take_answers(), [])

    def test_run_of_a_worker_that_leaves_counts_for_nothing(self):
        """Guards against a job that fails as workers are replaced."""
        order = self._take_start()
        self.simulation.confirm(order)
        left = [name for name in WORKERS if name != order.worker_id]
        self.simulation.list_workers(left, synced=False)
        self.simulation.lose(order.worker_id)
        self.simulation.expire_lease()
        self.assertEqual(self._count_failures(), 0)
        self.assertNotEqual(self._take_start().worker_id, order.worker_id)

    def test_end_that_is_listed_again_counts_once(self):
        """Guards against an end that counts with each poll that lists it."""
        order = self._end_next(fleet.RunEnd.FAILED)
        for _ in range(3):
            self.simulation.now += 0.01
            self.simulation.poll(order.worker_id)
        self.assertEqual(self._count_failures(), 1)

    def test_end_that_is_read_again_after_a_claim_counts_once(self):
        """Guards against a count of an end by each reader from its start."""
        self._end_next(fleet.RunEnd.FAILED)
        self._claim_again()
        self.assertEqual(self._count_failures(), 1)
        self.assertEqual(self.simulation.take_answers(), [])
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_end_that_is_read_again_by_a_lower_cursor_counts_once(self):
        """Guards against a worker's list that is read from its start again."""
        order = self._end_next(fleet.RunEnd.FAILED)
        worker = self.simulation.region.workers[order.worker_id]
        worker.cursor = 0
        self.simulation.now += 0.01
        self.simulation.poll(order.worker_id)
        self.assertEqual(self._count_failures(), 1)

    def test_end_is_not_taken_for_that_of_another_run(self):
        """Guards against an end of an earlier run that ends the present one."""
        first = self._end_next(fleet.RunEnd.FAILED)
        self._claim_again()
        (second,) = self.simulation.take_starts()
        self.simulation.confirm(second)
        worker = self.simulation.region.workers[second.worker_id]
        ends = self.simulation.ends.setdefault(second.worker_id, [])
        number = worker.cursor + 1
        end = fleet.RunEnd.FAILED
        ends.append(fleet.ObservedEnd(number, TASK, first.number, end))
        self.simulation.now += 0.01
        self.simulation.poll(second.worker_id)
        self.assertEqual(self._count_failures(), 1)
        self.assertIn(TASK, worker.runs)

    def test_failed_end_of_a_run_of_another_owner_counts_once_adopted(self):
        """Guards against a failure that is lost, or counted by two owners."""
        self.simulation = simulations.RegionSimulation(workers=len(WORKERS))
        self.simulation.poll("w0", running=((TASK, 7, 40.0),))
        self._submit(may_have_begun=True, first_run=33)
        ends = [fleet.ObservedEnd(1, TASK, 7, fleet.RunEnd.FAILED)]
        self.simulation.ends["w0"] = ends
        for _ in range(2):
            self.simulation.now += 0.01
            self.simulation.poll("w0", running=())
        self.assertEqual(self._count_failures(), 1)

    def test_failed_end_of_an_unknown_run_counts_for_nothing(self):
        """Guards against an end that two owners count for the same job."""
        self.simulation.take_starts()
        ends = [fleet.ObservedEnd(1, TASK, 77, fleet.RunEnd.FAILED)]
        for worker_id in WORKERS:
            self.simulation.ends[worker_id] = ends
            self.simulation.now += 0.01
            self.simulation.poll(worker_id)
        self.assertEqual(self._count_failures(), 0)

    def test_attempts_are_those_of_the_version_in_which_the_job_arrived(self):
        """Guards against a job that fails by the limit of another version."""
        self._submit(max_attempts=1, gateway_id="g2")
        self._end_next(fleet.RunEnd.FAILED)
        self.assertEqual(self.simulation.take_answers(), [])
        self._end_next(fleet.RunEnd.FAILED)
        outcomes = {a.outcome for a in self.simulation.take_answers()}
        self.assertEqual(outcomes, {jobs.Outcome.FAILED})

    def test_failures_are_kept_when_the_owner_claims_again(self):
        """Guards against a task that is started beyond its attempts."""
        self._end_next(fleet.RunEnd.FAILED)
        self._claim_again()
        self._end_next(fleet.RunEnd.FAILED)
        self._assert_job_failed()
