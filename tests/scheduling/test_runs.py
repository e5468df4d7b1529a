"""The life of runs when orders and replies go wrong."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import intake
from pollenladder.scheduling import replies
from pollenladder.scheduling import runs
from tests.scheduling import simulations


class StartTest(unittest.TestCase):
    """A task gets another run only when its last one is over."""

    def setUp(self):
        self.world = simulations.RegionSimulation(workers=3)
        self.world.submit("a1", tasks=1, budget_s=5.0)
        (self.order,) = self.world.take_starts()

    def _start_again(self) -> list:
        self.world.step(0.001)
        return self.world.take_starts()

    def test_a_confirmed_run_ends_and_the_job_is_answered(self):
        self.world.confirm(self.order)
        self.world.now += 0.2
        self.world.end(self.order)
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)

    def test_rejections_are_retried_elsewhere_at_once(self):
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
                self.world.reply(self.order, reply)
                (second,) = self.world.take_starts()
                self.assertNotEqual(second.worker_id, self.order.worker_id)
                self.assertGreater(second.number, self.order.number)

    def test_an_old_run_number_is_left_behind(self):
        self.world.reply(self.order, fleet.StartReply.OLD_RUN)
        (second,) = self.world.take_starts()
        step = runs.RUN_NUMBER_STEP
        self.assertGreater(second.number, self.order.number + step)

    def test_without_a_reply_nothing_starts_until_a_stop_is_confirmed(self):
        self.world.reply(self.order, fleet.StartReply.NO_REPLY)
        self.assertEqual(self._start_again(), [])
        self.world.now += 0.01
        self.world.look(self.order.worker_id, running=())
        (stop,) = self.world.take_stops()
        self.assertEqual(self._start_again(), [])
        self.world.reply_stop(stop, fleet.StopReply.STOPPED)
        self.world.now += 0.01
        self.world.look(self.order.worker_id, running=())
        (second,) = self.world.take_starts()
        self.assertGreater(second.number, self.order.number)

    def test_a_stop_without_a_reply_is_sent_again(self):
        self.world.reply(self.order, fleet.StartReply.NO_REPLY)
        self.world.now += 0.01
        self.world.look(self.order.worker_id, running=())
        (stop,) = self.world.take_stops()
        self.world.reply_stop(stop, fleet.StopReply.NO_REPLY)
        self.world.step(runs.STOP_RETRY_S + 0.01)
        self.assertEqual(self.world.take_stops(), [stop])
        self.assertEqual(self.world.take_starts(), [])

    def test_a_run_seen_after_a_lost_reply_goes_on(self):
        self.world.reply(self.order, fleet.StartReply.NO_REPLY)
        self.world.now += 0.01
        seen = ((self.order.task, self.order.number, 5.0),)
        self.world.look(self.order.worker_id, running=seen)
        self.assertEqual(self.world.take_stops(), [])
        self.world.end(self.order)
        self.assertEqual(len(self.world.take_answers()), 1)

    def test_a_look_sent_before_the_start_says_nothing_of_it(self):
        self.world.now += 0.01
        self.world.confirm(self.order)
        self.world.look(self.order.worker_id, running=(), sent_ago_s=0.2)
        self.assertEqual(self.world.take_starts(), [])

    def test_a_run_that_is_gone_is_started_again(self):
        self.world.confirm(self.order)
        self.world.now += 0.1
        self.world.look(self.order.worker_id, running=())
        self.assertEqual(len(self.world.take_starts()), 1)

    def test_a_worker_that_restarted_has_lost_its_runs(self):
        self.world.confirm(self.order)
        self.world.now += 0.1
        born_ms = simulations.BORN_MS + 1
        self.world.look(self.order.worker_id, running=(), born_ms=born_ms)
        self.assertEqual(len(self.world.take_starts()), 1)

    def test_a_look_overtaken_by_a_later_one_is_left_out(self):
        self.world.confirm(self.order)
        self.world.now += 0.2
        self.world.end(self.order)
        self.world.now -= 0.1
        old = ((self.order.task, self.order.number, 50.0),)
        self.world.look(self.order.worker_id, running=old)
        worker = self.world.region.workers[self.order.worker_id]
        self.assertEqual(worker.runs, {})

    def test_a_run_out_of_reach_is_over_when_its_lease_has_lapsed(self):
        self.world.confirm(self.order)
        worker = self.world.region.workers[self.order.worker_id]
        worker.lease_until_s = self.world.now + worker.clock_ahead_s + 1.0
        for _ in range(replies.MAX_MISSED_POLLS):
            replies.handle_missed_poll(
                self.world.region, self.order.worker_id, self.world.now
            )
        self.world.step(1.0)
        self.assertEqual(self.world.take_starts(), [])
        self.world.step(0.1)
        (second,) = self.world.take_starts()
        self.assertNotEqual(second.worker_id, self.order.worker_id)


class FailureTest(unittest.TestCase):
    """Failed runs are repeated as often as the queue allows."""

    def setUp(self):
        self.world = simulations.RegionSimulation(workers=4)
        self.world.submit("a1", tasks=1, max_attempts=3, budget_s=9.0)

    def _fail_next(self) -> str:
        (order,) = self.world.take_starts()
        self.world.confirm(order)
        self.world.now += 0.05
        self.world.end(order, fleet.RunEnd.FAILED)
        return order.worker_id

    def test_another_worker_is_tried_up_to_the_allowed_attempts(self):
        tried = {self._fail_next() for _ in range(3)}
        self.assertEqual(len(tried), 3)
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.FAILED)
        self.assertEqual(self.world.take_starts(), [])

    def test_the_other_tasks_of_a_failed_job_are_stopped(self):
        self.world.submit("b2", tasks=2, max_attempts=1, budget_s=9.0)
        self.world.take_answers()
        first, second = [
            order
            for order in self.world.take_starts()
            if order.task.startswith("b2")
        ]
        self.world.confirm(first)
        self.world.confirm(second)
        self.world.now += 0.05
        self.world.end(first, fleet.RunEnd.FAILED)
        (stop,) = self.world.take_stops()
        self.assertEqual(stop.task, second.task)


class EndTest(unittest.TestCase):
    """Jobs that are cancelled or out of time."""

    def setUp(self):
        self.world = simulations.RegionSimulation()
        self.world.submit("a1", budget_s=1.0)
        self.orders = self.world.take_starts()
        for order in self.orders:
            self.world.confirm(order)

    def test_a_cancelled_job_is_stopped_and_answered(self):
        reason = jobs.Reason.CALLER_LEFT
        self.assertTrue(self._cancel("a1", reason))
        self.world.step()
        self.assertEqual(len(self.world.take_stops()), 2)
        self.assertEqual(len(self.world.take_answers()), 1)

    def test_an_unknown_job_is_not_cancelled(self):
        reason = jobs.Reason.CALLER_LEFT
        self.assertFalse(self._cancel("zz", reason))

    def _cancel(
        self, job_id: str, reason: jobs.Reason, gateway_id: str = "g1"
    ) -> bool:
        known = intake.cancel(
            self.world.region, job_id, reason, gateway_id, self.world.now
        )
        self.world.step()
        return known

    def test_a_gateway_that_has_lost_the_job_cannot_give_it_up(self):
        self.world.submit("a1", gateway_id="g2")
        self._cancel("a1", jobs.Reason.CALLER_LEFT)
        self.assertIn("a1", self.world.region.jobs)
        self._cancel("a1", jobs.Reason.CALLER_CANCELLED)
        self.assertNotIn("a1", self.world.region.jobs)

    def test_who_left_and_comes_again_begins_anew(self):
        self._cancel("a1", jobs.Reason.CALLER_LEFT)
        self.world.take_answers()
        self.world.submit("a1", gateway_id="g2")
        self.assertEqual(self.world.take_answers(), [])
        self.assertIn("a1", self.world.region.jobs)

    def test_what_is_being_stopped_does_not_run_beside_its_next_run(self):
        self._cancel("a1", jobs.Reason.CALLER_LEFT)
        self.world.take_stops()
        self.world.submit("a1", gateway_id="g2")
        self.assertEqual(self.world.take_starts(), [])
        for order in self.orders:
            self.world.end(order, fleet.RunEnd.STOPPED)
        started = [order.task for order in self.world.take_starts()]
        self.assertEqual(sorted(started), ["a1.0.0.0", "a1.0.0.1"])

    def test_who_cancelled_gets_the_same_answer_again(self):
        self._cancel("a1", jobs.Reason.CALLER_CANCELLED)
        self.world.take_answers()
        self.world.submit("a1", gateway_id="g2")
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.CANCELLED)

    def test_a_begun_job_out_of_time_may_have_run(self):
        self.world.step(1.01)
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_who_asks_again_gets_the_same_answer(self):
        for order in self.orders:
            self.world.now += 0.1
            self.world.end(order)
        self.world.take_answers()
        self.world.submit("a1", gateway_id="g2")
        (effect,) = self.world.effects
        self.assertEqual(effect.gateway_id, "g2")
        self.assertIs(effect.answer.outcome, jobs.Outcome.COMPLETED)

    def test_who_comes_while_it_runs_joins(self):
        self.world.submit("a1", gateway_id="g2")
        self.assertEqual(self.world.take_starts(), [])
        self.assertEqual(self.world.region.jobs["a1"].gateway_id, "g2")
