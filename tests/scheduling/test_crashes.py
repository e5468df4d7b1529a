"""Tests of tasks that crash the workers that start them."""

import dataclasses
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import crash_outcomes
from pollenladder.scheduling import crash_records
from pollenladder.scheduling import crashes
from pollenladder.scheduling import effects
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import placement
from pollenladder.scheduling import recovery
from tests.scheduling import simulations

OLD_JOB = "a" * 16
NEW_JOB = "b" * 16
LONG = {"budget_s": 20.0, "stretch": 50.0, "estimate_s": 0.5}
STARTED_AGAIN_MS = simulations.STARTED_MS + 5_000


class SuspicionTest(unittest.TestCase):
    """Which of several tasks on a crashed worker is to blame."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=3)
        self.region = self.simulation.region

    def _start(self, job_id: str, **changes) -> effects.StartRun:
        options = {"tasks": 1} | LONG | changes
        self.simulation.submit(job_id, **options)
        (order,) = self.simulation.take_starts()
        self.simulation.confirm(order)
        return order

    def _crash_beside(self) -> tuple[effects.StartRun, effects.StartRun]:
        """Crash the worker of an old task just after the start of a new one."""
        old = self._start(OLD_JOB)
        self.simulation.step(0.2)
        new = self._start(NEW_JOB)
        self.assertEqual(new.worker_id, old.worker_id)
        self.simulation.crash(old.worker_id)
        return old, new

    def _drain(self, worker_id: str) -> None:
        listings = [
            dataclasses.replace(
                w.listing,
                is_draining=w.listing.is_draining or listed_id == worker_id,
            )
            for listed_id, w in self.region.workers.items()
        ]
        maintenance.update_workers(self.region, listings, self.simulation.now)

    def test_last_started_task_is_suspected(self):
        _, new = self._crash_beside()
        (suspected,) = self.simulation.list_logged("task_suspected")
        self.assertEqual(suspected["task"], new.task)

    def test_nothing_starts_again_before_the_lease_has_expired(self):
        """Guards against two runs of a task if the worker is still alive."""
        self._crash_beside()
        self.simulation.step(0.5)
        self.assertEqual(self.simulation.take_starts(), [])

    def test_suspected_task_runs_alone(self):
        """Guards against neighbours that a crashing task takes down again."""
        old, new = self._crash_beside()
        self.simulation.expire_lease()
        starts = {s.task: s for s in self.simulation.take_starts()}
        again, alone = starts[old.task], starts[new.task]
        self.assertNotEqual(again.worker_id, alone.worker_id)
        self.simulation.submit("c" * 16, tasks=1, **LONG)
        (other,) = self.simulation.take_starts()
        self.assertEqual(other.worker_id, again.worker_id)

    def test_worker_is_reserved_if_none_is_idle(self):
        _, new = self._crash_beside()
        rest = [self._start(c * 16) for c in "cdef"]
        self.simulation.expire_lease()
        starts = [s.task for s in self.simulation.take_starts()]
        self.assertNotIn(new.task, starts)
        (reserved,) = self.simulation.list_logged("worker_reserved")
        for order in rest:
            if order.worker_id == reserved["worker"]:
                self.simulation.end(order)
        for order in self.simulation.take_starts():
            if order.task == new.task:
                self.assertEqual(order.worker_id, reserved["worker"])
                return
        self.fail("the suspected task was not started")

    def test_reservation_ends_with_its_job(self):
        _, new = self._crash_beside()
        for name in "cdef":
            self._start(name * 16)
        self.simulation.expire_lease()
        job = self.region.jobs[NEW_JOB]
        self.simulation.step(LONG["budget_s"])
        self.assertNotIn(job.submission.job_id, self.region.jobs)
        reserved = [w for w in self.region.workers.values() if w.isolated_task]
        self.assertEqual(reserved, [])

    def test_job_that_a_crash_has_made_late_waits_behind_others(self):
        """Guards against late restarts that make other jobs late in turn."""
        simulation = simulations.RegionSimulation(workers=2)
        self.simulation, self.region = simulation, simulation.region
        late = self._start(OLD_JOB, stretch=1.0)
        for name in "cde":
            self._start(name * 16)
        simulation.crash(late.worker_id)
        simulation.submit("f" * 16, tasks=1, **LONG)
        simulation.expire_lease()
        waiting = placement.sort_waiting(self.region)
        order = [job.submission.job_id for job in waiting]
        self.assertEqual(order, ["c" * 16, "f" * 16, OLD_JOB])

    def test_reservation_ends_if_the_first_run_turns_out_to_be_done(self):
        """Guards against a worker that stays reserved for a task that is done.

        Behind a partition that refuses connections, the first run completed.
        """
        _, new = self._crash_beside()
        for name in "cdef":
            self._start(name * 16)
        self.simulation.expire_lease()
        self.assertTrue(self.simulation.list_logged("worker_reserved"))
        self.simulation.end(new)
        self.assertNotIn(NEW_JOB, self.region.jobs)
        reserved = [w for w in self.region.workers.values() if w.isolated_task]
        self.assertEqual(reserved, [])

    def _crash_twice(self) -> list[str]:
        """Crash both workers that start a task; return them."""
        _, new = self._crash_beside()
        self.simulation.expire_lease()
        starts = {s.task: s for s in self.simulation.take_starts()}
        again = starts[new.task]
        self.simulation.confirm(again)
        self.simulation.crash(again.worker_id)
        return [new.worker_id, again.worker_id]

    def test_task_is_given_up_after_its_second_crash(self):
        """Guards against a job shown as failed, though no end `failed` was seen."""
        self._crash_twice()
        (answer,) = self.simulation.take_answers()
        self.assertEqual(answer.job_id, NEW_JOB)
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)
        self.assertIs(answer.reason, jobs.Reason.TASK_CRASHED_WORKERS)

    def test_crash_is_counted_once(self):
        """Guards against a crash that counts again as another process answers."""
        order = self._start(NEW_JOB)
        self.simulation.crash(order.worker_id)
        for _ in range(2):
            self.simulation.replace(order.worker_id)
        (task,) = self.region.jobs[NEW_JOB].tasks
        self.assertEqual(task.crashes, crash_records.CrashCounts(1, 1))

    def test_silent_crash_is_found_as_another_process_answers(self):
        """Guards against a crash that is never found as connections were reset."""
        old = self._start(OLD_JOB)
        self.simulation.step(0.2)
        new = self._start(NEW_JOB)
        self.assertEqual(new.worker_id, old.worker_id)
        self.simulation.lose(new.worker_id)
        self.simulation.expire_lease()
        self.simulation.poll(
            new.worker_id, running=(), started_ms=STARTED_AGAIN_MS
        )
        counts = [
            (task.crashes.suspicions, task.crashes.lost_workers)
            for job_id in (OLD_JOB, NEW_JOB)
            for task in self.region.jobs[job_id].tasks
        ]
        self.assertEqual(counts, [(0, 1), (1, 1)])

    def test_restarts_behind_partitions_do_not_fail_a_job(self):
        """Guards against a job that fails although its tasks were over before."""
        self.simulation.submit(NEW_JOB, tasks=1, **LONG)
        for _ in range(crash_outcomes.MAX_LOST_WORKERS):
            (order,) = self.simulation.take_starts()
            self.simulation.confirm(order)
            self.simulation.lose(order.worker_id)
            self.simulation.expire_lease()
            self.simulation.poll(
                order.worker_id, running=(), started_ms=STARTED_AGAIN_MS
            )
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_silent_losses_are_taken_back(self):
        """Guards against a job that three partitions end."""
        simulation = simulations.RegionSimulation(workers=5)
        simulation.submit(NEW_JOB, tasks=1, **LONG)
        for _ in range(crash_outcomes.MAX_LOST_WORKERS):
            (order,) = simulation.take_starts()
            simulation.confirm(order)
            simulation.lose(order.worker_id)
            simulation.expire_lease()
            simulation.poll(order.worker_id, running=())
        self.assertEqual(simulation.take_answers(), [])
        (task,) = simulation.region.jobs[NEW_JOB].tasks
        self.assertEqual(task.crashes.lost_workers, 0)

    def test_silent_losses_are_limited(self):
        """Guards against a task that takes machines down without a trace."""
        simulation = simulations.RegionSimulation(workers=5)
        simulation.submit(NEW_JOB, tasks=1, **LONG)
        for _ in range(crash_outcomes.MAX_LOST_WORKERS):
            (order,) = simulation.take_starts()
            simulation.confirm(order)
            simulation.lose(order.worker_id)
            simulation.expire_lease()
        self.assertEqual(simulation.take_starts(), [])
        (answer,) = simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_task_of_a_worker_that_was_only_cut_off_continues(self):
        order = self._start(NEW_JOB)
        self.simulation.lose(order.worker_id)
        self.simulation.step(0.3)
        self.simulation.poll(order.worker_id)
        self.simulation.end(order)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)
        self.assertEqual(self.simulation.list_logged("task_suspected"), [])

    def test_process_that_answers_again_has_not_crashed(self):
        """Guards against a job that fails, as one run is suspected twice.

        Connections were refused behind a partition, twice.
        """
        order = self._start(NEW_JOB)
        for _ in range(crash_outcomes.MAX_SUSPICIONS + 1):
            self.simulation.crash(order.worker_id)
            self.simulation.poll(order.worker_id)
        self.assertEqual(self.simulation.take_answers(), [])
        task = self.region.jobs[NEW_JOB].tasks[0]
        self.assertEqual(
            (task.crashes.suspicions, task.crashes.lost_workers), (0, 0)
        )
        self.simulation.end(order)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)

    def test_suspicion_ends_when_the_process_answers_after_the_lease(self):
        """Guards against a suspicion that outlasts the partition.

        The task runs on another worker by then.
        """
        _, new = self._crash_beside()
        self.simulation.expire_lease()
        self.simulation.poll(new.worker_id, running=())
        task = self.region.jobs[NEW_JOB].tasks[0]
        self.assertEqual(
            (task.crashes.suspicions, task.crashes.lost_workers), (0, 0)
        )

    def test_gateway_is_told_of_a_withdrawn_suspicion(self):
        """Guards against a next owner that goes on with a false suspicion."""
        order = self._start(NEW_JOB)
        self.simulation.crash(order.worker_id)
        self.simulation.poll(order.worker_id)
        reports = [
            e.crashes
            for e in self.simulation.effects
            if isinstance(e, effects.ReportCrashes)
        ]
        self.assertEqual(reports, [(jobs.TaskCrashes(0, 1, 1),), ()])

    def test_another_process_at_the_address_confirms_the_crash(self):
        """Guards against a crash that is forgotten as the worker returns."""
        order = self._start(NEW_JOB)
        self.simulation.crash(order.worker_id)
        for _ in range(2):
            self.simulation.poll(
                order.worker_id, running=(), started_ms=STARTED_AGAIN_MS
            )
        self.assertEqual(
            self.region.jobs[NEW_JOB].tasks[0].crashes.suspicions, 1
        )

    def test_restart_between_two_polls_counts_as_a_crash(self):
        """Guards against a crash that is missed as the worker is back at once."""
        order = self._start(NEW_JOB)
        self.simulation.now += 0.1
        self.simulation.poll(
            order.worker_id, running=(), started_ms=STARTED_AGAIN_MS
        )
        self.assertEqual(
            self.region.jobs[NEW_JOB].tasks[0].crashes.suspicions, 1
        )

    def test_crash_is_found_after_a_start_that_was_not_sent(self):
        """Guards against a crash that counts as silence.

        A start that finds no process is the first sign of the crash.
        """
        order = self._start(NEW_JOB)
        self.simulation.submit(OLD_JOB, tasks=1, **LONG)
        (unsent,) = self.simulation.take_starts()
        self.assertEqual(unsent.worker_id, order.worker_id)
        self.simulation.reply(unsent, fleet.StartReply.NOT_SENT)
        self.simulation.crash(order.worker_id)
        self.assertEqual(
            self.region.jobs[NEW_JOB].tasks[0].crashes.suspicions, 1
        )

    def test_no_task_of_a_draining_worker_is_suspected(self):
        """Guards against tasks that are blamed when a worker leaves."""
        order = self._start(NEW_JOB)
        self._drain(order.worker_id)
        self.simulation.crash(order.worker_id)
        self.assertEqual(
            self.region.jobs[NEW_JOB].tasks[0].crashes.suspicions, 0
        )
        self.simulation.expire_lease()
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_planned_end_after_the_lease_proves_no_crash(self):
        """Guards against a job that fails, though none of its workers crashed.

        Workers are cut off, and stop their runs as the leases expire. Only then are
        they told to drain, and replaced.
        """
        simulation = self.simulation
        simulation.submit(NEW_JOB, tasks=1, **LONG)
        for _ in range(crash_outcomes.MAX_SUSPICIONS):
            (order,) = simulation.take_starts()
            simulation.confirm(order)
            simulation.lose(order.worker_id)
            simulation.expire_lease()
            self._drain(order.worker_id)
            simulation.poll(
                order.worker_id, running=(), started_ms=STARTED_AGAIN_MS
            )
            self.assertEqual(simulation.take_answers(), [])

    def test_unconfirmed_run_is_not_suspected_of_the_end_of_a_later_process(
        self,
    ):
        """Guards against a job that is given up for a run that may never have begun.

        The start was not confirmed, and the next process ends, too, before the owner
        knows that the run is over.
        """
        self.simulation.submit(NEW_JOB, tasks=1, **LONG)
        (order,) = self.simulation.take_starts()
        self.simulation.reply(order, fleet.StartReply.NO_REPLY)
        for born_ms in (STARTED_AGAIN_MS, STARTED_AGAIN_MS + 1_000):
            self.simulation.now += 0.1
            self.simulation.poll(
                order.worker_id, running=(), started_ms=born_ms
            )
        self.assertEqual(self.simulation.take_answers(), [])
        (task,) = self.region.jobs[NEW_JOB].tasks
        self.assertEqual(task.crashes.suspicions, 0)

    def test_suspected_task_that_has_completed_ends_no_job(self):
        """Guards against a job that is given up for a task that is done."""
        self.simulation.submit(NEW_JOB, tasks=2, **LONG)
        first, second = self.simulation.take_starts()
        for order in (first, second):
            self.simulation.confirm(order)
        self.simulation.crash(first.worker_id)
        self.simulation.expire_lease()
        again = self.simulation.take_starts()
        for order in again:
            self.simulation.confirm(order)
        self.simulation.end(again[0])
        self.region.workers.pop(again[0].worker_id)
        job = self.region.jobs[NEW_JOB]
        records = self.region.crashes
        records.queues.record(job.submission.queue, self.simulation.now)
        crashes.give_up_waiting(
            self.region, job.submission.queue, self.simulation.now
        )
        self.assertIn(NEW_JOB, self.region.jobs)

    def test_gateway_is_told_and_the_next_owner_knows(self):
        """Guards against crashes that are forgotten with the owner."""
        self._crash_beside()
        reports = {
            e.job_id: e.crashes
            for e in self.simulation.effects
            if isinstance(e, effects.ReportCrashes)
        }
        self.assertEqual(reports[NEW_JOB], (jobs.TaskCrashes(0, 1, 1),))
        self.assertEqual(reports[OLD_JOB], (jobs.TaskCrashes(0, 0, 1),))
        next_owner = simulations.RegionSimulation(workers=2)
        next_owner.submit(NEW_JOB, tasks=1, crashes=reports[NEW_JOB], **LONG)
        (order,) = next_owner.take_starts()
        next_owner.confirm(order)
        next_owner.crash(order.worker_id)
        (answer,) = next_owner.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_owner_that_claims_again_knows(self):
        self._crash_beside()
        rebuilt = recovery.rebuild_region(self.region, 2, self.simulation.now)
        self.assertEqual(rebuilt.jobs[NEW_JOB].tasks[0].crashes.suspicions, 1)

    def test_job_that_was_given_up_is_not_started_when_it_comes_again(self):
        self._crash_twice()
        self.simulation.take_answers()
        self.simulation.submit(NEW_JOB, tasks=1, **LONG)
        self.assertEqual(self.simulation.take_starts(), [])
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_job_sent_again_is_not_started_long_after_its_crashes(self):
        """Guards against starts without end for a caller that returns after 504."""
        for worker_id in self._crash_twice():
            self.simulation.take_answers()
            self.simulation.replace(worker_id)
            self.simulation.step(job_ends.ANSWER_RETENTION_S + 1.0)
            self.simulation.submit(NEW_JOB, tasks=1, **LONG)
            (answer,) = self.simulation.take_answers()
            self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)
        self.assertEqual(self.simulation.take_starts(), [])

    def test_crash_counts_outlive_the_deadline(self):
        """Guards against a count that starts anew as the caller returns after 504."""
        order = self._start(NEW_JOB, budget_s=0.9)
        self.simulation.crash(order.worker_id)
        self.simulation.step(1.0)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.reason, jobs.Reason.DEADLINE)
        self.simulation.expire_lease()
        again = self._start(NEW_JOB)
        self.simulation.crash(again.worker_id)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.reason, jobs.Reason.TASK_CRASHED_WORKERS)

    def test_job_starts_again_after_its_suspicion_was_withdrawn(self):
        """Guards against a job that is given up for good after a partition."""
        order = self._start(NEW_JOB)
        self.simulation.crash(order.worker_id)
        self.simulation.expire_lease()
        (again,) = self.simulation.take_starts()
        self.simulation.confirm(again)
        self.simulation.crash(again.worker_id)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)
        self.simulation.expire_lease()
        for worker_id in (order.worker_id, again.worker_id):
            self.simulation.poll(worker_id, running=())
        self.simulation.submit(NEW_JOB, tasks=1, **LONG)
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_counts_are_forgotten_if_nobody_asks(self):
        """Guards against a table that grows with each crash."""
        order = self._start(NEW_JOB, budget_s=0.9)
        self.simulation.crash(order.worker_id)
        self.simulation.step(1.0)
        self.assertIn(NEW_JOB, self.region.crashes.kept)
        self.simulation.step(crash_records.RETENTION_S)
        self.assertEqual(self.region.crashes.kept, {})

    def test_run_on_a_shrunken_worker_is_not_chosen_for_isolation(self):
        """Guards against a wait for a worker that has become too small."""
        _, new = self._crash_beside()
        for name in "cdef":
            self._start(name * 16)
        self.simulation.expire_lease()
        (reserved,) = self.simulation.list_logged("worker_reserved")
        small = jobs.Resources(cpu_milli=8_000, memory_mb=131_072)
        listings = [
            dataclasses.replace(w.listing, capacity=small)
            if worker_id == reserved["worker"]
            else w.listing
            for worker_id, w in self.region.workers.items()
        ]
        maintenance.update_workers(self.region, listings, self.simulation.now)
        worker = self.region.workers[reserved["worker"]]
        self.assertNotEqual(worker.isolated_task, new.task)
