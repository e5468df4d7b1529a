"""Tests of learning worker speeds and of their use in stalls and health."""

import math
import unittest

from pollenladder.fleet import health
from pollenladder.fleet import speeds
from pollenladder.scheduling import features
from tests.scheduling import simulations

RUN_S = 0.2
SLOW = 0.7
FAST = 1.7


class SpeedLearningTest(unittest.TestCase):
    """Six workers of 64 cores, which each run two tasks of a job."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=6)
        self.region = self.simulation.region
        self.orders = []

    def _start(self, job_id: str, tasks: int = 6) -> None:
        self.simulation.submit(
            job_id, tasks=tasks, estimate_s=RUN_S, budget_s=9.0
        )
        self.orders = self.simulation.take_starts()
        for order in self.orders:
            self.simulation.confirm(order)

    def _complete(self, speeds_by_worker: dict[str, float]) -> None:
        """End the runs of the orders, each after its time on its worker."""
        began = self.simulation.now
        runs = [
            (RUN_S / speeds_by_worker.get(o.worker_id, 1.0), o)
            for o in self.orders
        ]
        for run_s, order in sorted(runs, key=lambda run: run[0]):
            self.simulation.now = began + run_s
            worker = self.region.workers[order.worker_id]
            for run in worker.runs.values():
                run.percent = 99.0
            self.simulation.end(order)

    def _set_speeds(self, speeds_by_worker: dict[str, float]) -> None:
        for worker_id, speed in speeds_by_worker.items():
            estimate = self.region.workers[worker_id].speed
            estimate.log_speed = math.log(speed)
            estimate.evidence = speeds.MAX_EVIDENCE

    def _report(self, worker_id: str, percent: float) -> None:
        worker = self.region.workers[worker_id]
        running = tuple(
            (run.task, run.number, percent) for run in worker.runs.values()
        )
        self.simulation.poll(worker_id, running=running)

    def test_speeds_are_learned_from_complete_jobs(self):
        true = {"w0": SLOW, "w1": SLOW, "w2": FAST}
        for number in range(60):
            self._start(f"a{number}", tasks=12)
            self._complete(true)
        learned = {w: self.region.get_speed(w) for w in ("w0", "w1", "w2")}
        ratio = learned["w2"] / learned["w0"]
        self.assertAlmostEqual(ratio, FAST / SLOW, delta=0.25)
        self.assertAlmostEqual(learned["w0"], learned["w1"], delta=0.02)

    def test_an_incomplete_job_teaches_nothing(self):
        # Its fast runs would be compared with each other only.
        self._start("a0")
        self.orders.pop()
        self._complete({"w0": SLOW})
        evidence = [w.speed.evidence for w in self.region.workers.values()]
        self.assertEqual(set(evidence), {0.0})

    def _measure_stops(self, percent_of_slow: float) -> set[str]:
        """Let a slow worker report after half the run time of an average one.

        The others are fast and report the progress that this means.
        """
        self._start("a0")
        worker_ids = sorted({o.worker_id for o in self.orders})
        slow, *others = worker_ids
        self._set_speeds({slow: SLOW} | dict.fromkeys(others, FAST))
        self.simulation.now += 0.5 * RUN_S
        for worker_id in others:
            self._report(worker_id, 50.0 * FAST)
        self._report(slow, percent_of_slow)
        return {stop.worker_id for stop in self.simulation.take_stops()}

    def test_a_run_on_a_slow_but_healthy_worker_is_not_moved(self):
        # It takes 2.4 times as long as its siblings, which was a stall.
        self.assertEqual(self._measure_stops(50.0 * SLOW), set())

    def test_with_the_feature_off_such_a_run_is_moved_as_before(self):
        self.region.features = features.switch_off(["speeds"])
        self.assertEqual(len(self._measure_stops(50.0 * SLOW)), 1)

    def test_a_slow_worker_that_becomes_slower_is_still_detected(self):
        self.assertEqual(len(self._measure_stops(50.0 * SLOW / 5)), 1)

    def test_a_slow_but_healthy_worker_is_not_quarantined(self):
        self._start("a0")
        slow = self.orders[0].worker_id
        others = {o.worker_id for o in self.orders} - {slow}
        true = {slow: 0.4} | dict.fromkeys(others, FAST)
        self._set_speeds(true)
        self._complete(true)
        worker = self.region.workers[slow]
        self.assertTrue(health.can_accept_run(worker, self.simulation.now))
        self.assertAlmostEqual(worker.health.slowness, 1.0, delta=0.01)

    def test_a_run_on_a_slow_worker_is_expected_to_take_longer(self):
        # Forecasts would otherwise assume free capacity too early.
        self._set_speeds(dict.fromkeys(self.region.workers, SLOW))
        self._start("a0")
        worker = self.region.workers[self.orders[0].worker_id]
        expected = [run.expected_s for run in worker.runs.values()]
        self.assertAlmostEqual(expected[0], RUN_S / SLOW)
