"""The owner's decisions while data centres are taken out of use."""

import dataclasses
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import evacuations
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import evacuation
from pollenladder.scheduling import forecast
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import recovery
from pollenladder.scheduling import sharing
from pollenladder.scheduling import tables
from tests.scheduling import simulations

LIMITS = evacuations.build_limits(5.0, simulations.LEASE_S)
LARGE = jobs.Resources(cpu_milli=96_000, memory_mb=131_072)
# Tasks of this size fill a worker.
WHOLE_WORKER = {"cpu_milli": 60_000}


class EvacuationTest(unittest.TestCase):
    """An owner with two workers in one data centre and one in another."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=0)
        self.known = evacuations.Evacuations(LIMITS, is_confirmed=True)
        self.simulation.region.evacuations = self.known
        self.version = 0
        self._read(())
        self._list({"w0": "norte", "w1": "norte", "w2": "sur"})

    @property
    def region(self) -> tables.Region:
        return self.simulation.region

    def _list(
        self,
        data_centres: dict[str, str],
        sizes: dict[str, jobs.Resources] | None = None,
    ) -> None:
        sizes = sizes or {}
        listings = [
            dataclasses.replace(
                simulations.build_listing(
                    worker_id, sizes.get(worker_id, simulations.CORES_64)
                ),
                data_centre=data_centre,
            )
            for worker_id, data_centre in data_centres.items()
        ]
        now = self.simulation.now
        maintenance.update_workers(self.region, listings, now)
        for worker_id in data_centres:
            self.simulation.poll(worker_id)

    def _read(self, names: tuple[str, ...]) -> None:
        """Let the owner read a set from the store."""
        self.version += 1
        now = self.simulation.now
        found = evacuations.EvacuatedSet(self.version, names)
        if self.known.record_read(found, now, now):
            evacuation.apply(self.region, now)
        self.simulation.step()

    def _take_reasons(self) -> list[tuple[jobs.Outcome, jobs.Reason]]:
        answers = self.simulation.take_answers()
        return [(answer.outcome, answer.reason) for answer in answers]

    def _list_started(self) -> set[str]:
        return {order.worker_id for order in self.simulation.take_starts()}

    def test_nothing_starts_in_an_evacuated_data_centre(self):
        self._read(("norte",))
        self.simulation.submit("a1")
        self.simulation.submit("a2")
        self.assertEqual(self._list_started(), {"w2"})

    def test_active_run_ends_by_itself(self):
        self.simulation.submit("a1", tasks=6)
        orders = self.simulation.take_starts()
        self._read(("norte",))
        self.assertEqual(self.simulation.take_stops(), [])
        for order in orders:
            self.simulation.confirm(order)
            self.simulation.end(order)
        completed = (jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE)
        self.assertEqual(self._take_reasons(), [completed])

    def test_data_centre_is_used_again_after_its_return(self):
        self._read(("norte",))
        self._read(())
        self.simulation.submit("a1", tasks=6)
        self.assertEqual(self._list_started(), {"w0", "w1", "w2"})

    def test_one_of_two_evacuations_is_taken_back(self):
        self._read(("norte", "sur"))
        self._read(("sur",))
        self.simulation.submit("a1", tasks=4)
        self.assertEqual(self._list_started(), {"w0", "w1"})

    def test_worker_that_is_listed_later_is_evacuated_too(self):
        # A worker that restarts in an evacuated data centre must stay idle.
        self._read(("norte",))
        self._list({"w0": "norte", "w2": "sur", "w3": "norte"})
        self.simulation.submit("a1", tasks=4)
        self.assertEqual(self._list_started(), {"w2"})

    def test_waiting_job_is_refused_for_another_group_at_once(self):
        self.region.service_shares = {simulations.SERVICE: 0.5}
        self.simulation.submit("a1", tasks=3, **WHOLE_WORKER)
        self.simulation.submit("a2", tasks=1, **WHOLE_WORKER)
        self.simulation.take_starts()
        self._read(("norte", "sur"))
        refused = (jobs.Outcome.REFUSED, jobs.Reason.NO_WORKERS)
        self.assertEqual(self._take_reasons(), [refused])
        # A second submission here could run beside the one in another group.
        self.assertIn("a2", self.region.refusals)
        self.assertEqual(self.region.admission.pressure, 0.0)

    def test_waiting_job_stays_if_its_group_has_other_workers(self):
        self.simulation.submit("a1", tasks=3, **WHOLE_WORKER)
        self.simulation.submit("a2", tasks=1, **WHOLE_WORKER)
        self._read(("norte",))
        self.assertEqual(self._take_reasons(), [])

    def test_waiting_job_that_fits_no_other_worker_is_refused(self):
        # It would wait for capacity that does not come before its deadline.
        sizes = {"w0": LARGE}
        self._list({"w0": "norte", "w2": "sur"}, sizes)
        self.simulation.submit("a1", tasks=1, cpu_milli=90_000)
        self.simulation.submit("a2", tasks=1, cpu_milli=90_000)
        self._read(("norte",))
        refused = (jobs.Outcome.REFUSED, jobs.Reason.TOO_LARGE)
        self.assertEqual(self._take_reasons(), [refused])

    def test_all_evacuated_refuses_new_jobs_with_retry_after(self):
        self._read(("norte", "sur"))
        self.simulation.submit("a1")
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.REFUSED)
        self.assertIs(answer.reason, jobs.Reason.NO_WORKERS)
        self.assertEqual(answer.retry_after_s, 5.0)

    def test_evacuated_group_reports_no_capacity(self):
        now = self.simulation.now
        before = sharing.measure_loads(self.region, now)
        self.assertEqual(before[simulations.SERVICE].capacity_milli, 192_000)
        self._read(("norte",))
        partly = sharing.measure_loads(self.region, now)
        self.assertEqual(partly[simulations.SERVICE].capacity_milli, 64_000)
        self._read(("norte", "sur"))
        self.assertEqual(sharing.measure_loads(self.region, now), {})

    def test_counts_and_forecasts_exclude_evacuated_workers(self):
        needed = jobs.Resources(cpu_milli=30_000)
        service = simulations.SERVICE
        self.assertEqual(
            forecast.count_slots(self.region, service, needed, 99), 6
        )
        self._read(("norte",))
        self.assertEqual(
            forecast.count_slots(self.region, service, needed, 99), 2
        )
        self.simulation.submit("a1", tasks=2)
        self.simulation.submit("a2", tasks=2)
        job = self.region.jobs["a2"]
        now = self.simulation.now
        # Four slots of the other data centre are idle.
        self.assertGreater(forecast.forecast_wait_s(self.region, job, now), 0.1)
        self._read(("norte", "sur"))
        self.assertFalse(forecast.can_ever_fit(self.region, service, needed))

    def test_begun_job_finishes_on_evacuated_workers_for_a_time(self):
        # Its completed tasks would be worthless without the others.
        self.simulation.submit("a1", tasks=4, budget_s=9.0, **WHOLE_WORKER)
        first = self.simulation.take_starts()
        self.assertEqual(len(first), 3)
        self._read(("norte", "sur"))
        self.simulation.end(first[0])
        (last,) = self.simulation.take_starts()
        self.assertEqual(last.worker_id, first[0].worker_id)

    def test_begun_job_starts_nothing_after_that_time(self):
        self.simulation.submit("a1", tasks=4, budget_s=9.0, **WHOLE_WORKER)
        first = self.simulation.take_starts()
        self._read(("norte", "sur"))
        self.simulation.step(1.3)
        self.simulation.end(first[0])
        self.assertEqual(self.simulation.take_starts(), [])
        given_up = (jobs.Outcome.GIVEN_UP, jobs.Reason.NO_WORKERS)
        self.assertEqual(self._take_reasons(), [given_up])

    def test_job_with_a_run_that_is_still_ending_is_not_refused(self):
        # Its gateway would send it to another group, where the task could run
        # beside the run that is being stopped here.
        self.simulation.submit("a1", tasks=4, budget_s=9.0, **WHOLE_WORKER)
        first = self.simulation.take_starts()
        self._read(("norte", "sur"))
        self.simulation.step(1.3)
        self.simulation.end(first[0])
        self.simulation.take_answers()
        self.simulation.submit("a1", tasks=4, **WHOLE_WORKER)
        given_up = (jobs.Outcome.GIVEN_UP, jobs.Reason.NO_WORKERS)
        self.assertEqual(self._take_reasons(), [given_up])

    def test_time_to_finish_counts_for_each_data_centre(self):
        # The estimate keeps the workers from being quarantined as slow.
        sizes = WHOLE_WORKER | {"estimate_s": 2.0}
        self.simulation.submit("a1", tasks=4, budget_s=9.0, **sizes)
        first = {o.worker_id: o for o in self.simulation.take_starts()}
        self._read(("norte",))
        self.simulation.step(1.3)
        self._read(("norte", "sur"))
        self.simulation.end(first["w0"])
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.end(first["w2"])
        self.assertEqual(self._list_started(), {"w2"})

    def test_owner_with_a_higher_epoch_keeps_the_set(self):
        self._read(("norte",))
        self.simulation.region = recovery.rebuild_region(
            self.region, 2, self.simulation.now
        )
        self._list({"w0": "norte", "w1": "norte", "w2": "sur"})
        self.simulation.submit("a1", tasks=4)
        self.assertEqual(self._list_started(), {"w2"})

    def test_begun_job_uses_other_workers_if_there_are_any(self):
        self.simulation.submit("a1", tasks=4, budget_s=9.0, **WHOLE_WORKER)
        first = {o.worker_id: o for o in self.simulation.take_starts()}
        self._read(("norte",))
        self.simulation.end(first["w0"])
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.end(first["w2"])
        self.assertEqual(self._list_started(), {"w2"})

    def test_rejected_start_is_not_repeated_after_the_evacuation(self):
        # The evacuation arrives while a start order is in flight.
        self.simulation.submit("a1", tasks=5)
        orders = self.simulation.take_starts()
        self._read(("norte",))
        for order in orders:
            if order.worker_id != "w2":
                self.simulation.reply(order, fleet.StartReply.NO_ROOM)
        self.assertLessEqual(self._list_started(), {"w2"})

    def test_new_owner_adopts_runs_on_evacuated_workers(self):
        # The evacuation and a hand-over meet: the job must not be refused while
        # its run ends, and its task must not get a second run.
        self.simulation.submit("a1", tasks=1)
        (order,) = self.simulation.take_starts()
        self._read(("norte", "sur"))
        self.simulation.region = recovery.rebuild_region(
            self.region, 2, self.simulation.now
        )
        self.assertIn("a1", self.region.jobs)
        self._list({"w0": "norte", "w1": "norte", "w2": "sur"})
        running = ((order.task, order.number, 50.0),)
        self.simulation.poll(order.worker_id, running)
        self.simulation.step(0.1)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.end(order)
        completed = (jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE)
        self.assertEqual(self._take_reasons(), [completed])

    def test_job_of_an_earlier_owner_is_admitted_when_evacuated(self):
        self._read(("norte", "sur"))
        self.simulation.step(1.0)
        self.simulation.submit("a1", may_have_begun=True)
        # Its runs may be active until the leases of the earlier owner expire.
        self.simulation.step(0.5)
        self.assertIn("a1", self.region.jobs)
        self.assertEqual(self.simulation.take_answers(), [])
        self.simulation.step(simulations.LEASE_S)
        given_up = (jobs.Outcome.GIVEN_UP, jobs.Reason.NO_WORKERS)
        self.assertEqual(self._take_reasons(), [given_up])

    def test_paused_owner_starts_nothing_before_it_hears_or_reads(self):
        self.simulation.now += LIMITS.max_pause_s + 0.1
        self.simulation.submit("a1")
        self.assertEqual(self.simulation.take_starts(), [])
        self._read(("norte",))
        self.assertEqual(self._list_started(), {"w2"})
