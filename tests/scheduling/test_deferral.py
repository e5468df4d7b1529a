"""Jobs that cannot be in time are served late, on capacity that others leave."""

import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import deferral
from pollenladder.scheduling import sharing
from tests.scheduling import simulations


class DeferralTest(unittest.TestCase):
    """Load: a short burst fills all workers for longer than a job can wait.

    Guards against refusals of jobs that could be served late: their callers cannot
    come back before their deadline.
    """

    FILL_S = 0.35

    def setUp(self):
        # Each worker has capacity for two tasks.
        self.simulation = simulations.RegionSimulation(workers=4)
        self.region = self.simulation.region
        self.region.service_shares = {simulations.SERVICE: 0.5}
        self.simulation.submit(
            "fill", tasks=8, estimate_s=self.FILL_S, slack_s=5.0, budget_s=9.0
        )
        self.fill = self.simulation.take_starts()

    def _submit(self, job_id: str, **changes: object) -> None:
        """Submit a job that no other group can serve in time."""
        self.simulation.submit(job_id, may_be_late=True, **changes)

    def _end_fill(self, count: int = 8) -> None:
        self.simulation.now += self.FILL_S
        for order in self.fill[:count]:
            self.simulation.end(order)
        self.simulation.take_answers()

    def test_job_that_cannot_be_in_time_is_served_late(self):
        self._submit("late")
        self.assertEqual(self.simulation.take_answers(), [])
        self.assertTrue(self.region.jobs["late"].is_deferred)
        self._end_fill()
        starts = self.simulation.take_starts()
        self.assertEqual(len(starts), 2)
        self.simulation.now += 0.2
        for order in starts:
            self.simulation.end(order)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)

    def test_jobs_that_can_be_in_time_come_first(self):
        self._submit("late")
        self.simulation.submit("wide", tasks=8, slack_s=1.0)
        self.simulation.submit("urgent", slack_s=0.9)
        self._end_fill(4)
        started = {order.task for order in self.simulation.take_starts()}
        self.assertFalse([name for name in started if "late" in name])

    def test_some_capacity_is_left_for_jobs_that_arrive_meanwhile(self):
        starts = self._count_starts_on_last_room(deferral.FULL_PRESSURE)
        self.assertEqual(starts, 0)

    def test_last_capacity_is_used_if_other_jobs_do_not_wait(self):
        self.assertEqual(self._count_starts_on_last_room(pressure=0.0), 2)

    def _count_starts_on_last_room(self, pressure: float) -> int:
        """Return how many tasks of a deferred job start on the last free CPU."""
        self._submit("late", tasks=2, cpu_milli=32_000)
        self.assertTrue(self.region.jobs["late"].is_deferred)
        self.region.admission.pressure = pressure
        # Room for both tasks, but for nothing else.
        first = self.fill[0].worker_id
        self.simulation.now += self.FILL_S
        for order in self.fill:
            if order.worker_id == first:
                self.simulation.end(order)
        return len(self.simulation.take_starts())

    def test_job_begins_only_as_a_whole(self):
        self._submit("late", tasks=4)
        self._end_fill(3)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.end(self.fill[3])
        self.simulation.end(self.fill[4])
        self.assertEqual(len(self.simulation.take_starts()), 4)

    def test_another_group_is_asked_first(self):
        self.simulation.submit("late")
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.reason, jobs.Reason.NO_ROOM_IN_TIME)
        self._submit("last")
        self.assertTrue(self.region.jobs["last"].is_deferred)

    def test_job_that_would_be_worthless_is_refused_at_once(self):
        self._submit("late", budget_s=0.9)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)

    def test_job_leaves_once_its_result_would_be_worthless(self):
        self._submit("late")
        latest_start_at = deferral.get_latest_start(
            self.region, self.region.jobs["late"]
        )
        self.simulation.now = latest_start_at + 0.01
        self.simulation.step()
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)
        self.assertIs(answer.reason, jobs.Reason.WAITED_TOO_LONG)

    def test_deferred_job_changes_neither_pressure_nor_reported_load(self):
        before = sharing.measure_loads(self.region, self.simulation.now)
        self._submit("late")
        after = sharing.measure_loads(self.region, self.simulation.now)
        self.assertEqual(after, before)
        self._end_fill()
        self.simulation.now += 0.6
        for order in self.simulation.take_starts():
            self.simulation.end(order)
        self.assertEqual(self.region.admission.pressure, 0.0)

    def test_displaced_job_is_deferred_if_no_other_group_has_room(self):
        self._submit("patient", slack_s=0.4)
        self.assertFalse(self.region.jobs["patient"].is_deferred)
        for number in range(8):
            self.simulation.submit(f"urgent{number}", slack_s=0.35)
        self.simulation.take_answers()
        self.simulation.step(0.02)
        self.assertTrue(self.region.jobs["patient"].is_deferred)
