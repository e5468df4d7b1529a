"""Tests of the life cycle of runs, with failing orders and lost replies."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import intake
from pollenladder.scheduling import replies
from pollenladder.scheduling import runs
from tests.scheduling import simulations


class StartTest(unittest.TestCase):
    """A task gets another run only when its last run is over."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=3)
        self.simulation.submit("a1", tasks=1, budget_s=5.0)
        (self.order,) = self.simulation.take_starts()

    def _step_and_take_starts(self) -> list:
        self.simulation.step(0.001)
        return self.simulation.take_starts()

    def test_a_confirmed_run_ends_and_the_job_is_answered(self):
        self.simulation.confirm(self.order)
        self.simulation.now += 0.2
        self.simulation.end(self.order)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)

    def test_a_rejected_start_is_retried_elsewhere_at_once(self):
        cases = (
            fleet.StartReply.NO_ROOM,
            fleet.StartReply.UNHEALTHY,
            fleet.StartReply.OTHER_INCARNATION,
            fleet.StartReply.NOT_SENT,
            fleet.StartReply.LATE,
        )
        for reply in cases:
            with self.subTest(reply=reply):
                self.setUp()
                self.simulation.reply(self.order, reply)
                (second,) = self.simulation.take_starts()
                self.assertNotEqual(second.worker_id, self.order.worker_id)
                self.assertGreater(second.number, self.order.number)

    def test_an_old_run_number_is_followed_by_a_much_higher_one(self):
        self.simulation.reply(self.order, fleet.StartReply.OLD_RUN)
        (second,) = self.simulation.take_starts()
        step = runs.RUN_NUMBER_STEP
        self.assertGreater(second.number, self.order.number + step)

    def test_without_a_reply_nothing_starts_until_a_stop_is_confirmed(self):
        self.simulation.reply(self.order, fleet.StartReply.NO_REPLY)
        self.assertEqual(self._step_and_take_starts(), [])
        self.simulation.now += 0.01
        self.simulation.poll(self.order.worker_id, running=())
        (stop,) = self.simulation.take_stops()
        self.assertEqual(self._step_and_take_starts(), [])
        self.simulation.reply_stop(stop, fleet.StopReply.STOPPED)
        self.simulation.now += 0.01
        self.simulation.poll(self.order.worker_id, running=())
        (second,) = self.simulation.take_starts()
        self.assertGreater(second.number, self.order.number)

    def test_a_stop_without_a_reply_is_sent_again(self):
        self.simulation.reply(self.order, fleet.StartReply.NO_REPLY)
        self.simulation.now += 0.01
        self.simulation.poll(self.order.worker_id, running=())
        (stop,) = self.simulation.take_stops()
        self.simulation.reply_stop(stop, fleet.StopReply.NO_REPLY)
        self.simulation.step(runs.STOP_RETRY_S + 0.01)
        self.assertEqual(self.simulation.take_stops(), [stop])
        self.assertEqual(self.simulation.take_starts(), [])

    def test_a_run_reported_after_a_lost_reply_continues(self):
        self.simulation.reply(self.order, fleet.StartReply.NO_REPLY)
        self.simulation.now += 0.01
        seen = ((self.order.task, self.order.number, 5.0),)
        self.simulation.poll(self.order.worker_id, running=seen)
        self.assertEqual(self.simulation.take_stops(), [])
        self.simulation.end(self.order)
        self.assertEqual(len(self.simulation.take_answers()), 1)

    def test_a_poll_sent_before_the_start_does_not_affect_the_run(self):
        self.simulation.now += 0.01
        self.simulation.confirm(self.order)
        self.simulation.poll(self.order.worker_id, running=(), sent_ago_s=0.2)
        self.assertEqual(self.simulation.take_starts(), [])

    def test_a_run_missing_from_a_reply_is_started_again(self):
        self.simulation.confirm(self.order)
        self.simulation.now += 0.1
        self.simulation.poll(self.order.worker_id, running=())
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_runs_of_a_restarted_worker_are_started_again(self):
        self.simulation.confirm(self.order)
        self.simulation.now += 0.1
        started_ms = simulations.STARTED_MS + 1
        self.simulation.poll(
            self.order.worker_id, running=(), started_ms=started_ms
        )
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_an_outdated_poll_reply_is_ignored(self):
        self.simulation.confirm(self.order)
        self.simulation.now += 0.2
        self.simulation.end(self.order)
        self.simulation.now -= 0.1
        old = ((self.order.task, self.order.number, 50.0),)
        self.simulation.poll(self.order.worker_id, running=old)
        worker = self.simulation.region.workers[self.order.worker_id]
        self.assertEqual(worker.runs, {})

    def test_an_unreachable_run_is_over_when_its_lease_expires(self):
        self.simulation.confirm(self.order)
        worker = self.simulation.region.workers[self.order.worker_id]
        worker.lease_until_s = self.simulation.now + worker.clock_ahead_s + 1.0
        for _ in range(replies.MAX_MISSED_POLLS):
            replies.handle_missed_poll(
                self.simulation.region,
                self.order.worker_id,
                self.simulation.now,
            )
        self.simulation.step(1.0)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.step(0.1)
        (second,) = self.simulation.take_starts()
        self.assertNotEqual(second.worker_id, self.order.worker_id)


class FailureTest(unittest.TestCase):
    """Failed runs are retried up to the queue's maximum of attempts."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=4)
        self.simulation.submit("a1", tasks=1, max_attempts=3, budget_s=9.0)

    def _fail_next(self) -> str:
        (order,) = self.simulation.take_starts()
        self.simulation.confirm(order)
        self.simulation.now += 0.05
        self.simulation.end(order, fleet.RunEnd.FAILED)
        return order.worker_id

    def test_each_attempt_uses_another_worker(self):
        tried = {self._fail_next() for _ in range(3)}
        self.assertEqual(len(tried), 3)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.FAILED)
        self.assertEqual(self.simulation.take_starts(), [])

    def test_the_other_tasks_of_a_failed_job_are_stopped(self):
        self.simulation.submit("b2", tasks=2, max_attempts=1, budget_s=9.0)
        self.simulation.take_answers()
        first, second = [
            order
            for order in self.simulation.take_starts()
            if order.task.startswith("b2")
        ]
        self.simulation.confirm(first)
        self.simulation.confirm(second)
        self.simulation.now += 0.05
        self.simulation.end(first, fleet.RunEnd.FAILED)
        (stop,) = self.simulation.take_stops()
        self.assertEqual(stop.task, second.task)


class EndTest(unittest.TestCase):
    """Jobs that are cancelled, expire, or are submitted again."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation()
        self.simulation.submit("a1", budget_s=1.0)
        self.orders = self.simulation.take_starts()
        for order in self.orders:
            self.simulation.confirm(order)

    def test_a_cancelled_job_is_stopped_and_answered(self):
        self.assertTrue(self._cancel("a1"))
        self.simulation.step()
        self.assertEqual(len(self.simulation.take_stops()), 2)
        self.assertEqual(len(self.simulation.take_answers()), 1)

    def test_a_job_whose_caller_left_is_stopped(self):
        self.assertTrue(self._leave("a1"))
        self.simulation.step()
        self.assertEqual(len(self.simulation.take_stops()), 2)

    def test_an_unknown_job_is_not_cancelled(self):
        self.assertFalse(self._leave("zz"))
        self.assertFalse(self._cancel("zz"))

    def _leave(self, job_id: str) -> bool:
        """Cancel the attempt of the first gateway, as its caller has left."""
        known = intake.cancel_attempt(
            self.simulation.region,
            job_id,
            simulations.get_attempt("g1"),
            jobs.Reason.CALLER_LEFT,
            self.simulation.now,
        )
        self.simulation.step()
        return known

    def _cancel(self, job_id: str) -> bool:
        """Cancel a job for its caller."""
        known = intake.cancel_job(
            self.simulation.region, job_id, self.simulation.now
        )
        self.simulation.step()
        return known

    def test_only_its_own_gateway_may_report_a_lost_caller(self):
        self.simulation.submit("a1", gateway_id="g2")
        self._leave("a1")
        self.assertIn("a1", self.simulation.region.jobs)
        self._cancel("a1")
        self.assertNotIn("a1", self.simulation.region.jobs)

    def test_a_job_whose_caller_left_starts_again(self):
        self._leave("a1")
        self.simulation.take_answers()
        self.simulation.submit("a1", gateway_id="g2")
        self.assertEqual(self.simulation.take_answers(), [])
        self.assertIn("a1", self.simulation.region.jobs)

    def test_a_resubmitted_job_waits_for_its_stopping_runs(self):
        self._leave("a1")
        self.simulation.take_stops()
        self.simulation.submit("a1", gateway_id="g2")
        self.assertEqual(self.simulation.take_starts(), [])
        for order in self.orders:
            self.simulation.end(order, fleet.RunEnd.STOPPED)
        started = [order.task for order in self.simulation.take_starts()]
        self.assertEqual(sorted(started), ["a1.0.0.0", "a1.0.0.1"])

    def test_a_cancelled_job_is_answered_again(self):
        self._cancel("a1")
        self.simulation.take_answers()
        self.simulation.submit("a1", gateway_id="g2")
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.CANCELLED)

    def test_a_begun_job_past_its_deadline_is_given_up(self):
        self.simulation.step(1.01)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_a_completed_job_is_answered_again(self):
        for order in self.orders:
            self.simulation.now += 0.1
            self.simulation.end(order)
        self.simulation.take_answers()
        self.simulation.submit("a1", gateway_id="g2")
        (effect,) = self.simulation.effects
        self.assertEqual(effect.gateway_id, "g2")
        self.assertIs(effect.answer.outcome, jobs.Outcome.COMPLETED)

    def test_a_running_job_is_not_started_again(self):
        self.simulation.submit("a1", gateway_id="g2")
        self.assertEqual(self.simulation.take_starts(), [])
        attempts = self.simulation.region.jobs["a1"].attempts
        self.assertEqual(
            [a.gateway_id for a in attempts.values()], ["g1", "g2"]
        )
