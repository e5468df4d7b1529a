"""Tests of an owner that knows that a job may run in another group."""

import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import intake
from pollenladder.scheduling import job_ends
from tests.scheduling import simulations

FIRST, SECOND = 11, 12
BUDGET_S = 5.0


class ElsewhereTest(unittest.TestCase):
    """The owner of a job's home group, which other gateways tell about it."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region

    def _record(self, attempt: int) -> None:
        now = self.simulation.now
        intake.record_elsewhere(self.region, "a1", attempt, BUDGET_S, now)

    def _take_outcomes(self) -> list[jobs.Outcome]:
        self.simulation.step()
        outcomes = [
            effect.answer.outcome
            for effect in self.simulation.effects
            if isinstance(effect, effects.AnswerJob)
        ]
        self.simulation.effects.clear()
        return outcomes

    def test_second_attempt_does_not_start_here(self):
        # Guards against two groups that execute one job.
        self._record(FIRST)
        self.simulation.submit("a1", attempt=SECOND)
        self.assertEqual(self._take_outcomes(), [jobs.Outcome.GIVEN_UP])
        self.assertNotIn("a1", self.region.jobs)

    def test_second_attempt_in_progress_here_ends(self):
        self.simulation.submit("a1", attempt=SECOND)
        self._record(FIRST)
        self.assertEqual(self._take_outcomes(), [jobs.Outcome.GIVEN_UP])
        self.assertNotIn("a1", self.region.jobs)

    def test_attempt_that_is_here_meanwhile_goes_on(self):
        self.simulation.submit("a1", attempt=FIRST)
        self._record(FIRST)
        self.assertIn("a1", self.region.jobs)

    def test_job_starts_once_no_attempt_is_left_elsewhere(self):
        # Guards against one gateway that releases the attempt of another.
        self._record(FIRST)
        self._record(SECOND)
        job_ends.release_refusal(self.region, "a1", FIRST)
        self.simulation.submit("a1", attempt=13)
        self.assertNotIn("a1", self.region.jobs)
        job_ends.release_refusal(self.region, "a1", SECOND)
        self.simulation.submit("a1", attempt=13)
        self.assertIn("a1", self.region.jobs)

    def test_job_starts_after_the_deadline_of_the_attempt_elsewhere(self):
        self._record(FIRST)
        self.simulation.step(BUDGET_S + 3.0)
        self.simulation.submit("a1", attempt=SECOND)
        self.assertIn("a1", self.region.jobs)

    def test_attempt_of_a_group_that_is_gone_starts_here(self):
        self._record(FIRST)
        self.simulation.submit("a1", attempt=FIRST, may_run_elsewhere=True)
        self.assertIn("a1", self.region.jobs)
