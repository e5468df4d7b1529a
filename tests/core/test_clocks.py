"""Tests of the clocks that the daemon reads."""

import time
import unittest
from unittest import mock

from pollenladder.core import clocks


class MonotonicClockTest(unittest.TestCase):
    """Guards against a pause that leaves no trace: the suspension of a machine."""

    def test_time_during_a_suspension_counts(self):
        # A machine that wakes has other readings of the two clocks.
        asleep_s = 3.0
        suspended = time.clock_gettime(time.CLOCK_BOOTTIME) + asleep_s
        with mock.patch.object(
            time,
            "clock_gettime",
            side_effect={time.CLOCK_BOOTTIME: suspended}.get,
        ):
            self.assertEqual(clocks.read_monotonic_s(), suspended)

    def test_readings_do_not_go_back(self):
        readings = [clocks.read_monotonic_s() for _ in range(1000)]
        self.assertEqual(readings, sorted(readings))
