"""Tests of jobs that reach a new owner before it knows its workers."""

import dataclasses
import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import replies
from pollenladder.scheduling import tables
from tests.scheduling import simulations


class FreshOwnerTest(unittest.TestCase):
    """Jobs are not refused while first polls may still find capacity."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=0)
        self.simulation.list_workers(["w0", "w1", "w2"], synced=False)

    def test_a_job_waits_for_the_first_poll(self):
        self.simulation.submit("a1")
        self.assertEqual(self.simulation.take_answers(), [])
        self.simulation.poll("w0")
        self.assertEqual(len(self.simulation.take_starts()), 2)

    def test_jobs_beyond_the_capacity_of_all_workers_are_refused(self):
        urgent = {"estimate_s": 0.9, "stretch": 1.0, "slack_s": 0.1}
        for number in range(6):
            self.simulation.submit(f"a{number}", tasks=1, **urgent)
        self.simulation.submit("late", tasks=1)
        (answer,) = self.simulation.take_answers()
        self.assertEqual(answer.job_id, "late")

    def test_jobs_do_not_wait_for_workers_that_missed_polls(self):
        for worker_id in ("w0", "w1", "w2"):
            replies.handle_missed_poll(
                self.simulation.region, worker_id, self.simulation.now
            )
        self.simulation.submit("a1")
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.reason, jobs.Reason.NO_ROOM_IN_TIME)

    def test_a_job_waits_for_the_first_worker_list(self):
        self.simulation.region = tables.Region(
            2, self.simulation.now, simulations.LEASE_S
        )
        self.simulation.submit("a1")
        self.assertEqual(self.simulation.take_answers(), [])
        self.simulation.list_workers(["w0"])
        self.assertEqual(len(self.simulation.take_starts()), 2)

    def test_waiting_for_a_worker_list_ends_at_the_latest_start(self):
        self.simulation.region = tables.Region(
            2, self.simulation.now, simulations.LEASE_S
        )
        self.simulation.submit("a1")
        self.simulation.step(0.5)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)


class StaleListTest(unittest.TestCase):
    """A new owner's worker list is old, and one worker is draining by now.

    By the old list, tasks would be placed on the draining worker.
    """

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=0)
        region = self.simulation.region
        region.is_worker_list_current = False
        region.worker_list_deadline = self.simulation.now + 0.3
        self.simulation.list_workers(["w0", "w1"])
        self.simulation.submit("a1")

    def test_nothing_starts_before_the_list_is_read(self):
        self.assertEqual(self.simulation.take_starts(), [])
        leaving = dataclasses.replace(
            simulations.build_listing("w0"), is_draining=True
        )
        maintenance.update_workers(
            self.simulation.region,
            [leaving, simulations.build_listing("w1")],
            self.simulation.now,
            is_full_list=True,
        )
        self.simulation.step()
        started = {order.worker_id for order in self.simulation.take_starts()}
        self.assertEqual(started, {"w1"})

    def test_waiting_for_an_unreadable_list_is_bounded(self):
        self.simulation.step(0.2)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.step(0.1)
        self.assertEqual(len(self.simulation.take_starts()), 2)
