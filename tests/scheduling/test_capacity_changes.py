"""Workers whose capacity changes, and workers that do not guard it."""

import dataclasses
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import maintenance
from tests.scheduling import simulations

JOB = "a" * 16
OTHER = "b" * 16
RESTARTED_MS = simulations.STARTED_MS + 5_000


class CapacityTest(unittest.TestCase):
    """One worker of 64 cores; a task needs 27."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region
        self.worker = self.region.workers["w0"]

    def _resize(self, cores: int) -> None:
        capacity = jobs.Resources(cores * 1000, 131_072)
        listing = dataclasses.replace(self.worker.listing, capacity=capacity)
        maintenance.update_workers(self.region, [listing], self.simulation.now)
        self.simulation.step()

    def _submit(self, job_id: str, tasks: int = 1) -> int:
        self.simulation.submit(job_id, tasks=tasks, stretch=50.0, budget_s=50.0)
        return len(self.simulation.take_starts())

    def test_shrunken_worker_is_not_filled_beyond_its_capacity(self):
        self.assertEqual(self._submit(JOB), 1)
        self._resize(40)
        self.assertEqual(self._submit(OTHER), 0)
        self._resize(64)
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_run_that_is_being_stopped_still_counts(self):
        """Guards against starts beside a run that has not ended yet."""
        self._submit(JOB, tasks=2)
        self.simulation.step(0.1)
        self.simulation.poll("w0")
        self.simulation.submit(OTHER, tasks=1, stretch=50.0, budget_s=50.0)
        from_job = self.region.jobs[JOB]
        self.simulation.step(from_job.deadline_at - self.simulation.now + 0.01)
        self.assertEqual(len(self.simulation.take_starts()), 0)

    def test_speed_is_learned_anew_for_another_process(self):
        self.worker.speed = fleet.SpeedEstimate(0.5, 9.0)
        self.simulation.poll("w0", started_ms=RESTARTED_MS)
        self.assertEqual(self.worker.speed, fleet.SpeedEstimate())


class UnguardedTest(unittest.TestCase):
    """A new owner finds a run of a job that it does not know yet."""

    ORPHAN = ((f"{JOB}.0.0.0", 1, 10.0),)

    def _count_starts(self, unguarded: frozenset[str]) -> int:
        simulation = simulations.RegionSimulation(workers=1)
        maintenance.update_services(simulation.region, {}, unguarded)
        simulation.poll("w0", running=self.ORPHAN)
        simulation.submit(OTHER, tasks=2, stretch=50.0, budget_s=50.0)
        return len(simulation.take_starts())

    def test_unknown_run_fills_a_worker_that_does_not_guard_its_capacity(self):
        """Guards against a start beyond the capacity after a takeover."""
        unguarded = frozenset({simulations.SERVICE})
        self.assertEqual(self._count_starts(unguarded), 0)

    def test_worker_that_guards_its_capacity_is_used_once_the_run_is_over(self):
        """Guards against a start that extends the lease of an unclaimed run.

        One lease applies to all runs of a worker, and an earlier owner may still
        count the one that it has granted.
        """
        simulation = simulations.RegionSimulation(workers=1)
        simulation.poll("w0", running=self.ORPHAN)
        simulation.submit(OTHER, tasks=2, stretch=50.0, budget_s=50.0)
        self.assertEqual(len(simulation.take_starts()), 0)
        simulation.now += 0.1
        simulation.poll("w0", running=())
        self.assertEqual(len(simulation.take_starts()), 2)

    def test_worker_is_used_once_the_job_is_known(self):
        simulation = simulations.RegionSimulation(workers=1)
        unguarded = frozenset({simulations.SERVICE})
        maintenance.update_services(simulation.region, {}, unguarded)
        simulation.poll("w0", running=self.ORPHAN)
        options = {"stretch": 50.0, "budget_s": 50.0, "tasks": 1}
        simulation.submit(JOB, may_have_begun=True, **options)
        simulation.submit(OTHER, **options)
        self.assertEqual(len(simulation.take_starts()), 1)
