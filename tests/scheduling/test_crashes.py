"""Tests of tasks that crash the workers that start them."""

import dataclasses
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import crash_outcomes
from pollenladder.scheduling import crash_records
from pollenladder.scheduling import crashes
from pollenladder.scheduling import effects
from pollenladder.scheduling import exposure
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


class LimitTest(unittest.TestCase):
    """Many jobs of one queue crash workers."""

    WORKERS = 12

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=self.WORKERS)
        self.region = self.simulation.region
        for index in range(self.WORKERS):
            self._submit(f"{index:016x}", "quotes", run_s=60.0)

    def _submit(
        self, job_id: str, queue: str, run_s: float = 0.2
    ) -> list[effects.StartRun]:
        self.simulation.submit(
            job_id,
            queue=queue,
            tasks=1,
            budget_s=100.0,
            stretch=50.0,
            estimate_s=run_s,
        )
        starts = self.simulation.take_starts()
        for order in starts:
            self.simulation.confirm(order)
        return starts

    def _crash_many(self, jobs_count: int) -> list[jobs.Answer]:
        answers = []
        for index in range(jobs_count):
            self.simulation.step(0.1)
            for order in self._submit(f"{1000 + index:016x}", "holds"):
                self.simulation.crash(order.worker_id)
            answers += self.simulation.take_answers()
        return answers

    def test_one_queue_takes_down_a_third_of_the_workers_at_most(self):
        """Guards against a queue that takes down all workers."""
        self._crash_many(40)
        lost = [w for w in self.region.workers.values() if not w.is_reachable]
        limit = int(exposure.MAX_DOWN_SHARE * self.WORKERS)
        self.assertEqual(len(lost), limit)

    def test_refused_callers_are_told_when_workers_should_be_back(self):
        answers = self._crash_many(10)
        refused = [a for a in answers if a.outcome is jobs.Outcome.REFUSED]
        self.assertTrue(refused)
        for answer in refused:
            self.assertIs(answer.reason, jobs.Reason.QUEUE_CRASHES_WORKERS)
            self.assertGreater(answer.retry_after_s, 1.0)
            self.assertLess(answer.retry_after_s, 3.0)

    def test_other_queues_are_not_limited(self):
        self._crash_many(10)
        self.assertEqual(len(self._submit("f" * 16, "receipts")), 1)

    def test_queue_is_served_again_once_workers_are_back(self):
        self._crash_many(10)
        for worker_id, worker in self.region.workers.items():
            if not worker.is_reachable:
                self.simulation.poll(
                    worker_id, running=(), started_ms=STARTED_AGAIN_MS
                )
        self.assertEqual(len(self._submit("e" * 16, "holds")), 1)

    def test_queue_is_not_blamed_once_the_same_processes_answer(self):
        """Guards against a partition whose queue stays refused."""
        self._crash_many(10)
        found = self.region.crashes
        self.assertTrue(found.is_crashing("holds", self.simulation.now))
        lost = [w for w in self.region.workers.values() if not w.is_reachable]
        for worker in lost:
            self.simulation.poll(worker.listing.worker_id, running=())
        self.assertFalse(found.is_crashing("holds", self.simulation.now))
        self.assertNotIn("holds", found.evidence)
        self.assertEqual(found.down, {})
        self.assertEqual(len(self._submit("e" * 16, "holds")), 1)

    def test_queue_stays_blamed_if_another_worker_answers(self):
        """Guards against evidence that any reply takes back."""
        self._crash_many(10)
        found = self.region.crashes
        reachable = [w for w in self.region.workers.values() if w.is_reachable]
        self.simulation.poll(reachable[0].listing.worker_id)
        self.assertTrue(found.is_crashing("holds", self.simulation.now))

    def test_suspected_task_of_a_known_queue_is_given_up_at_once(self):
        answers = self._crash_many(10)
        given_up = [a for a in answers if a.outcome is jobs.Outcome.GIVEN_UP]
        self.assertTrue(given_up)

    def test_queue_that_another_owner_found_is_limited_at_once(self):
        """Guards against a next owner that loses workers to find it again."""
        now = self.simulation.now
        self.region.crashes.queues.record_told({"holds": 4.0}, now)
        answers = self._crash_many(1)
        (answer,) = answers
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_crashes_of_idle_workers_limit_no_queue(self):
        """Guards against a broken worker pool that is blamed on a queue."""
        simulation = simulations.RegionSimulation(workers=self.WORKERS)
        for index in range(self.WORKERS):
            simulation.crash(f"w{index}")
        self.assertEqual(simulation.region.crashes.evidence, {})

    def test_workers_that_crash_together_limit_no_queue(self):
        """Guards against a rack that fails and is blamed on its tasks."""
        for index in range(6):
            self._submit(f"{2000 + index:016x}", "holds")
        for worker_id in list(self.region.workers)[::2]:
            self.simulation.crash(worker_id)
        for queue in ("holds", "quotes"):
            self.assertFalse(
                self.region.crashes.is_crashing(queue, self.simulation.now)
            )

    def test_exposed_workers_are_counted_by_run(self):
        """Guards against a count that drifts when runs are adopted."""
        simulation = simulations.RegionSimulation(workers=1)
        simulation.poll("w0", running=(("9" * 16 + ".0.0.0", 1, 10.0),))
        simulation.submit("9" * 16, tasks=1, may_have_begun=True, **LONG)
        exposed = simulation.region.crashes.exposed
        self.assertEqual(exposed, {"lookup": {"w0": 1}})
        worker = simulation.region.workers["w0"]
        (run,) = worker.runs.values()
        self.assertIs(run.state, fleet.RunState.RUNNING)
        simulation.region.remove_run(worker, run)
        self.assertEqual(exposed, {})


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


class QueueEvidenceTest(unittest.TestCase):
    """What is concluded about queues from proved and withdrawn crashes."""

    WORKERS = 24

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=self.WORKERS)
        self.region = self.simulation.region
        for index in range(self.WORKERS):
            self._submit(f"{index:016x}", "quotes", run_s=60.0)

    def _submit(
        self, job_id: str, queue: str, run_s: float = 0.2
    ) -> list[effects.StartRun]:
        options = LONG | {"budget_s": 100.0, "estimate_s": run_s}
        self.simulation.submit(job_id, queue=queue, tasks=1, **options)
        starts = self.simulation.take_starts()
        for order in starts:
            self.simulation.confirm(order)
        return starts

    def _is_found(self) -> bool:
        return self.region.crashes.is_crashing("holds", self.simulation.now)

    def _crash(self, count: int) -> list[str]:
        """Crash a worker under each of several tasks of one queue."""
        crashed = []
        for index in range(count):
            self.simulation.step(0.1)
            (order,) = self._submit(f"{1000 + index:016x}", "holds")
            self.simulation.crash(order.worker_id)
            crashed.append(order.worker_id)
        return crashed

    def test_queue_is_cleared_once_all_its_crashes_are_taken_back(self):
        """Guards against callers that are refused as workers were cut off."""
        crashed = self._crash(7)
        self.assertTrue(self._is_found())
        for worker_id in crashed:
            self.simulation.poll(worker_id)
        self.assertFalse(self._is_found())
        self.assertEqual(self.region.crashes.down, {})

    def test_one_withdrawal_leaves_the_evidence_of_other_crashes(self):
        """Guards against a queue that one partition clears of proved crashes."""
        *crashed, cut_off = self._crash(7)
        self.assertTrue(self._is_found())
        for worker_id in crashed:
            self.simulation.replace(worker_id)
        self.simulation.poll(cut_off)
        self.assertTrue(self._is_found())

    def test_crashes_that_are_proved_late_are_evidence_against_the_queue(self):
        """Guards against a queue that is never found as its workers fall silent."""
        for index in range(8):
            for order in self._submit(f"{1000 + index:016x}", "holds"):
                self.simulation.lose(order.worker_id)
                self.simulation.expire_lease()
                for again in self.simulation.take_starts():
                    self.simulation.confirm(again)
                self.simulation.poll(
                    order.worker_id,
                    running=(),
                    started_ms=STARTED_AGAIN_MS + index,
                )
        self.assertTrue(self._is_found())

    def test_withdrawal_leaves_what_another_group_has_found(self):
        """Guards against a group that clears a queue that another group blames."""
        queues = self.region.crashes.queues
        now = self.simulation.now
        for group in ("a", "b"):
            records = crash_records.CrashRecords(group, queues=queues)
            losses = [
                crash_records.WorkerLoss(
                    1,
                    now,
                    [],
                    records.add_evidence(["holds"], {"holds": 0.05}, now),
                )
                for _ in range(6)
            ]
            records.find_crashing(["holds"], now)
        for loss in losses:
            records.withdraw("b0", loss, now)
        self.assertEqual(records.evidence, {})
        self.assertTrue(self._is_found())
