"""Decisions that fail unexpectedly do not hold up the others."""

import unittest
from unittest import mock

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import placement
from pollenladder.scheduling import speed_learning
from pollenladder.scheduling import stalls
from pollenladder.scheduling import tables
from tests.scheduling import simulations

Decision = effects.Decision


class FailuresTest(unittest.TestCase):
    """A region in which one decision raises an exception each time."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation()

    def _take_failures(self) -> list[tuple[Decision, str]]:
        failed = [
            effect
            for effect in self.simulation.effects
            if isinstance(effect, effects.DecisionFailed)
        ]
        self.simulation.effects = [
            effect for effect in self.simulation.effects if effect not in failed
        ]
        return [(effect.decision, effect.subject) for effect in failed]

    def _take_answers(self) -> dict[str, jobs.Answer]:
        return {
            effect.answer.job_id: effect.answer
            for effect in self.simulation.effects
            if isinstance(effect, effects.AnswerJob)
        }

    def test_job_whose_placement_fails_is_refused_and_others_start(self):
        # Guards against one job that keeps all others from workers.
        place_job = placement._place_job

        def fail(
            region: tables.Region, job: tables.Job, *arguments: object
        ) -> bool:
            if job.submission.job_id == "a1":
                raise ZeroDivisionError
            return place_job(region, job, *arguments)

        with mock.patch.object(placement, "_place_job", fail):
            self.simulation.submit("a1")
            self.simulation.submit("b1")
            self.simulation.step(0.02)
        self.assertEqual(
            {order.task for order in self.simulation.take_starts()},
            {"b1.0.0.0", "b1.0.0.1"},
        )
        self.assertEqual(
            self._take_failures(), [(Decision.JOB_PLACEMENT, "a1")]
        )
        answer = self._take_answers()["a1"]
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)
        self.assertIs(answer.reason, jobs.Reason.INTERNAL_ERROR)
        self.assertGreater(answer.retry_after_s, 0.0)

    def test_begun_job_whose_placement_fails_is_not_reported_as_not_run(self):
        self.simulation.submit("a1")
        self.simulation.region.failed_jobs.add("a1")
        self.simulation.step(0.02)
        answer = self._take_answers()["a1"]
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)
        self.assertEqual(len(self.simulation.take_stops()), 2)

    def test_job_is_answered_if_nothing_can_be_learned_from_its_runs(self):
        # Guards against a task that is done but counts as active for good.
        self.simulation.submit("a1")
        orders = self.simulation.take_starts()
        for order in orders:
            self.simulation.confirm(order)
        self.simulation.now += 0.2
        with mock.patch.object(
            speed_learning, "record_duration", side_effect=OverflowError
        ):
            for order in orders:
                self.simulation.end(order)
        self.assertEqual(
            {decision for decision, _ in self._take_failures()},
            {Decision.LEARNING},
        )
        answer = self._take_answers()["a1"]
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)

    def test_poll_is_processed_although_one_part_fails(self):
        # Guards against a worker whose ends are never noticed.
        self.simulation.submit("a1")
        orders = self.simulation.take_starts()
        for order in orders:
            self.simulation.confirm(order)
        with mock.patch.object(
            stalls, "measure_slowness", side_effect=ZeroDivisionError
        ):
            self.simulation.poll(orders[0].worker_id)
            for order in orders:
                self.simulation.end(order)
        self.assertIn(
            (Decision.STALLS, orders[0].worker_id), self._take_failures()
        )
        answer = self._take_answers()["a1"]
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)

    def test_maintenance_goes_on_although_one_part_fails(self):
        # Guards against jobs that wait beyond their deadline.
        def fail(region: tables.Region, now: float) -> None:
            raise ValueError

        parts = ((Decision.DISPLACEMENT, fail), *maintenance._PARTS)
        simulation = simulations.RegionSimulation(workers=1)
        self.simulation = simulation
        simulation.submit("a1", tasks=2, budget_s=0.5)
        with mock.patch.object(maintenance, "_PARTS", parts):
            simulation.step(0.6)
        self.assertEqual(self._take_failures(), [(Decision.DISPLACEMENT, "")])
        answer = self._take_answers()["a1"]
        self.assertIs(answer.reason, jobs.Reason.DEADLINE)
