"""Tests of the daemon's metrics."""

import logging
import unittest

import prometheus_client

from pollenladder.logs import lines
from pollenladder.scheduling import interference
from pollenladder.scheduling import neighbourhood
from pollenladder.service import meters as metering


class ErrorCounterTest(unittest.TestCase):
    """An operator must see unexpected errors without reading the log."""

    def test_each_error_is_counted(self):
        # Guards against errors that are hidden because their lines repeat.
        meters = metering.Meters()
        logger = logging.Logger("test")
        logger.addHandler(metering.ErrorCounter(meters.count_error))
        for _ in range(3):
            try:
                raise ValueError
            except ValueError:
                lines.log_failure(logger, "poll", "w1")
        logger.error("no exception")
        found = meters.registry.get_sample_value(
            "pollenladder_unexpected_errors_total", {"where": "poll"}
        )
        self.assertEqual(found, 3)


class InterferenceTest(unittest.TestCase):
    """An operator must see whether interference changes placements."""

    def _read(self, states: list[neighbourhood.Neighbourhood]) -> list:
        meters = metering.Meters()
        meters.registry.register(metering.InterferenceCollector(lambda: states))
        names = ("pairs", "max_slowdown", "kinds", "placements_total")
        return [
            meters.registry.get_sample_value(f"pollenladder_interference_{n}")
            for n in names
        ]

    def test_a_daemon_that_owns_nothing(self):
        self.assertEqual(self._read([]), [0, 1, 0, 0])

    def test_several_groups_are_added_up(self):
        states = []
        for slowdown in (1.4, 1.7):
            pair = interference.Pair(slowdown, 1.2, 20.0)
            model = interference.Model(
                evidence={"a": interference.Evidence()},
                pairs={("a", "b"): pair},
            )
            states.append(neighbourhood.Neighbourhood(model))
        states[1].changed_placements = 5
        self.assertEqual(self._read(states), [2, 1.7, 2, 5])


class WorkerCollectorTest(unittest.TestCase):
    """Operators see speeds and stalled runs without ids in labels."""

    def _expose(self, speeds: list[float]) -> str:
        registry = prometheus_client.CollectorRegistry()
        registry.register(metering.WorkerCollector(lambda: speeds, lambda: 3))
        return prometheus_client.generate_latest(registry).decode()

    def test_extreme_speeds_and_stalled_runs(self):
        text = self._expose([0.7, 1.0, 1.7])
        self.assertIn('pollenladder_worker_speed{worker="slowest"} 0.7', text)
        self.assertIn('pollenladder_worker_speed{worker="fastest"} 1.7', text)
        self.assertIn("pollenladder_stalled_runs_total 3.0", text)

    def test_a_daemon_without_workers(self):
        # A scrape must not fail while the daemon owns nothing.
        self.assertIn('{worker="slowest"} 1.0', self._expose([]))
