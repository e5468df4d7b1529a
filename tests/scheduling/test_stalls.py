"""Tests of runs that make too little progress."""

import unittest

from pollenladder.jobs import estimates
from pollenladder.scheduling import effects
from tests.scheduling import simulations


class StallTest(unittest.TestCase):
    """A run moves only if a new run on another worker would end earlier."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=6)
        self.simulation.submit("a1", tasks=4, estimate_s=0.2, budget_s=9.0)
        self.orders = self.simulation.take_starts()
        for order in self.orders:
            self.simulation.confirm(order)

    def _report(self, percents: dict[str, float]) -> None:
        for worker_id, worker in list(self.simulation.region.workers.items()):
            running = tuple(
                (run.task, run.number, percents[worker_id])
                for run in worker.runs.values()
            )
            self.simulation.poll(worker_id, running=running)

    def test_a_run_without_progress_beside_others_moves(self):
        self.simulation.now += 0.12
        first = self.orders[0].worker_id
        others = {o.worker_id: 60.0 for o in self.orders}
        self._report(others | {first: 0.0})
        stopped = {order.worker_id for order in self.simulation.take_stops()}
        self.assertEqual(stopped, {first})

    def test_a_job_with_too_short_a_declared_run_time_stays(self):
        self.simulation.now += 0.3
        self._report({o.worker_id: 40.0 for o in self.orders})
        self.assertEqual(self.simulation.take_stops(), [])

    def test_a_slow_run_that_is_nearly_done_stays(self):
        self.simulation.now += 0.5
        first = self.orders[0].worker_id
        percents = {o.worker_id: 99.0 for o in self.orders}
        self._report(percents | {first: 80.0})
        self.assertEqual(self.simulation.take_stops(), [])

    def test_a_run_stays_if_no_other_worker_has_capacity(self):
        simulation = simulations.RegionSimulation(workers=1)
        simulation.submit("a1", tasks=2, estimate_s=0.2, budget_s=9.0)
        for order in simulation.take_starts():
            simulation.confirm(order)
        simulation.now += 1.5
        simulation.poll("w0")
        self.assertEqual(simulation.take_stops(), [])


class UndeclaredTest(unittest.TestCase):
    """Jobs of one task, whose callers declare no run time.

    Guards against a division by the expected run time, which ended the polls of
    the worker, and against runs that are moved for being longer than a guess.
    """

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=3)

    def _run(self, job_id: str, run_s: float, percent: float) -> int:
        """Run a job and poll its worker before its end; return the stops."""
        simulation = self.simulation
        simulation.submit(job_id, tasks=1, estimate_s=0.0, budget_s=60.0)
        (order,) = simulation.take_starts()
        simulation.confirm(order)
        simulation.now += run_s
        simulation.poll(
            order.worker_id, running=((order.task, order.number, percent),)
        )
        stops = len(simulation.take_stops())
        if not stops:
            simulation.end(order)
        failed = [
            effect
            for effect in simulation.effects
            if isinstance(effect, effects.DecisionFailed)
        ]
        self.assertEqual(failed, [])
        return stops

    def test_long_run_stays_while_nothing_is_known(self):
        self.assertEqual(self._run("a1", run_s=5.0, percent=0.0), 0)

    def test_run_without_progress_moves_once_usual_run_times_are_known(self):
        for n in range(estimates.MIN_UNDECLARED_TASKS):
            self.assertEqual(self._run(f"a{n}", run_s=0.9, percent=95.0), 0)
        self.assertEqual(self._run("b1", run_s=0.9, percent=0.0), 1)

    def test_workers_are_not_rated_by_a_guess(self):
        for n in range(2 * estimates.MIN_UNDECLARED_TASKS):
            self._run(f"a{n}", run_s=2.0, percent=95.0)
        for worker in self.simulation.region.workers.values():
            self.assertEqual(worker.health.slowness, 1.0)
            self.assertEqual(worker.speed.evidence, 0.0)
