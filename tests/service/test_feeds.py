"""The rate of reads from the store."""

import unittest

from pollenladder.service import feeds


class PauseTest(unittest.TestCase):
    """The reads by all daemons together are bounded."""

    def test_few_daemons_use_the_least_pause(self):
        self.assertEqual(feeds.choose_pause_s(6), feeds.MIN_PAUSE_S)

    def test_many_daemons_stay_below_the_maximum_rate(self):
        for daemons in (36, 100, 300):
            reads_per_s = daemons / feeds.choose_pause_s(daemons)
            self.assertLessEqual(reads_per_s, feeds.MAX_READS_PER_S + 1e-9)
