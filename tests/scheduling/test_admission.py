"""Tests of admission, refusal and the order of waiting jobs."""

import unittest

from pollenladder.jobs import entities as jobs
from tests.scheduling import simulations


class AdmissionTest(unittest.TestCase):
    """Jobs that cannot be in time are refused on arrival."""

    def setUp(self):
        # Each worker has capacity for two tasks.
        self.simulation = simulations.RegionSimulation(workers=3)

    def _fill(self) -> list:
        for name in ("f1", "f2", "f3"):
            self.simulation.submit(name, estimate_s=0.9, slack_s=5.0)
        return self.simulation.take_starts()

    def test_with_capacity_all_tasks_start_at_once(self):
        self.simulation.submit("a1", tasks=6)
        self.assertEqual(len(self.simulation.take_starts()), 6)

    def test_a_job_with_too_long_a_wait_is_refused_at_once(self):
        self._fill()
        self.simulation.submit("a1")
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)
        self.assertIs(answer.reason, jobs.Reason.NO_ROOM_IN_TIME)
        self.assertGreater(answer.retry_after_s, 0.5)
        self.assertLess(answer.retry_after_s, 1.0)

    def test_a_job_that_can_wait_is_admitted(self):
        starts = self._fill()
        self.simulation.submit("a1", slack_s=2.0, budget_s=5.0)
        self.assertEqual(self.simulation.take_answers(), [])
        for order in starts:
            self.simulation.confirm(order)
        self.simulation.now += 0.9
        self.simulation.end(starts[0])
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_a_job_that_waited_too_long_is_refused_as_not_run(self):
        self._fill()
        self.simulation.submit("a1", slack_s=1.2, budget_s=5.0)
        self.assertEqual(self.simulation.take_answers(), [])
        self.simulation.step(1.7)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)
        self.assertIs(answer.reason, jobs.Reason.WAITED_TOO_LONG)

    def test_a_task_that_fits_no_worker_is_refused(self):
        self.simulation.submit("a1", cpu_milli=65_000)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.reason, jobs.Reason.TOO_LARGE)

    def test_without_workers_jobs_are_refused(self):
        self.simulation.list_workers([])
        self.simulation.submit("a1")
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.reason, jobs.Reason.NO_WORKERS)

    def test_a_wide_job_gets_time_for_several_waves(self):
        self.simulation.submit("a1", tasks=12, budget_s=5.0)
        self.assertEqual(self.simulation.take_answers(), [])
        self.assertEqual(len(self.simulation.take_starts()), 6)

    def test_begun_jobs_are_placed_first(self):
        starts = self._fill()
        self.simulation.submit("wide", tasks=2, slack_s=3.0, budget_s=9.0)
        self.simulation.submit("late", tasks=2, slack_s=2.5, budget_s=9.0)
        for order in starts:
            self.simulation.confirm(order)
        self.simulation.now += 0.9
        self.simulation.end(starts[0])
        (first,) = self.simulation.take_starts()
        self.assertTrue(first.task.startswith("late"))
        self.simulation.submit("soon", tasks=2, slack_s=2.0, budget_s=9.0)
        self.simulation.end(starts[1])
        (second,) = self.simulation.take_starts()
        self.assertTrue(second.task.startswith("late"))

    def test_short_tasks_of_a_job_may_share_a_slot_in_turn(self):
        self._fill()
        self.simulation.list_workers(["w0", "w1", "w2", "w3"])
        self.simulation.submit("f4", tasks=1, estimate_s=0.9, slack_s=5.0)
        self.simulation.take_starts()
        self.simulation.submit("a1", estimate_s=0.06, slack_s=0.1)
        self.assertEqual(self.simulation.take_answers(), [])
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_reported_progress_shortens_the_forecast_at_once(self):
        starts = self._fill()
        for order in starts:
            self.simulation.confirm(order)
        self.simulation.submit("a1")
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)
        self.simulation.now += 0.1
        for worker_id in ("w0", "w1", "w2"):
            self.simulation.poll(
                worker_id,
                running=tuple(
                    (order.task, order.number, 90.0)
                    for order in starts
                    if order.worker_id == worker_id
                ),
            )
        self.simulation.submit("a2")
        self.assertEqual(self.simulation.take_answers(), [])
