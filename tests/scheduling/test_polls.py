"""Tests of the wait and slack of polls."""

import unittest

from pollenladder.scheduling import polls
from pollenladder.scheduling import replies
from tests.scheduling import simulations


class PollsTest(unittest.TestCase):
    """Polls of one worker, with and without lost replies."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.worker = self.simulation.region.workers["w0"]

    def _choose(self) -> tuple[float, float]:
        now = self.simulation.now
        return (
            polls.choose_wait_s(self.worker, now),
            polls.choose_slack_s(self.worker, now),
        )

    def _miss(self) -> None:
        replies.handle_missed_poll(
            self.simulation.region, "w0", self.simulation.now
        )

    def test_polls_of_an_idle_worker_wait_long(self):
        self.assertEqual(self._choose(), (polls.IDLE_WAIT_S, polls.SLACK_S))

    def test_polls_of_a_busy_worker_wait_less(self):
        self.simulation.submit("a1")
        self.assertEqual(self._choose(), (polls.BUSY_WAIT_S, polls.SLACK_S))

    def test_after_a_missed_poll_the_next_reply_is_due_soon(self):
        self.simulation.submit("a1")
        self._miss()
        wait_s, slack_s = self._choose()
        self.assertLessEqual(wait_s + slack_s, 0.1)

    def test_normal_waits_resume_after_the_failure_period(self):
        self.simulation.submit("a1")
        self._miss()
        self.simulation.now += polls.AFTER_FAILURE_PERIOD_S
        self.assertEqual(self._choose(), (polls.BUSY_WAIT_S, polls.SLACK_S))

    def test_polls_of_an_unreachable_worker_do_not_wait(self):
        for _ in range(replies.MAX_MISSED_POLLS):
            self._miss()
        self.assertEqual(self._choose()[0], 0.0)
