"""Jobs of callers, while owners come and go."""

import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.service import gateway as gateways
from tests.scheduling import simulations


class GatewayTest(unittest.TestCase):
    """What a gateway hands on, and which answers it believes."""

    def setUp(self):
        self.now = 100.0
        self.owner_id = "a"
        self.sent: list[tuple[str, jobs.Submission]] = []
        self.cancelled: list[tuple[str, str]] = []
        self.arrives = True
        self.shed_share = 0.0
        self.gateway = gateways.Gateway(
            gateways.Outlets(
                find_owner=lambda: self.owner_id,
                get_shed_share=lambda: self.shed_share,
                submit=self._submit,
                cancel=lambda owner, job, _: self.cancelled.append(
                    (owner, job)
                ),
                on_answered=lambda queue, answer, took_s: None,
            ),
            lambda: self.now,
        )

    def _submit(self, owner_id: str, submission: jobs.Submission) -> bool:
        if self.arrives:
            self.sent.append((owner_id, submission))
        return self.arrives

    def _take(self) -> gateways.OpenJob:
        return self.gateway.submit(simulations.build_submission("a1"))

    def _refuse(self, sender: str) -> None:
        answer = jobs.Answer(
            "a1", jobs.Outcome.REFUSED, jobs.Reason.NO_ROOM_IN_TIME, 1.0
        )
        self.gateway.take_answer(answer, sender)

    def test_an_owner_that_falls_behind_is_spared(self):
        self.shed_share = 1.0
        job = self._take()
        self.assertEqual(self.sent, [])
        self.assertIs(job.answer.outcome, jobs.Outcome.REFUSED)
        self.assertIs(job.answer.reason, jobs.Reason.OWNER_BUSY)
        self.assertGreater(job.answer.retry_after_s, 0.0)
        self.assertEqual(self.gateway.open, {})

    def test_a_job_that_is_under_way_is_not_refused_then(self):
        job = self._take()
        self.shed_share = 1.0
        self.assertIs(self._take(), job)
        self.assertIsNone(job.answer)

    def test_a_refusal_of_an_earlier_owner_is_not_believed(self):
        job = self._take()
        self.owner_id = "b"
        self.gateway.forward_open_jobs()
        self._refuse("a")
        self.assertIsNone(job.answer)
        # The later one cannot know, and never says that it has not begun.
        self.assertTrue(self.sent[-1][1].may_have_begun)
        self._refuse("b")
        self.assertIsNone(job.answer)
        given_up = jobs.Answer(
            "a1", jobs.Outcome.GIVEN_UP, jobs.Reason.WAITED_TOO_LONG
        )
        self.gateway.take_answer(given_up, "b")
        self.assertIs(job.answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_a_result_of_an_earlier_owner_is_taken(self):
        job = self._take()
        self.owner_id = "b"
        self.gateway.forward_open_jobs()
        done = jobs.Answer("a1", jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE)
        self.gateway.take_answer(done, "a")
        self.assertIs(job.answer, done)

    def test_another_owner_is_told_that_the_job_may_have_begun(self):
        self._take()
        self.owner_id = "b"
        self.gateway.forward_open_jobs()
        first, second = [submission for _, submission in self.sent]
        self.assertFalse(first.may_have_begun)
        self.assertTrue(second.may_have_begun)
        self.assertGreater(second.first_run, first.first_run)

    def test_a_job_that_reached_nobody_has_not_begun(self):
        self.arrives = False
        self._take()
        self.arrives = True
        self.gateway.forward_open_jobs()
        ((_, submission),) = self.sent
        self.assertFalse(submission.may_have_begun)

    def test_a_job_without_an_owner_is_refused_within_its_slack(self):
        self.owner_id = ""
        job = self._take()
        self.now += job.patience_s + 0.01
        self.gateway.expire(self.now)
        self.assertIs(job.answer.outcome, jobs.Outcome.REFUSED)
        self.assertGreater(job.answer.retry_after_s, 0)

    def test_a_job_that_was_sent_is_not_refused_for_want_of_an_owner(self):
        job = self._take()
        self.gateway.handle_link_lost("a")
        self.owner_id = ""
        self.now += job.patience_s + 0.01
        self.gateway.expire(self.now)
        self.assertIsNone(job.answer)
        self.now = job.gives_up_at
        self.gateway.expire(self.now)
        self.assertIs(job.answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_a_caller_that_leaves_cancels_its_job(self):
        job = self._take()
        self.gateway.leave(job)
        self.assertEqual(self.cancelled, [("a", "a1")])

    def test_a_job_with_another_waiter_goes_on(self):
        job = self._take()
        self._take()
        self.gateway.leave(job)
        self.assertEqual(self.cancelled, [])

    def test_a_refusal_does_not_count_once_it_was_handed_on_again(self):
        job = self.gateway.submit(simulations.build_submission("a1"))
        for owner_id in ("b", "a"):
            self.owner_id = owner_id
            self.gateway.forward_open_jobs()
        # What "a" says of the first time, when it had it alone.
        self._refuse("a")
        self.assertIsNone(job.answer)
        self.owner_id = ""
        self.gateway.handle_link_lost("a")
        self._refuse("b")
        self.assertIsNone(job.answer)
