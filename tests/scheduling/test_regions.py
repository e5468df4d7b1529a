"""Queues that are restricted to the workers of some regions."""

import dataclasses
import unittest

from pollenladder.fleet import evacuations
from pollenladder.fleet import regions
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import evacuation
from pollenladder.scheduling import forecast
from pollenladder.scheduling import maintenance
from tests.scheduling import simulations

REGIONS = regions.Regions("andes", {"sur": "costa"})


class RegionsTest(unittest.TestCase):
    """The data centres that a queue allows."""

    def test_data_centre_without_an_entry_is_in_the_own_region(self):
        self.assertTrue(REGIONS.allow(("andes",), "norte"))
        self.assertFalse(REGIONS.allow(("costa",), "norte"))
        self.assertTrue(REGIONS.allow(("costa", "selva"), "sur"))

    def test_no_restriction(self):
        self.assertTrue(REGIONS.allow((), "sur"))

    def test_settings_without_regions_restrict_nothing(self):
        # An earlier deployment must not refuse all jobs of such a queue.
        self.assertTrue(regions.NONE.allow(("andes",), "norte"))

    def test_unknown_data_centre_is_not_allowed(self):
        known = regions.Regions("", {"sur": "costa"})
        self.assertFalse(known.allow(("andes",), "norte"))


class RestrictedJobTest(unittest.TestCase):
    """One worker in each of two regions."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=0)
        self.region = self.simulation.region
        self.region.regions = REGIONS
        listings = [
            dataclasses.replace(
                simulations.build_listing(worker_id), data_centre=data_centre
            )
            for worker_id, data_centre in (("w0", "norte"), ("w1", "sur"))
        ]
        maintenance.update_workers(
            self.region, listings, float("-inf"), self.simulation.now
        )
        for worker_id in ("w0", "w1"):
            self.simulation.poll(worker_id)

    def _submit(self, job_id: str, *allowed: str, **changes: object) -> None:
        self.simulation.submit(job_id, allowed_regions=allowed, **changes)

    def _list_started(self) -> set[str]:
        return {order.worker_id for order in self.simulation.take_starts()}

    def _take_reasons(self) -> list[jobs.Reason]:
        return [answer.reason for answer in self.simulation.take_answers()]

    def test_job_runs_only_in_its_regions(self):
        self._submit("a1", "costa", tasks=4, budget_s=9.0)
        self.assertEqual(self._list_started(), {"w1"})
        self.assertEqual(len(self.region.jobs["a1"].list_waiting_tasks()), 2)

    def test_restricted_job_does_not_hold_back_others(self):
        self._submit("a1", "costa", tasks=4, budget_s=9.0)
        self._list_started()
        self._submit("a2", tasks=2, budget_s=9.0, stretch=4.0)
        self.assertEqual(self._list_started(), {"w0"})

    def test_job_without_workers_in_its_regions_is_refused(self):
        self._submit("a1", "selva")
        self.assertEqual(self._take_reasons(), [jobs.Reason.NO_WORKERS])

    def test_job_whose_region_is_evacuated_is_refused(self):
        self._submit("a1", "costa", tasks=2)
        self._submit("a2", "costa", tasks=2)
        now = self.simulation.now
        found = evacuations.EvacuatedSet(1, ("sur",))
        self.region.evacuations.record_read(found, now, now)
        evacuation.apply(self.region, now)
        self.simulation.step()
        self.assertEqual(self._take_reasons(), [jobs.Reason.NO_WORKERS])
        self._submit("a3", "costa")
        self.assertEqual(self._take_reasons(), [jobs.Reason.NO_WORKERS])

    def test_forecast_counts_only_slots_of_the_regions(self):
        self._submit("a1", "costa", tasks=2)
        self._submit("a2", "costa", tasks=2)
        now = self.simulation.now
        job = self.region.jobs["a2"]
        # The two slots of the other region are idle.
        wait_s = forecast.forecast_wait_s(self.region, job, now)
        self.assertGreater(wait_s, 0.1)
        counted = forecast.count_slots(
            self.region, simulations.SERVICE, job.resources, 9, ("costa",)
        )
        self.assertEqual(counted, 2)
