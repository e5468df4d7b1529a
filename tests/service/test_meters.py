"""Tests of the daemon's metrics."""

import unittest

import prometheus_client

from pollenladder.service import meters


class WorkerCollectorTest(unittest.TestCase):
    """Operators see speeds and stalled runs without ids in labels."""

    def _expose(self, speeds: list[float]) -> str:
        registry = prometheus_client.CollectorRegistry()
        registry.register(meters.WorkerCollector(lambda: speeds, lambda: 3))
        return prometheus_client.generate_latest(registry).decode()

    def test_extreme_speeds_and_stalled_runs(self):
        text = self._expose([0.7, 1.0, 1.7])
        self.assertIn('pollenladder_worker_speed{worker="slowest"} 0.7', text)
        self.assertIn('pollenladder_worker_speed{worker="fastest"} 1.7', text)
        self.assertIn("pollenladder_stalled_runs_total 3.0", text)

    def test_a_daemon_without_workers(self):
        # A scrape must not fail while the daemon owns nothing.
        self.assertIn('{worker="slowest"} 1.0', self._expose([]))
