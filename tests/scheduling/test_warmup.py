"""Workers that are slow for some time after their start."""

import dataclasses
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import warmup
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import forecast
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import recovery
from pollenladder.scheduling import sharing
from tests.scheduling import simulations

COLD_START_S = 8.0
SMALL = jobs.Resources(cpu_milli=8_000)


class ShareTest(unittest.TestCase):
    """The share grows linearly from a quarter to all of the capacity."""

    def _compute_share(self, left_s: float, cold_start_s: float) -> float:
        worker = fleet.Worker(simulations.build_listing("w0"))
        warmup.update(worker, left_s, cold_start_s, 100.0)
        return warmup.compute_share(worker, 100.0)

    def test_share_by_remaining_time(self):
        cases = ((12.0, 0.25), (8.0, 0.25), (4.0, 0.625), (0.0, 1.0))
        for left_s, share in cases:
            with self.subTest(left_s=left_s):
                found = self._compute_share(left_s, COLD_START_S)
                self.assertAlmostEqual(found, share)

    def test_no_limit_without_either_value(self):
        self.assertEqual(self._compute_share(4.0, 0.0), 1.0)
        self.assertEqual(self._compute_share(0.0, COLD_START_S), 1.0)


class PlacementTest(unittest.TestCase):
    """One cold worker of 64 cores, and tasks of 8 cores."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=0)
        region = self.simulation.region
        region.cold_starts = {simulations.SERVICE: COLD_START_S}
        self._list(COLD_START_S)
        self.simulation.poll("w0")

    def _list(self, cold_left_s: float) -> None:
        listing = simulations.build_listing("w0")
        maintenance.update_workers(
            self.simulation.region,
            [dataclasses.replace(listing, cold_left_s=cold_left_s)],
            self.simulation.now,
        )

    def _submit(self) -> int:
        """Submit eight tasks; return the number that start."""
        self.simulation.submit(
            "a1",
            tasks=8,
            cpu_milli=SMALL.cpu_milli,
            slack_s=20.0,
            budget_s=20.0,
        )
        return len(self.simulation.take_starts())

    def test_cold_worker_is_not_flooded(self):
        self.assertEqual(self._submit(), 2)
        for waited_s, started in ((4.0, 3), (4.0, 3)):
            self.simulation.step(waited_s)
            self.assertEqual(len(self.simulation.take_starts()), started)

    def test_entry_that_did_not_change_does_not_prolong_the_time(self):
        # The list is read more often than workers renew their entries.
        self.simulation.step(4.0)
        self._list(COLD_START_S)
        self.assertEqual(self._submit(), 5)

    def test_renewed_entry_replaces_the_time(self):
        self._list(0.0)
        self.assertEqual(self._submit(), 8)

    def test_limit_is_off_without_a_time_in_the_configuration(self):
        maintenance.update_services(self.simulation.region, {}, frozenset())
        self.assertEqual(self._submit(), 8)

    def test_forecast_counts_on_the_rest_once_the_worker_is_warm(self):
        # The job must not be refused as if there were no more capacity.
        self._submit()
        region = self.simulation.region
        now = self.simulation.now
        wait_s = forecast.forecast_wait_s(region, region.jobs["a1"], now)
        self.assertGreater(wait_s, 0.1)
        self.assertLessEqual(wait_s, COLD_START_S)

    def test_reported_load_offers_only_the_share(self):
        region = self.simulation.region
        loads = sharing.measure_loads(region, self.simulation.now)
        self.assertEqual(loads[simulations.SERVICE].free_milli, 16_000)

    def test_rebuilt_region_keeps_the_limit(self):
        now = self.simulation.now
        rebuilt = recovery.rebuild_region(self.simulation.region, 2, now)
        self.assertEqual(
            rebuilt.cold_starts, {simulations.SERVICE: COLD_START_S}
        )
