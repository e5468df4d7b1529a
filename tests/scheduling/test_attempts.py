"""Tests of jobs that are submitted again while an earlier attempt is open."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import intake
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import recovery
from tests.scheduling import simulations

FIRST = simulations.get_attempt("g1")
SECOND = simulations.get_attempt("g2")


class AttemptsTest(unittest.TestCase):
    """A job has two attempts, at two gateways."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation()
        self.simulation.submit("a1", budget_s=1.0)
        self.orders = self.simulation.take_starts()
        for order in self.orders:
            self.simulation.confirm(order)
        self.simulation.now += 0.4
        self.simulation.submit("a1", gateway_id="g2", budget_s=1.0)

    @property
    def region(self):
        return self.simulation.region

    def _forward_first_again(self) -> None:
        self.simulation.submit(
            "a1", budget_s=0.5, may_have_begun=True, first_run=33
        )

    def _cancel(
        self, number: int, reason: jobs.Reason = jobs.Reason.CALLER_LEFT
    ) -> bool:
        known = intake.cancel_attempt(
            self.region, "a1", number, reason, self.simulation.now
        )
        self.simulation.step()
        return known

    def _complete(self) -> None:
        for order in self.orders:
            self.simulation.now += 0.05
            self.simulation.end(order)

    def _take_answers(self) -> dict[str, tuple[int, jobs.Outcome]]:
        """Return the attempt and the outcome by gateway."""
        found = [
            effect
            for effect in self.simulation.effects
            if isinstance(effect, effects.AnswerJob)
        ]
        self.simulation.take_answers()
        return {
            effect.gateway_id: (effect.answer.attempt, effect.answer.outcome)
            for effect in found
        }

    def test_gateway_that_wakes_and_cancels_leaves_the_job_to_another(self):
        # Before, a gateway that woke forwarded its job again, became the job's
        # only gateway, and cancelled it, while another gateway's caller waited.
        self._forward_first_again()
        self.assertTrue(self._cancel(FIRST))
        self.assertEqual(self.simulation.take_stops(), [])
        self._complete()
        self.assertEqual(
            self._take_answers(), {"g2": (SECOND, jobs.Outcome.COMPLETED)}
        )

    def test_deadline_of_one_attempt_leaves_the_job_to_another(self):
        self._forward_first_again()
        self._cancel(FIRST, jobs.Reason.DEADLINE)
        self.assertIn("a1", self.region.jobs)

    def test_every_attempt_gets_the_answer_with_its_own_number(self):
        # Before, only the gateway that had submitted last was answered, and the
        # callers of the other one waited until their deadline.
        self._complete()
        completed = jobs.Outcome.COMPLETED
        self.assertEqual(
            self._take_answers(),
            {"g1": (FIRST, completed), "g2": (SECOND, completed)},
        )

    def test_job_ends_with_its_last_attempt(self):
        self._cancel(FIRST)
        self._cancel(SECOND)
        stopped = {order.task for order in self.simulation.take_stops()}
        self.assertEqual(stopped, {order.task for order in self.orders})
        # Nobody waits for an answer any more.
        self.assertEqual(self.simulation.take_answers(), [])

    def test_cancellation_of_an_unknown_attempt_is_ignored(self):
        # Guards against a late cancellation that ends the attempt after it.
        self._cancel(FIRST)
        self.assertFalse(self._cancel(FIRST))
        self.assertIn("a1", self.region.jobs)

    def test_attempts_of_one_gateway_are_told_apart(self):
        # Guards against the cancellation of an earlier attempt of the same
        # gateway that arrives after the next one.
        self.simulation.submit("a1", gateway_id="g2", attempt=77)
        self._cancel(FIRST)
        self._cancel(SECOND)
        self.assertEqual(set(self.region.jobs["a1"].attempts), {77})

    def test_request_to_cancel_ends_the_job_for_all_attempts(self):
        self.assertTrue(
            intake.cancel_job(self.region, "a1", self.simulation.now)
        )
        self.simulation.step()
        cancelled = jobs.Outcome.CANCELLED
        self.assertEqual(
            self._take_answers(),
            {"g1": (FIRST, cancelled), "g2": (SECOND, cancelled)},
        )

    def test_job_lasts_until_the_deadline_of_its_latest_attempt(self):
        # Before, it was ended at the deadline of the first attempt.
        self.simulation.step(0.7)
        self.assertIn("a1", self.region.jobs)
        self.simulation.step(0.4)
        self.assertNotIn("a1", self.region.jobs)

    def test_repeated_answer_names_the_new_attempt(self):
        # Guards against a repeated answer that its gateway ignores.
        self._complete()
        self._take_answers()
        self.simulation.submit("a1", gateway_id="g3")
        self.assertEqual(
            self._take_answers(),
            {"g3": (simulations.get_attempt("g3"), jobs.Outcome.COMPLETED)},
        )

    def test_owner_that_claims_again_keeps_all_attempts(self):
        self.simulation.region = recovery.rebuild_region(
            self.region, 2, self.simulation.now
        )
        self.assertEqual(list(self.region.jobs["a1"].attempts), [FIRST, SECOND])
        self.simulation.step(9.0)
        given_up = jobs.Outcome.GIVEN_UP
        self.assertEqual(
            self._take_answers(),
            {"g1": (FIRST, given_up), "g2": (SECOND, given_up)},
        )

    def test_crashes_are_told_to_the_gateways_of_all_attempts(self):
        # Guards against a next owner that starts a crashing task once more.
        self.simulation.crash(self.orders[0].worker_id)
        told = {
            (effect.gateway_id, effect.attempt)
            for effect in self.simulation.effects
            if isinstance(effect, effects.ReportCrashes)
        }
        self.assertEqual(told, {("g1", FIRST), ("g2", SECOND)})

    def test_job_that_has_failed_is_failed_for_all_attempts(self):
        self._cancel(FIRST)
        self.simulation.submit("a1", gateway_id="g3")
        for _ in range(3):
            for order in self.simulation.take_starts() or self.orders:
                if "a1" in self.region.jobs:
                    self.simulation.end(order, fleet.RunEnd.FAILED)
        outcomes = {outcome for _, outcome in self._take_answers().values()}
        self.assertEqual(outcomes, {jobs.Outcome.FAILED})


class ExpiredTest(unittest.TestCase):
    """A job that is forwarded after its deadline."""

    def test_expired_job_that_is_forwarded_after_a_pause_starts_nothing(self):
        # Before, a gateway that woke forwarded its expired jobs, and the owner
        # started their tasks until its next round of maintenance.
        simulation = simulations.RegionSimulation()
        simulation.submit(
            "a1", budget_s=-0.5, may_have_begun=True, first_run=33
        )
        self.assertEqual(simulation.take_starts(), [])
        (answer,) = simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)
        self.assertIs(answer.reason, jobs.Reason.DEADLINE)


class RefusedAttemptsTest(unittest.TestCase):
    """A job with two attempts that another group may serve."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region
        self.region.service_shares = {simulations.SERVICE: 0.5}

    def test_only_one_gateway_is_told_that_the_job_may_run_elsewhere(self):
        # Guards against two gateways that start a job in two other groups.
        for gateway_id in ("g1", "g2"):
            self.simulation.submit("a1", gateway_id, tasks=2)
        job = self.region.jobs["a1"]
        job_ends.answer_attempts(
            self.region,
            "a1",
            job.attempts,
            jobs.Outcome.REFUSED,
            jobs.Reason.WAITED_TOO_LONG,
        )
        job_ends.record_refusal(self.region, job)
        self.simulation.step()
        outcomes = {
            a.attempt: a.outcome for a in self.simulation.take_answers()
        }
        self.assertEqual(
            outcomes,
            {FIRST: jobs.Outcome.GIVEN_UP, SECOND: jobs.Outcome.REFUSED},
        )
        self.assertEqual(self.region.refusals["a1"].attempts, {SECOND})

    def test_another_attempt_does_not_release_the_refusal(self):
        # Before, the answer of an attempt that another group had refused let the
        # job start here while the group of this attempt still ran it.
        self.simulation.submit("a1", cpu_milli=10**9)
        job_ends.release_refusal(self.region, "a1", SECOND)
        self.simulation.take_answers()
        self.simulation.submit("a1", "g3", tasks=1)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)
        job_ends.release_refusal(self.region, "a1", FIRST)
        self.simulation.submit("a1", "g3", tasks=1)
        self.assertIn("a1", self.region.jobs)

    def test_owner_that_claims_again_still_refuses_what_may_run_elsewhere(self):
        # Guards against a second run beside that of another group.
        self.simulation.submit("a1", cpu_milli=10**9)
        self.simulation.take_answers()
        self.simulation.region = recovery.rebuild_region(
            self.region, 2, self.simulation.now
        )
        self.simulation.list_workers(["w0"])
        self.simulation.submit("a1", "g2", tasks=1)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)
        self.assertEqual(self.simulation.take_starts(), [])
