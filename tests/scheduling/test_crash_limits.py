"""Tests of how many workers a task or a queue may take down."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import exposure
from tests.scheduling import simulations

LONG = {"budget_s": 20.0, "stretch": 50.0, "estimate_s": 0.5}
STARTED_AGAIN_MS = simulations.STARTED_MS + 5_000


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
