"""Starts of an owner whose event loop is slow, and of attempts that have moved."""

import unittest
from unittest import mock

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import intake
from pollenladder.service import sessions
from tests.scheduling import simulations


class SlowOwnerTest(unittest.TestCase):
    """The owner sends each start some time after it has decided on it."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=2)
        self.region = self.simulation.region
        self.clients = {}
        self.sessions = {}
        for worker_id, worker in self.region.workers.items():
            session = sessions.Session(
                self.region, worker, mock.Mock(), lambda: self.simulation.now
            )
            session._client = client = mock.Mock()
            client.start.return_value = fleet.StartReply.STARTED
            self.sessions[worker_id] = session
            self.clients[worker_id] = client

    def _count_sent(self) -> int:
        return sum(c.start.call_count for c in self.clients.values())

    def _play(self, lag_s: float, seconds: float) -> int:
        """Return the number of iterations until the start is sent."""
        until = self.simulation.now + seconds
        iterations = 0
        while self.simulation.now < until and not self._count_sent():
            iterations += 1
            orders = [
                effect
                for effect in (
                    self.region.take_effects() + self.simulation.effects
                )
                if isinstance(effect, effects.StartRun)
            ]
            self.simulation.effects.clear()
            self.simulation.now += lag_s
            for order in orders:
                self.sessions[order.worker_id]._start_run_safely(order)
            # Its polls are answered meanwhile.
            for worker_id in self.region.workers:
                self.simulation.poll(worker_id)
        return iterations

    def test_tasks_start_however_slow_the_owner_is(self):
        for lag_s in (0.1, 0.34, 0.36, 0.5, 0.9):
            with self.subTest(lag_s=lag_s):
                self.setUp()
                self.simulation.submit("a1", tasks=1, budget_s=60.0)
                self._play(lag_s, 30.0)
                task = self.region.jobs["a1"].tasks[0]
                self.assertEqual(
                    (self._count_sent(), task.next_run > 2), (1, False)
                )

    def test_worker_is_not_avoided_for_a_start_that_was_not_sent(self):
        # Guards against tasks that are placed on worse workers after a pause.
        self.simulation.submit("a1", tasks=1, budget_s=60.0)
        (order,) = self.simulation.take_starts()
        self.simulation.now += 1.0
        self.sessions[order.worker_id]._start_run_safely(order)
        task = self.region.jobs["a1"].tasks[0]
        self.assertEqual(task.avoided_workers, set())


class MovedStartTest(unittest.TestCase):
    """The attempt moves between the decision on its start and the sending."""

    def test_start_of_a_moved_attempt_is_not_sent(self):
        simulation = simulations.RegionSimulation(workers=1)
        region = simulation.region
        session = sessions.Session(
            region,
            region.workers["w0"],
            mock.Mock(),
            lambda: simulation.now,
        )
        session._client = client = mock.Mock()
        client.start.return_value = fleet.StartReply.STARTED
        simulation.submit("a1", tasks=1)
        (order,) = simulation.take_starts()
        number = simulations.get_attempt("g1")
        reason = jobs.Reason.MOVED
        intake.cancel_attempt(region, "a1", number, reason, simulation.now)
        simulation.now += 0.2
        session._start_run_safely(order)
        client.start.assert_not_called()
