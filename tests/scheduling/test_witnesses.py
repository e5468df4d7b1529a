"""Tests of the choice of workers that tell a crash from a partition."""

import dataclasses
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import witnesses
from tests.scheduling import simulations


class WitnessesTest(unittest.TestCase):
    """Witnesses are reachable, and share the worker's path through the network."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=6)
        self.region = self.simulation.region
        self.worker = self.region.workers["w0"]

    def _choose(self) -> set[str]:
        found = witnesses.choose(self.region, self.worker)
        return {witness.listing.worker_id for witness in found}

    def _change(self, worker_ids: set[str], **changes: object) -> None:
        listings = [
            dataclasses.replace(worker.listing, **changes)
            if worker_id in worker_ids
            else worker.listing
            for worker_id, worker in self.region.workers.items()
        ]
        maintenance.update_workers(self.region, listings, self.simulation.now)

    def test_few_other_workers_are_chosen(self):
        """Guards against a connection to each worker after every crash."""
        found = self._choose()
        self.assertEqual(len(found), witnesses.MAX_WITNESSES)
        self.assertNotIn("w0", found)

    def test_workers_of_other_data_centres_are_no_witnesses(self):
        """Guards against a partition of one data centre that looks like a crash."""
        self._change({"w1", "w2", "w3", "w4"}, data_centre="sur")
        self.assertEqual(self._choose(), {"w5"})

    def test_lost_workers_are_no_witnesses(self):
        """Guards against crashes that are not found while others are down."""
        for worker_id in ("w1", "w2", "w3"):
            self.simulation.lose(worker_id)
        self.assertEqual(self._choose(), {"w4", "w5"})

    def test_workers_that_left_are_no_witnesses(self):
        """Guards against an address where nothing listens any more."""
        worker = self.region.workers["w5"]
        task = fleet.Run(
            "a.0.0.0",
            1,
            "w5",
            worker.listing.capacity,
            fleet.RunState.RUNNING,
            0.0,
            1.0,
        )
        self.region.add_run(worker, task)
        self.simulation.list_workers(
            ["w0", "w1"], synced=False, last_expired_at=self.simulation.now
        )
        self.assertEqual(self._choose(), {"w1"})
