"""Which jobs are admitted, refused at once, and in which order they wait."""

import unittest

from pollenladder.jobs import entities as jobs
from tests.scheduling import simulations


class AdmissionTest(unittest.TestCase):
    """A job that cannot be in time is refused when it comes."""

    def setUp(self):
        # Three workers with room for two tasks each.
        self.world = simulations.RegionSimulation(workers=3)

    def _fill(self) -> list:
        for name in ("f1", "f2", "f3"):
            self.world.submit(name, estimate_s=0.9, slack_s=5.0)
        return self.world.take_starts()

    def test_with_room_all_tasks_start_at_once(self):
        self.world.submit("a1", tasks=6)
        self.assertEqual(len(self.world.take_starts()), 6)

    def test_a_job_that_must_wait_too_long_is_refused_at_once(self):
        self._fill()
        self.world.submit("a1")
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)
        self.assertIs(answer.reason, jobs.Reason.NO_ROOM_IN_TIME)
        self.assertGreater(answer.retry_after_s, 0.5)
        self.assertLess(answer.retry_after_s, 1.0)

    def test_a_job_that_can_wait_is_admitted(self):
        starts = self._fill()
        self.world.submit("a1", slack_s=2.0, budget_s=5.0)
        self.assertEqual(self.world.take_answers(), [])
        for order in starts:
            self.world.confirm(order)
        self.world.now += 0.9
        self.world.end(starts[0])
        self.assertEqual(len(self.world.take_starts()), 1)

    def test_a_job_that_waited_in_vain_is_refused_as_not_run(self):
        self._fill()
        self.world.submit("a1", slack_s=1.2, budget_s=5.0)
        self.assertEqual(self.world.take_answers(), [])
        self.world.step(1.7)
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)
        self.assertIs(answer.reason, jobs.Reason.WAITED_TOO_LONG)

    def test_a_task_that_fits_no_worker_is_refused(self):
        self.world.submit("a1", cpu_milli=65_000)
        (answer,) = self.world.take_answers()
        self.assertIs(answer.reason, jobs.Reason.TOO_LARGE)

    def test_without_workers_all_is_refused(self):
        self.world.list_workers([])
        self.world.submit("a1")
        (answer,) = self.world.take_answers()
        self.assertIs(answer.reason, jobs.Reason.NO_WORKERS)

    def test_a_wide_job_gets_the_time_of_several_rounds(self):
        self.world.submit("a1", tasks=12, budget_s=5.0)
        self.assertEqual(self.world.take_answers(), [])
        self.assertEqual(len(self.world.take_starts()), 6)

    def test_begun_jobs_go_before_others(self):
        starts = self._fill()
        self.world.submit("wide", tasks=2, slack_s=3.0, budget_s=9.0)
        self.world.submit("late", tasks=2, slack_s=2.5, budget_s=9.0)
        for order in starts:
            self.world.confirm(order)
        self.world.now += 0.9
        self.world.end(starts[0])
        (first,) = self.world.take_starts()
        self.assertTrue(first.task.startswith("late"))
        self.world.submit("soon", tasks=2, slack_s=2.0, budget_s=9.0)
        self.world.end(starts[1])
        (second,) = self.world.take_starts()
        self.assertTrue(second.task.startswith("late"))

    def test_short_tasks_of_a_job_may_follow_each_other_on_one_place(self):
        self._fill()
        self.world.list_workers(["w0", "w1", "w2", "w3"])
        self.world.submit("f4", tasks=1, estimate_s=0.9, slack_s=5.0)
        self.world.take_starts()
        self.world.submit("a1", estimate_s=0.06, slack_s=0.1)
        self.assertEqual(self.world.take_answers(), [])
        self.assertEqual(len(self.world.take_starts()), 1)

    def test_progress_that_a_worker_tells_counts_at_once(self):
        starts = self._fill()
        for order in starts:
            self.world.confirm(order)
        self.world.submit("a1")
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)
        self.world.now += 0.1
        for worker_id in ("w0", "w1", "w2"):
            self.world.look(
                worker_id,
                running=tuple(
                    (order.task, order.number, 90.0)
                    for order in starts
                    if order.worker_id == worker_id
                ),
            )
        self.world.submit("a2")
        self.assertEqual(self.world.take_answers(), [])
