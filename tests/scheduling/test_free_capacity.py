"""Tests of the index of workers by free CPU, and of its use."""

import random
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import candidates
from pollenladder.scheduling import free_capacity
from tests.scheduling import simulations

WORKERS = 176


def _build_worker(number: int, cpu_milli: int) -> fleet.Worker:
    capacity = jobs.Resources(cpu_milli, 1024)
    return fleet.Worker(simulations.build_listing(f"w{number}", capacity))


class FreeCapacityTest(unittest.TestCase):
    """The index stays sorted through any sequence of updates."""

    def test_it_matches_a_search_of_all_workers(self):
        source = random.Random(7)
        index = free_capacity.FreeCapacityIndex()
        workers = {}
        for _ in range(2000):
            number = source.randrange(40)
            if source.random() < 0.1:
                index.remove(f"w{number}")
                workers.pop(number, None)
                continue
            workers[number] = _build_worker(number, source.randrange(0, 9))
            index.update(workers[number])
            needed = source.randrange(0, 9)
            listed = list(index.iterate_with_cpu(simulations.SERVICE, needed))
            expected = sorted(
                (w.free.cpu_milli, w.listing.worker_id)
                for w in workers.values()
                if w.free.cpu_milli >= needed
            )
            self.assertEqual(listed, [name for _, name in expected])
            # Deferred jobs start by these totals; a drift would defer forever.
            totals = (
                sum(w.free.cpu_milli for w in workers.values()),
                sum(w.listing.capacity.cpu_milli for w in workers.values()),
            )
            self.assertEqual(index.get_totals(simulations.SERVICE), totals)

    def test_services_are_separate(self):
        index = free_capacity.FreeCapacityIndex()
        index.update(_build_worker(1, 5))
        self.assertEqual(list(index.iterate_with_cpu("other", 1)), [])


class FullRegionTest(unittest.TestCase):
    """Many workers, all but one of them full, as in a burst."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=WORKERS)
        for number in range(WORKERS - 1):
            self.simulation.submit(f"j{number}")
        self.simulation.submit("last", tasks=1)

    def test_a_search_visits_only_workers_with_capacity(self):
        job = self.simulation.region.jobs["last"]
        seen = list(
            candidates.iterate_fitting(
                self.simulation.region, job, self.simulation.now
            )
        )
        self.assertEqual(len(seen), 1)

    def test_capacity_is_free_again_after_runs_end(self):
        region = self.simulation.region
        worker = next(w for w in region.workers.values() if len(w.runs) == 2)
        for run in list(worker.runs.values()):
            region.remove_run(worker, run)
        job = region.jobs["last"]
        seen = list(
            candidates.iterate_fitting(region, job, self.simulation.now)
        )
        self.assertEqual(len(seen), 2)
        self.assertEqual(seen[1], worker)
