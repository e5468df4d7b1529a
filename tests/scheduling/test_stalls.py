"""Tests of runs that make too little progress."""

import unittest

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
