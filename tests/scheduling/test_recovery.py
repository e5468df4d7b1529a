"""An owner that claims again after another one had its workers."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import recovery
from pollenladder.scheduling import runs
from tests.scheduling import simulations

NAMES = ["w0", "w1", "w2"]


class RenewalTest(unittest.TestCase):
    """What the other owner may have begun is not begun again."""

    def setUp(self):
        self.world = simulations.RegionSimulation(workers=3)
        self.world.submit("a1", budget_s=9.0, slack_s=5.0)
        self.starts = self.world.take_starts()
        self.world.confirm(self.starts[0])
        self.world.reply(self.starts[1], fleet.StartReply.FENCED)
        self.world.take_starts()

    def _renew(self) -> None:
        world = self.world
        world.region = recovery.rebuild_region(world.region, 9, world.now)
        world.list_workers(NAMES, synced=False)

    def test_nothing_starts_before_all_workers_are_seen(self):
        self._renew()
        self.assertEqual(self.world.take_starts(), [])
        self.world.now += runs.SETTLING_S
        self.world.region.is_worker_list_current = True
        for name in NAMES[:2]:
            self.world.look(name, running=())
        self.assertEqual(self.world.take_starts(), [])

    def test_a_run_of_the_other_owner_is_adopted(self):
        self._renew()
        for name in NAMES:
            running = (("a1.0.0.1", 33, 10.0),) if name == "w2" else ()
            self.world.look(name, running=running)
        self.world.now += runs.SETTLING_S
        self.world.region.is_worker_list_current = True
        self.world.step()
        started = [order.task for order in self.world.take_starts()]
        self.assertEqual(started, ["a1.0.0.0"])

    def test_what_is_done_is_not_done_again(self):
        self.world.end(self.starts[0])
        self._renew()
        for name in NAMES:
            self.world.look(name, running=())
        self.world.now += runs.SETTLING_S
        self.world.region.is_worker_list_current = True
        self.world.step()
        started = [order.task for order in self.world.take_starts()]
        self.assertEqual(started, [self.starts[1].task])

    def test_the_job_is_never_refused_as_not_run(self):
        self._renew()
        self.world.step(9.0)
        outcomes = {a.outcome for a in self.world.take_answers()}
        self.assertEqual(outcomes, {jobs.Outcome.GIVEN_UP})

    def test_its_runs_get_higher_numbers(self):
        self._renew()
        for name in NAMES:
            self.world.look(name, running=())
        self.world.now += runs.SETTLING_S
        self.world.region.is_worker_list_current = True
        self.world.step()
        numbers = {o.task: o.number for o in self.world.take_starts()}
        self.assertGreater(numbers[self.starts[1].task], self.starts[1].number)
