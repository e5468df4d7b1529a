"""Which jobs show a lack of capacity, among those that waited and ended late."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.scheduling import intake
from tests.scheduling import simulations


class LongRunTest(unittest.TestCase):
    """Load: every job waits a little, starts in time and runs far too long.

    Guards against pressure that rises because of run times: at pressure 1, jobs
    were refused while workers were idle.
    """

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region

    def _run_job(self, name: str, wait_s: float, run_s: float) -> None:
        """Occupy the worker, and run a job that has to wait for it."""
        self.simulation.submit(f"{name}-first", slack_s=2.0)
        first = self.simulation.take_starts()
        for order in first:
            self.simulation.confirm(order)
        self.simulation.submit(name, slack_s=0.01)
        self.assertTrue(self.region.jobs[name].had_to_wait)
        self.simulation.now += wait_s
        for order in first:
            self.simulation.end(order)
        starts = self.simulation.take_starts()
        for order in starts:
            self.simulation.confirm(order)
        self.simulation.now += run_s
        for order in starts:
            self.simulation.end(order)
        self.simulation.take_answers()

    def test_jobs_that_start_in_time_and_run_long_add_no_pressure(self):
        for number in range(5):
            self._run_job(f"j{number}", wait_s=0.25, run_s=0.45)
        self.assertEqual(self.region.admission.pressure, 0.0)

    def test_jobs_that_start_late_add_pressure(self):
        job_id = "a1"
        self.simulation.submit("first", slack_s=5.0, budget_s=9.0)
        first = self.simulation.take_starts()
        self.simulation.submit(job_id, slack_s=0.5)
        # One task starts in time, the other one too late.
        self.simulation.end(first[0])
        self.simulation.now += 1.0
        self.simulation.end(first[1])
        for order in self.simulation.take_starts():
            self.simulation.end(order)
        self.assertNotIn(job_id, self.region.jobs)
        self.assertGreater(self.region.admission.pressure, 0.0)

    def test_a_job_refused_after_its_wait_adds_pressure(self):
        self.simulation.submit("first", slack_s=5.0, budget_s=9.0)
        self.simulation.submit("a1", slack_s=0.5)
        self.simulation.step(1.0)
        self.assertNotIn("a1", self.region.jobs)
        self.assertGreater(self.region.admission.pressure, 0.0)


class DisturbedJobTest(unittest.TestCase):
    """Jobs whose end says nothing about the capacity."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=2)
        self.region = self.simulation.region
        self.simulation.submit("first", tasks=3, slack_s=2.0)
        self.first = self.simulation.take_starts()
        self.simulation.submit("a1", slack_s=0.5)
        for order in self.first:
            self.simulation.end(order)
        self.starts = self.simulation.take_starts()
        self.assertTrue(self.region.jobs["a1"].had_to_wait)

    def test_a_run_that_is_repeated_after_a_fault_adds_no_pressure(self):
        self.simulation.now += 1.2
        self.simulation.end(self.starts[0], fleet.RunEnd.FAILED)
        for order in self.starts[1:] + self.simulation.take_starts():
            self.simulation.end(order)
        self.assertNotIn("a1", self.region.jobs)
        self.assertEqual(self.region.admission.pressure, 0.0)

    def test_a_cancelled_job_changes_nothing(self):
        self.region.admission.pressure = 0.5
        intake.cancel_job(self.region, "a1", self.simulation.now)
        self.assertEqual(self.region.admission.pressure, 0.5)
