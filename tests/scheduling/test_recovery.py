"""Tests of an owner that claims again after another daemon was the owner."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import recovery
from pollenladder.scheduling import unknown_runs
from tests.scheduling import simulations

NAMES = ["w0", "w1", "w2"]


class RecoveryTest(unittest.TestCase):
    """Tasks that the other owner may have started are not started twice."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=3)
        self.simulation.submit("a1", budget_s=9.0, slack_s=5.0)
        self.starts = self.simulation.take_starts()
        self.simulation.confirm(self.starts[0])
        self.simulation.reply(self.starts[1], fleet.StartReply.FENCED)
        self.simulation.take_starts()

    def _rebuild(self) -> None:
        simulation = self.simulation
        simulation.region = recovery.rebuild_region(
            simulation.region, 9, simulation.now
        )
        simulation.list_workers(NAMES, synced=False)

    def test_nothing_starts_before_all_workers_are_polled(self):
        self._rebuild()
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.now += unknown_runs.OWNER_SETTLING_S
        self.simulation.region.is_worker_list_current = True
        for name in NAMES[:2]:
            self.simulation.poll(name, running=())
        self.assertEqual(self.simulation.take_starts(), [])

    def test_a_run_of_the_other_owner_is_adopted(self):
        self._rebuild()
        for name in NAMES:
            running = (("a1.0.0.1", 33, 10.0),) if name == "w2" else ()
            self.simulation.poll(name, running=running)
        self.simulation.now += unknown_runs.OWNER_SETTLING_S
        self.simulation.region.is_worker_list_current = True
        self.simulation.step()
        started = [order.task for order in self.simulation.take_starts()]
        self.assertEqual(started, ["a1.0.0.0"])

    def test_completed_tasks_are_not_started_again(self):
        self.simulation.end(self.starts[0])
        self._rebuild()
        for name in NAMES:
            self.simulation.poll(name, running=())
        self.simulation.now += unknown_runs.OWNER_SETTLING_S
        self.simulation.region.is_worker_list_current = True
        self.simulation.step()
        started = [order.task for order in self.simulation.take_starts()]
        self.assertEqual(started, [self.starts[1].task])

    def test_the_job_is_never_refused_as_not_run(self):
        self._rebuild()
        self.simulation.step(9.0)
        outcomes = {a.outcome for a in self.simulation.take_answers()}
        self.assertEqual(outcomes, {jobs.Outcome.GIVEN_UP})

    def test_new_runs_get_higher_numbers(self):
        self._rebuild()
        for name in NAMES:
            self.simulation.poll(name, running=())
        self.simulation.now += unknown_runs.OWNER_SETTLING_S
        self.simulation.region.is_worker_list_current = True
        self.simulation.step()
        numbers = {o.task: o.number for o in self.simulation.take_starts()}
        self.assertGreater(numbers[self.starts[1].task], self.starts[1].number)
