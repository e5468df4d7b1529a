"""Workers by their free processor, and what rests on that order."""

import random
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import placement
from pollenladder.scheduling import rooms
from tests.scheduling import simulations

MANY = 176


def _build_worker(number: int, cpu_milli: int) -> fleet.Worker:
    capacity = jobs.Resources(cpu_milli, 1024)
    return fleet.Worker(simulations.build_listing(f"w{number}", capacity))


class RoomsTest(unittest.TestCase):
    """The order holds, whatever is recorded."""

    def test_the_same_as_a_search_of_all(self):
        source = random.Random(7)
        found = rooms.Rooms()
        workers = {}
        for _ in range(2000):
            number = source.randrange(40)
            if source.random() < 0.1:
                found.forget(f"w{number}")
                workers.pop(number, None)
                continue
            workers[number] = _build_worker(number, source.randrange(0, 9))
            found.record(workers[number])
            needed = source.randrange(0, 9)
            listed = list(found.list_with_room(simulations.SERVICE, needed))
            expected = sorted(
                (w.free.cpu_milli, w.listing.worker_id)
                for w in workers.values()
                if w.free.cpu_milli >= needed
            )
            self.assertEqual(listed, [name for _, name in expected])

    def test_another_service_has_its_own(self):
        found = rooms.Rooms()
        found.record(_build_worker(1, 5))
        self.assertEqual(list(found.list_with_room("other", 1)), [])


class FullRegionTest(unittest.TestCase):
    """Many workers, all full but one: the load of a burst."""

    def setUp(self):
        self.world = simulations.RegionSimulation(workers=MANY)
        for number in range(MANY - 1):
            self.world.submit(f"j{number}")
        self.world.submit("last", tasks=1)

    def test_a_search_sees_only_workers_with_room(self):
        job = self.world.region.jobs["last"]
        seen = list(
            placement.list_with_room(self.world.region, job, self.world.now)
        )
        self.assertEqual(len(seen), 1)

    def test_room_is_back_when_a_run_is_over(self):
        region = self.world.region
        worker = next(w for w in region.workers.values() if len(w.runs) == 2)
        for run in list(worker.runs.values()):
            region.remove_run(worker, run)
        job = region.jobs["last"]
        seen = list(placement.list_with_room(region, job, self.world.now))
        self.assertEqual(len(seen), 2)
        self.assertEqual(seen[1], worker)
