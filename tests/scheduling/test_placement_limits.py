"""Tests of limits that hold for every choice of a worker."""

import dataclasses
import unittest
from unittest import mock

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import regions
from pollenladder.scheduling import interference
from pollenladder.scheduling import maintenance
from tests.scheduling import simulations


def _build_listing(worker_id: str, data_centre: str) -> fleet.Listing:
    listing = simulations.build_listing(worker_id)
    return dataclasses.replace(listing, data_centre=data_centre)


class AllowedRegionsTest(unittest.TestCase):
    """Known interference must not send a task outside its queue's regions."""

    def test_a_disturbed_task_stays_in_its_regions(self):
        simulation = simulations.RegionSimulation(workers=0)
        region = simulation.region
        region.regions = regions.Regions("eu", {"norte": "eu", "oeste": "us"})
        listings = [
            _build_listing("w0", "norte"),
            _build_listing("w1", "oeste"),
        ]
        maintenance.update_workers(region, listings, simulation.now)
        for worker_id in ("w0", "w1"):
            simulation.poll(worker_id)
        pair = interference.Pair(2.0, 1.5, 30.0)
        region.neighbourhood.model.pairs["victim", "noisy"] = pair
        simulation.submit("a", queue="noisy", tasks=1, allowed_regions=("eu",))
        simulation.submit("b", queue="victim", tasks=1, allowed_regions=("eu",))
        workers = [order.worker_id for order in simulation.take_starts()]
        self.assertEqual(workers, ["w0", "w0"])


class BoundedSearchTest(unittest.TestCase):
    """Without a fast enough worker, a task must not be compared with all."""

    def test_only_some_workers_are_compared(self):
        simulation = simulations.RegionSimulation(workers=161)
        region = simulation.region
        for worker in region.workers.values():
            worker.speed = fleet.SpeedEstimate(-0.4, 60.0)
        region.fastest_speed = 1.7
        visited = []
        get_speed = type(region).get_speed

        def count(self, worker_id):
            visited.append(worker_id)
            return get_speed(self, worker_id)

        with mock.patch.object(type(region), "get_speed", count):
            simulation.submit("a", tasks=1, estimate_s=1.4, budget_s=1.5)
        self.assertTrue(visited)
        self.assertLess(len(set(visited)), 100)
