"""Tests of telling long tasks from slow workers."""

import unittest

from pollenladder.fleet import health
from pollenladder.jobs import durations
from pollenladder.scheduling import features
from tests.scheduling import simulations

RUN_S = 0.2
QUEUE = "lookup"


class LongTailTest(unittest.TestCase):
    """A job of four tasks, of which one takes 7 times as long."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=8)
        self.region = self.simulation.region
        self._submit("a1", 40_000)

    def _submit(self, job_id: str, cpu_milli: int) -> None:
        self.simulation.submit(
            job_id,
            tasks=4,
            cpu_milli=cpu_milli,
            estimate_s=RUN_S,
            budget_s=9.0,
        )
        self.orders = self.simulation.take_starts()
        for order in self.orders:
            self.simulation.confirm(order)

    def _set_long_tail(self) -> None:
        known = durations.Distribution()
        for _ in range(20):
            for ratio in [1.0] * 29 + [7.5]:
                durations.record(known, ratio)
        durations.refresh(known)
        self.region.estimates.distributions[QUEUE] = known

    def _report(self, slow: set[str], elapsed_s: float, factor: float) -> None:
        """Report the progress of all runs; the named tasks are slow."""
        usual = min(99.0, 100.0 * elapsed_s / RUN_S)
        for worker_id, worker in list(self.region.workers.items()):
            running = tuple(
                (name, run.number, usual / factor if name in slow else usual)
                for name, run in worker.runs.items()
            )
            self.simulation.poll(worker_id, running=running)

    def _list_stopped(self) -> list[str]:
        return [stop.task for stop in self.simulation.take_stops()]

    def test_a_long_task_of_a_queue_with_a_long_tail_is_not_moved(self):
        # It would take as long elsewhere, and its work would be lost.
        self._set_long_tail()
        self.simulation.now += 0.15
        self._report({self.orders[0].task}, 0.15, 7.0)
        self.assertEqual(self._list_stopped(), [])

    def test_without_a_long_tail_such_a_run_is_moved(self):
        self.simulation.now += 0.15
        self._report({self.orders[0].task}, 0.15, 7.0)
        self.assertEqual(self._list_stopped(), [self.orders[0].task])

    def test_a_run_beyond_the_tail_is_moved(self):
        self._set_long_tail()
        self.simulation.now += 0.15
        self._report({self.orders[0].task}, 0.15, 20.0)
        self.assertEqual(self._list_stopped(), [self.orders[0].task])

    def test_slow_runs_of_two_jobs_on_one_worker_are_moved(self):
        # The worker is slow, not its tasks: two long tasks rarely meet.
        self._set_long_tail()
        first = self.orders[0]
        self._submit("b1", 20_000)
        slow = set(self.region.workers[first.worker_id].runs)
        self.assertEqual(len(slow), 2)
        self.simulation.now += 0.18
        for _ in range(2):
            self._report(slow, 0.18, 7.0)
        self.assertEqual(set(self._list_stopped()), slow)

    def _stall_twice(self) -> list[str]:
        first = self.orders[0]
        self.simulation.now += 0.15
        self._report({first.task}, 0.15, 7.0)
        self.assertEqual(self._list_stopped(), [first.task])
        self.simulation.poll(first.worker_id, running=())
        self.simulation.step(0.001)
        [again] = self.simulation.take_starts()
        self.simulation.confirm(again)
        self.simulation.now += 0.25
        self._report({first.task}, 0.25, 7.0)
        return self._list_stopped()

    def test_a_task_that_is_slow_on_a_second_worker_stays(self):
        # It would be moved from worker to worker until its deadline, and each
        # of them would be left without work.
        self.assertEqual(self._stall_twice(), [])
        known = self.region.estimates.distributions[QUEUE]
        self.assertEqual(known.samples, 1.0)

    def test_with_the_feature_off_it_moves_again(self):
        self.region.features = features.switch_off(["speeds"])
        self.assertEqual(len(self._stall_twice()), 1)

    def test_one_long_run_quarantines_no_worker(self):
        self._set_long_tail()
        order = self.orders[0]
        self.simulation.now += 7.0 * RUN_S
        self.simulation.end(order)
        worker = self.region.workers[order.worker_id]
        self.assertTrue(health.can_accept_run(worker, self.simulation.now))
