"""How long looks wait, while replies come and while some get lost."""

import unittest

from pollenladder.scheduling import polls
from pollenladder.scheduling import replies
from tests.scheduling import simulations


class LooksTest(unittest.TestCase):
    """One worker."""

    def setUp(self):
        self.world = simulations.RegionSimulation(workers=1)
        self.worker = self.world.region.workers["w0"]

    def _choose(self) -> tuple[float, float]:
        now = self.world.now
        return (
            polls.choose_wait_s(self.worker, now),
            polls.choose_slack_s(self.worker, now),
        )

    def _miss(self) -> None:
        replies.handle_missed_poll(self.world.region, "w0", self.world.now)

    def test_an_idle_worker_is_looked_at_seldom(self):
        self.assertEqual(self._choose(), (polls.IDLE_WAIT_S, polls.SLACK_S))

    def test_a_busy_one_more_often(self):
        self.world.submit("a1")
        self.assertEqual(self._choose(), (polls.BUSY_WAIT_S, polls.SLACK_S))

    def test_after_a_lost_reply_an_end_is_soon_told_again(self):
        self.world.submit("a1")
        self._miss()
        wait_s, slack_s = self._choose()
        self.assertLessEqual(wait_s + slack_s, 0.1)

    def test_it_is_as_before_once_no_reply_was_lost_for_a_while(self):
        self.world.submit("a1")
        self._miss()
        self.world.now += polls.WARY_S
        self.assertEqual(self._choose(), (polls.BUSY_WAIT_S, polls.SLACK_S))

    def test_a_worker_that_is_not_reached_is_asked_without_a_wait(self):
        for _ in range(replies.MAX_MISSED_POLLS):
            self._miss()
        self.assertEqual(self._choose()[0], 0.0)
