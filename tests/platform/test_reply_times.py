"""Tests of the time limit for the reply to an order."""

import unittest

from pollenladder.platform import reply_times


class ReplyTimesTest(unittest.TestCase):
    """Load: a worker leaves one of a few orders unanswered.

    Guards against jobs that wait for an unconfirmed start for many times as long as
    a reply usually takes, and against time limits that slow replies exceed.
    """

    def setUp(self):
        self.times = reply_times.ReplyTimes()

    def _reply(self, *took_s: float) -> None:
        for each_s in took_s:
            self.times.record(each_s)

    def test_first_reply_has_the_longest_time_limit(self):
        self.assertEqual(
            self.times.choose_timeout_s(), reply_times.MAX_TIMEOUT_S
        )

    def test_after_quick_replies_an_unanswered_order_is_noticed_soon(self):
        # Before, it was noticed after .12 s; an objective may be .156 s.
        self._reply(*[0.002] * 10)
        self.assertLessEqual(self.times.choose_timeout_s(), 0.05)

    def test_time_limit_exceeds_replies_that_vary(self):
        self._reply(*[0.01, 0.06] * 10)
        self.assertGreater(self.times.choose_timeout_s(), 0.08)

    def test_time_limit_grows_while_nothing_is_answered(self):
        self._reply(0.002)
        limits_s = []
        for _ in range(4):
            limits_s.append(self.times.choose_timeout_s())
            self.times.record_timeout()
        self.assertEqual(limits_s, sorted(limits_s))
        self.assertEqual(limits_s[-1], reply_times.MAX_TIMEOUT_S)
        self._reply(0.002)
        self.assertLess(self.times.choose_timeout_s(), limits_s[-1])
