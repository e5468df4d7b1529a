"""Jobs of very many tasks.

The tests guard against an owner that runs out of memory by a crowd of them, and against
jobs that are admitted though their callers will have left before they can end.
"""

import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import large_jobs
from tests.scheduling import simulations


class LargeJobsTest(unittest.TestCase):
    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=4)
        self.simulation.region.max_large_tasks = 500

    def _submit(self, job_id: str, **changes: object) -> jobs.Reason | None:
        """Submit a job of small tasks; return why it was refused, or None."""
        self.simulation.submit(job_id, cpu_milli=1, memory_mb=1, **changes)
        answers = [
            effect.answer
            for effect in self.simulation.effects
            if isinstance(effect, effects.AnswerJob)
            and effect.answer.job_id == job_id
        ]
        refused = [a for a in answers if a.outcome is jobs.Outcome.REFUSED]
        return refused[0].reason if refused else None

    def test_the_sum_of_their_tasks_is_limited(self):
        self.assertIsNone(self._submit("a1", tasks=300))
        self.assertIs(self._submit("a2", tasks=300), jobs.Reason.OWNER_BUSY)
        self.assertIsNone(self._submit("a3", tasks=200))

    def test_ordinary_jobs_have_room_beside_them(self):
        self.assertIsNone(self._submit("a1", tasks=500))
        for number in range(20):
            job_id = f"b{number}"
            tasks = large_jobs.ORDINARY_TASKS
            self.assertIsNone(self._submit(job_id, tasks=tasks))

    def test_a_single_one_is_admitted(self):
        self.assertIsNone(self._submit("a1", tasks=10_000))

    def test_one_that_may_have_begun_is_not_refused(self):
        self.assertIsNone(self._submit("a1", tasks=500))
        self.assertIsNone(
            self._submit("a2", tasks=500, may_have_begun=True, first_run=33)
        )

    def test_the_limit_follows_the_memory(self):
        for memory_mb in (160, 300, 552):
            memory_bytes = memory_mb * 1024 * 1024
            tasks = large_jobs.fit(memory_bytes)
            self.assertLess(tasks * large_jobs.TASK_BYTES, memory_bytes / 10)


class HopelessJobTest(unittest.TestCase):
    """Jobs of more waves of tasks than their callers wait for."""

    def _submit(self, **changes: object) -> list[str]:
        simulation = simulations.RegionSimulation(workers=1)
        simulation.submit("a1", **changes)
        return [event.event for event in simulation.log_events]

    def test_it_is_refused_at_once(self):
        # 100 waves of 0.2 s, and the caller waits for 2 s.
        self.assertIn("job_refused", self._submit(tasks=200))

    def test_it_is_admitted_while_its_end_is_in_doubt(self):
        # 20 waves.
        self.assertIn("job_admitted", self._submit(tasks=40))

    def test_it_is_not_refused_if_it_may_have_begun(self):
        events = self._submit(tasks=200, may_have_begun=True, first_run=33)
        self.assertIn("job_admitted", events)
