"""Tests of choosing workers that are fast enough for a job."""

import math
import unittest

from pollenladder.fleet import speeds
from pollenladder.scheduling import features
from pollenladder.scheduling import speed_matching
from tests.scheduling import simulations

SLOW = 0.7
FAST = 1.7


class SpeedMatchingTest(unittest.TestCase):
    """Two slow workers, of which one has less free capacity, and a fast one."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=3)
        self.region = self.simulation.region
        for worker_id, speed in {"w0": SLOW, "w1": SLOW, "w2": FAST}.items():
            estimate = self.region.workers[worker_id].speed
            estimate.log_speed = math.log(speed)
            estimate.evidence = speeds.MAX_EVIDENCE
        self.region.fastest_speed = FAST
        # Best fit now prefers a slow worker.
        self._place("filler", tasks=1, cpu_milli=20_000, slack_s=9.0)

    def _place(self, job_id: str, **changes: object) -> set[str]:
        self.simulation.submit(job_id, **changes)
        return {order.worker_id for order in self.simulation.take_starts()}

    def test_a_job_with_time_left_goes_to_the_worker_of_best_fit(self):
        self.assertEqual(self._place("a", tasks=1, slack_s=1.0), {"w0"})

    def test_a_job_that_only_a_fast_worker_serves_in_time_goes_there(self):
        # It would end late on a slow worker, though a fast one has room.
        placed = self._place("a", tasks=1, slack_s=0.0, age_s=0.1)
        self.assertEqual(placed, {"w2"})

    def test_a_long_job_ends_before_the_deadline(self):
        # The caller is gone by the time that a slow worker would take.
        placed = self._place("a", tasks=1, estimate_s=1.2, budget_s=1.5)
        self.assertEqual(placed, {"w2"})

    def test_the_order_without_the_feature_is_that_of_best_fit(self):
        self.region.features = features.switch_off(["speeds"])
        placed = self._place("a", tasks=1, estimate_s=1.2, budget_s=1.5)
        self.assertEqual(placed, {"w0"})

    def test_equal_workers_need_no_search_by_speed(self):
        # A cost on all workers would make each placement visit all of them.
        self.region.fastest_speed = 1.0
        [job] = self.region.jobs.values()
        late_at = job.objective_at + 1.0
        needed = speed_matching.compute_needed_speed(self.region, job, late_at)
        self.assertEqual(needed, 0.0)
