"""Waiting jobs that more urgent ones push back leave before their latest start."""

import unittest
from unittest import mock

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import displacement
from pollenladder.scheduling import forecast
from pollenladder.scheduling import sharing
from tests.scheduling import simulations


class DisplacementTest(unittest.TestCase):
    """Load: a burst of urgent jobs after a job that can wait was admitted.

    Guards against refusals at the latest start of a job, when no other group can
    serve it in time.
    """

    def setUp(self):
        # One of two groups, with capacity for four tasks at once.
        self.simulation = simulations.RegionSimulation(workers=2)
        self.region = self.simulation.region
        self.region.service_shares = {simulations.SERVICE: 0.5}
        self.simulation.submit("first", tasks=4, slack_s=5.0, budget_s=9.0)
        self.starts = self.simulation.take_starts()

    def _submit_burst(self, count: int) -> None:
        for number in range(count):
            self.simulation.submit(
                f"urgent{number}", tasks=4, slack_s=1.15, budget_s=9.0
            )

    def _take_displaced(self) -> list[str]:
        return [
            answer.job_id
            for answer in self.simulation.take_answers()
            if answer.reason is jobs.Reason.WAITED_TOO_LONG
        ]

    def test_displaced_job_is_refused_while_others_can_still_serve_it(self):
        self.simulation.submit("patient", tasks=4, slack_s=1.2, budget_s=9.0)
        self.assertEqual(self.simulation.take_answers(), [])
        self._submit_burst(8)
        self.simulation.take_answers()
        latest_start_at = self.region.jobs["patient"].latest_start_at
        self.simulation.step(0.02)
        (answer,) = self.simulation.take_answers()
        self.assertEqual(answer.job_id, "patient")
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)
        self.assertLess(self.simulation.now, latest_start_at - 1.0)
        self.assertGreater(answer.retry_after_s, 0.0)
        # A second submission must not run here while another group may run it.
        self.assertIn("patient", self.region.refusals)

    def test_job_that_can_still_start_in_time_stays(self):
        self.simulation.submit("patient", tasks=4, slack_s=1.2, budget_s=9.0)
        self._submit_burst(7)
        self.simulation.take_answers()
        self.simulation.step(0.02)
        self.assertEqual(self._take_displaced(), [])

    def test_job_with_a_run_is_never_displaced(self):
        self.simulation.submit("begun", tasks=4, slack_s=1.2, budget_s=9.0)
        self.simulation.end(self.starts[0])
        self.assertTrue(self.region.jobs["begun"].has_begun)
        self._submit_burst(8)
        self.simulation.take_answers()
        for _ in range(100):
            self.simulation.step(0.02)
        self.assertNotIn("begun", self._take_displaced())

    def test_job_that_may_have_begun_elsewhere_is_never_displaced(self):
        self.simulation.submit(
            "moved", tasks=4, slack_s=1.2, budget_s=9.0, may_have_begun=True
        )
        self._submit_burst(8)
        self.simulation.take_answers()
        self.simulation.step(0.02)
        self.assertNotIn("moved", self._take_displaced())

    def test_nothing_is_displaced_while_no_worker_is_available(self):
        self.simulation.submit("patient", tasks=4, slack_s=1.2, budget_s=9.0)
        for worker in self.region.workers.values():
            worker.is_reachable = False
        self.simulation.step(0.1)
        self.assertEqual(self._take_displaced(), [])

    def test_removing_one_job_keeps_those_behind_it(self):
        # Two jobs were pushed back; once the first is gone, the second can start
        # in time and must stay.
        self.simulation.submit("patient1", tasks=4, slack_s=1.2, budget_s=9.0)
        self.simulation.submit("patient2", tasks=4, slack_s=1.45, budget_s=9.0)
        self._submit_burst(8)
        self.simulation.take_answers()
        self.simulation.step(0.02)
        self.assertEqual(self._take_displaced(), ["patient1"])

    def test_one_step_checks_a_bounded_number_of_jobs(self):
        for number in range(3 * displacement.MAX_CHECKS):
            self.simulation.submit(
                f"j{number}", tasks=1, slack_s=60.0, budget_s=99.0
            )
        with mock.patch.object(
            forecast, "forecast_wait_s", wraps=forecast.forecast_wait_s
        ) as forecasts:
            self.simulation.step(0.02)
        self.assertLessEqual(forecasts.call_count, displacement.MAX_CHECKS)


class SharingTest(unittest.TestCase):
    """A group whose jobs wait reports no room."""

    def test_group_with_waiting_jobs_has_no_room(self):
        simulation = simulations.RegionSimulation(workers=1)
        simulation.submit("first", slack_s=5.0)
        simulation.submit("waiting", slack_s=5.0)
        loads = sharing.measure_loads(simulation.region, simulation.now)
        found = sharing.list_with_room(
            simulations.build_submission("a1"),
            {"g": loads[simulations.SERVICE]},
        )
        self.assertEqual(found, {})
