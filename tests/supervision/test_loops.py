"""Loops that fail are started again, seldom enough, and make a daemon unready."""

import logging
import unittest

from pollenladder.logs import lines
from pollenladder.supervision import loops


class SupervisorTest(unittest.TestCase):
    """A supervisor with a simulated clock, and a loop that may fail.

    The loop takes no time and returns if `errors` is empty.
    """

    def setUp(self):
        self.now = 100.0
        self.pauses: list[float] = []
        self.errors: list[Exception] = []
        self.supervisor = loops.Supervisor(lambda: self.now, self._sleep)
        self.run_s = 0.0

    def _sleep(self, pause_s: float) -> None:
        self.pauses.append(pause_s)
        self.now += pause_s

    def _loop(self) -> None:
        self.now += self.run_s
        if self.errors:
            raise self.errors.pop(0)

    def _run(self, failures: int, run_s: float = 0.0) -> list:
        self.run_s = run_s
        self.errors = [ValueError(str(n)) for n in range(failures)]
        with self.assertLogs(loops.LOGGER, logging.ERROR) as found:
            self.supervisor.run("feed", self._loop, "table")
        return found.records

    def test_a_loop_goes_on_after_an_exception(self):
        # Guards against a loop that one exception ends for good.
        records = self._run(1)
        self.assertEqual(self.errors, [])
        (record,) = records
        self.assertEqual(record.getMessage(), lines.FAILURE_EVENT)
        self.assertEqual(record.fields, {"where": "feed", "subject": "table"})
        self.assertIsInstance(record.exc_info[1], ValueError)

    def test_a_loop_that_fails_at_once_each_time_does_not_spin(self):
        # Guards against a loop that takes the processor from all others.
        self._run(100)
        within_10_s = [
            sum(self.pauses[:n])
            for n in range(100)
            if sum(self.pauses[:n]) < 10
        ]
        self.assertLess(len(within_10_s), 12)
        self.assertEqual(max(self.pauses), loops.MAX_PAUSE_S)

    def test_a_daemon_with_a_failing_loop_is_not_ready(self):
        # Guards against a readiness check that hides the failure.
        observed = []

        def observe() -> None:
            observed.append(self.supervisor.list_failing())
            self._loop()

        self.errors = [ValueError()] * 10
        with self.assertLogs(loops.LOGGER):
            self.supervisor.run("feed", observe)
        self.assertEqual(observed[:3], [[], [], []])
        self.assertEqual(observed[-1], ["feed"])

    def test_a_loop_that_works_again_makes_the_daemon_ready(self):
        observed = []

        def recover() -> None:
            self._loop()
            observed.append(self.supervisor.list_failing())
            self.now += loops.STEADY_S
            observed.append(self.supervisor.list_failing())

        self.errors = [ValueError()] * 10
        with self.assertLogs(loops.LOGGER):
            self.supervisor.run("feed", recover)
        self.assertEqual(observed, [["feed"], []])

    def test_rare_failures_are_told_apart_from_a_failing_loop(self):
        self._run(5, run_s=60.0)
        self.assertEqual(set(self.pauses), {loops.MIN_PAUSE_S})
        self.assertEqual(self.supervisor.list_failing(), [])
