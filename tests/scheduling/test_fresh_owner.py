"""Jobs that come while a new owner has not yet seen its workers."""

import dataclasses
import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import replies
from pollenladder.scheduling import tables
from tests.scheduling import simulations


class FreshOwnerTest(unittest.TestCase):
    """Nothing is refused for want of room that a first look will show."""

    def setUp(self):
        self.world = simulations.RegionSimulation(workers=0)
        self.world.list_workers(["w0", "w1", "w2"], synced=False)

    def test_a_job_waits_for_the_first_look(self):
        self.world.submit("a1")
        self.assertEqual(self.world.take_answers(), [])
        self.world.look("w0")
        self.assertEqual(len(self.world.take_starts()), 2)

    def test_what_would_not_fit_all_workers_together_is_refused(self):
        urgent = {"estimate_s": 0.9, "stretch": 1.0, "slack_s": 0.1}
        for number in range(6):
            self.world.submit(f"a{number}", tasks=1, **urgent)
        self.world.submit("late", tasks=1)
        (answer,) = self.world.take_answers()
        self.assertEqual(answer.job_id, "late")

    def test_silent_workers_are_not_waited_for(self):
        for worker_id in ("w0", "w1", "w2"):
            replies.handle_missed_poll(
                self.world.region, worker_id, self.world.now
            )
        self.world.submit("a1")
        (answer,) = self.world.take_answers()
        self.assertIs(answer.reason, jobs.Reason.NO_ROOM_IN_TIME)

    def test_without_a_list_of_workers_a_job_waits_for_it(self):
        self.world.region = tables.Region(
            2, self.world.now, simulations.LEASE_S
        )
        self.world.submit("a1")
        self.assertEqual(self.world.take_answers(), [])
        self.world.list_workers(["w0"])
        self.assertEqual(len(self.world.take_starts()), 2)

    def test_it_does_not_wait_for_a_list_beyond_its_time(self):
        self.world.region = tables.Region(
            2, self.world.now, simulations.LEASE_S
        )
        self.world.submit("a1")
        self.world.step(0.5)
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)


class StaleListTest(unittest.TestCase):
    """A new owner read the workers long ago, and one has begun to leave since."""

    def setUp(self):
        self.world = simulations.RegionSimulation(workers=0)
        region = self.world.region
        region.is_worker_list_current = False
        region.worker_list_deadline = self.world.now + 0.3
        self.world.list_workers(["w0", "w1"])
        self.world.submit("a1")

    def test_nothing_is_started_before_the_list_is_read(self):
        self.assertEqual(self.world.take_starts(), [])
        leaving = dataclasses.replace(
            simulations.build_listing("w0"), is_draining=True
        )
        maintenance.update_workers(
            self.world.region,
            [leaving, simulations.build_listing("w1")],
            float("-inf"),
            self.world.now,
            is_full_list=True,
        )
        self.world.step()
        started = {order.worker_id for order in self.world.take_starts()}
        self.assertEqual(started, {"w1"})

    def test_a_list_that_cannot_be_read_is_not_waited_for_long(self):
        self.world.step(0.2)
        self.assertEqual(self.world.take_starts(), [])
        self.world.step(0.1)
        self.assertEqual(len(self.world.take_starts()), 2)
