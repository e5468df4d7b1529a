"""Runs that make too little progress."""

import unittest

from tests.scheduling import simulations


class StallTest(unittest.TestCase):
    """A run moves if a fresh one elsewhere ends sooner, and only then."""

    def setUp(self):
        self.world = simulations.RegionSimulation(workers=6)
        self.world.submit("a1", tasks=4, estimate_s=0.2, budget_s=9.0)
        self.orders = self.world.take_starts()
        for order in self.orders:
            self.world.confirm(order)

    def _tell(self, percents: dict[str, float]) -> None:
        for worker_id, worker in list(self.world.region.workers.items()):
            running = tuple(
                (run.task, run.number, percents[worker_id])
                for run in worker.runs.values()
            )
            self.world.look(worker_id, running=running)

    def test_a_run_that_stands_still_beside_others_moves(self):
        self.world.now += 0.12
        first = self.orders[0].worker_id
        others = {o.worker_id: 60.0 for o in self.orders}
        self._tell(others | {first: 0.0})
        stopped = {order.worker_id for order in self.world.take_stops()}
        self.assertEqual(stopped, {first})

    def test_a_job_declared_too_short_is_left_alone(self):
        self.world.now += 0.3
        self._tell({o.worker_id: 40.0 for o in self.orders})
        self.assertEqual(self.world.take_stops(), [])

    def test_a_slow_run_that_is_nearly_done_is_left_alone(self):
        self.world.now += 0.5
        first = self.orders[0].worker_id
        percents = {o.worker_id: 99.0 for o in self.orders}
        self._tell(percents | {first: 80.0})
        self.assertEqual(self.world.take_stops(), [])

    def test_without_room_elsewhere_it_stays(self):
        world = simulations.RegionSimulation(workers=1)
        world.submit("a1", tasks=2, estimate_s=0.2, budget_s=9.0)
        for order in world.take_starts():
            world.confirm(order)
        world.now += 1.5
        world.look("w0")
        self.assertEqual(world.take_stops(), [])
