"""Tests of the use of known interference in placement and in judging runs."""

import unittest
from unittest import mock

from bench.emulator import loads
from bench.emulator import simulations as emulations
from pollenladder.fleet import entities as fleet
from pollenladder.scheduling import candidates
from pollenladder.scheduling import features
from pollenladder.scheduling import interference
from pollenladder.scheduling import neighbourhood
from pollenladder.scheduling import neighbours
from pollenladder.scheduling import recovery
from tests.scheduling import simulations

OFF = features.switch_off(["interference"])
PAIR = interference.Pair(1.8, 1.3, 50.0)
MANY_WORKERS = 176


def _know_pair(simulation: simulations.RegionSimulation) -> None:
    """Let tasks of `victim` run 1.8 times as long beside `noisy` ones."""
    model = simulation.region.neighbourhood.model
    model.pairs["victim", "noisy"] = PAIR


def _start(
    simulation: simulations.RegionSimulation, job_id: str, queue: str, **changes
) -> str:
    """Submit a job of one task; return its worker."""
    simulation.submit(job_id, queue=queue, tasks=1, **changes)
    (order,) = simulation.take_starts()
    simulation.now += 0.001
    simulation.confirm(order)
    return order.worker_id


class PlacementTest(unittest.TestCase):
    """Tasks are kept apart where there is room, and never held back."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=2)
        _know_pair(self.simulation)

    def test_a_victim_is_kept_apart(self):
        noisy = _start(self.simulation, "a1", "noisy")
        self.assertNotEqual(_start(self.simulation, "a2", "victim"), noisy)
        state = self.simulation.region.neighbourhood
        self.assertEqual(state.changed_placements, 1)

    def test_a_task_that_disturbs_is_kept_apart(self):
        victim = _start(self.simulation, "a1", "victim")
        self.assertNotEqual(_start(self.simulation, "a2", "noisy"), victim)

    def test_other_tasks_are_placed_as_before(self):
        noisy = _start(self.simulation, "a1", "noisy")
        self.assertEqual(_start(self.simulation, "a2", "other"), noisy)
        state = self.simulation.region.neighbourhood
        self.assertEqual(state.changed_placements, 0)

    def test_without_room_elsewhere_a_victim_starts_beside_it(self):
        # A wait or a refusal would be worse than any slowdown.
        noisy = _start(self.simulation, "a1", "noisy")
        full = _start(self.simulation, "a2", "victim", cpu_milli=50_000)
        self.assertNotEqual(full, noisy)
        self.assertEqual(_start(self.simulation, "a3", "victim"), noisy)

    def test_nothing_changes_with_the_feature_off(self):
        self.simulation.region.features = OFF
        noisy = _start(self.simulation, "a1", "noisy")
        self.assertEqual(_start(self.simulation, "a2", "victim"), noisy)

    def test_a_worker_on_which_a_run_failed_is_still_avoided(self):
        noisy = _start(self.simulation, "a1", "noisy")
        region = self.simulation.region
        other = next(w for w in region.workers if w != noisy)
        region.workers[other].health.slowness = 9.0
        self.assertEqual(_start(self.simulation, "a2", "victim"), noisy)

    def test_the_search_is_bounded(self):
        # Otherwise each task would visit all workers if all have neighbours.
        simulation = simulations.RegionSimulation(workers=MANY_WORKERS)
        for number in range(MANY_WORKERS):
            simulation.submit(
                f"n{number}", queue="noisy", tasks=1, cpu_milli=34_000
            )
        _know_pair(simulation)
        with mock.patch.object(
            candidates, "is_available", wraps=candidates.is_available
        ) as visit:
            simulation.submit("v", queue="victim", tasks=1)
        self.assertLess(visit.call_count, MANY_WORKERS / 4)


class ConfinedTest(unittest.TestCase):
    """A kind must not be pushed onto a few workers."""

    def _place(self, state, kind, workers, count):
        for number in range(count):
            worker_id = f"w{number % workers}"
            neighbourhood.record_placement(state, kind, worker_id, 1.0, 0.0)

    def test_a_kind_on_less_than_half_its_fair_share_is_confined(self):
        state = neighbourhood.Neighbourhood()
        self._place(state, "wide", 40, 100)
        self._place(state, "narrow", 5, 100)
        self.assertTrue(neighbourhood.is_confined(state, "narrow", 0.0))
        self.assertFalse(neighbourhood.is_confined(state, "wide", 0.0))

    def test_a_rare_kind_on_few_workers_is_not(self):
        state = neighbourhood.Neighbourhood()
        self._place(state, "wide", 40, 400)
        self._place(state, "rare", 5, 10)
        self.assertFalse(neighbourhood.is_confined(state, "rare", 0.0))

    def test_a_confined_kind_is_placed_as_usual(self):
        simulation = simulations.RegionSimulation(workers=2)
        _know_pair(simulation)
        state = simulation.region.neighbourhood
        work = 27_000 * 0.2
        for number in range(100):
            neighbourhood.record_placement(
                state, "noisy", f"w{number % 40}", work, simulation.now
            )
            neighbourhood.record_placement(
                state, "victim", "w1", work, simulation.now
            )
        noisy = _start(simulation, "a1", "noisy")
        self.assertEqual(_start(simulation, "a2", "victim"), noisy)


class JudgingTest(unittest.TestCase):
    """A disturbed run must not be mistaken for one on a slow worker."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=6)
        self.simulation.submit("n", queue="noisy", tasks=1, estimate_s=5.0)
        (noisy,) = self.simulation.take_starts()
        self.simulation.confirm(noisy)
        self.worker_id = noisy.worker_id
        self.simulation.submit(
            "v", queue="victim", tasks=4, estimate_s=0.2, budget_s=9.0
        )
        self.orders = self.simulation.take_starts()
        for order in self.orders:
            self.simulation.confirm(order)

    def _count_stops(self) -> int:
        """Report a run beside the noisy one that is 2.6 times as slow."""
        self.simulation.now += 0.18
        workers = self.simulation.region.workers
        # The siblings elsewhere come first, so that the usual run time is
        # known.
        for worker_id in sorted(workers, key=self.worker_id.__eq__):
            percent = 30.0 if worker_id == self.worker_id else 78.0
            running = tuple(
                (run.task, run.number, percent)
                for run in workers[worker_id].runs.values()
            )
            self.simulation.poll(worker_id, running=running)
        return len(self.simulation.take_stops())

    def test_a_disturbed_run_is_not_moved(self):
        _know_pair(self.simulation)
        self.assertEqual(self._count_stops(), 0)

    def test_it_is_moved_without_known_interference(self):
        self.assertEqual(self._count_stops(), 1)

    def test_it_does_not_count_against_the_health_of_its_worker(self):
        _know_pair(self.simulation)
        beside = [o for o in self.orders if o.worker_id == self.worker_id]
        self.assertEqual(len(beside), 1)
        self.simulation.now += 0.2
        for order in self.orders:
            if order not in beside:
                self.simulation.end(order)
        self.simulation.now += 0.16
        self.simulation.end(beside[0])
        worker = self.simulation.region.workers[self.worker_id]
        self.assertAlmostEqual(worker.health.slowness, 1.0, delta=0.01)


class MeasurementTest(unittest.TestCase):
    """Only overlaps that were observed are learned from."""

    def test_an_adopted_run_is_not_learned_from(self):
        # When it began is not known, so its run time seems too short.
        simulation = simulations.RegionSimulation(workers=2)
        job = simulations.build_submission("a1", may_have_begun=True)
        simulation.poll("w0", running=(("a1.0.0.0", 1, 10.0),))
        simulation.submit("a1", may_have_begun=True, tasks=job.tasks)
        simulation.now += 0.1
        found = simulation.region.jobs["a1"]
        run = simulation.region.workers["w0"].runs["a1.0.0.0"]
        simulation.ends["w0"] = [
            fleet.ObservedEnd(1, run.task, run.number, fleet.RunEnd.DONE)
        ]
        simulation.poll("w0", running=())
        self.assertEqual(found.samples, [])

    def test_only_so_many_jobs_are_observed(self):
        # Otherwise the cost of learning would grow with the load.
        simulation = simulations.RegionSimulation(workers=9)
        observed = []
        for number in range(10):
            _start(simulation, f"a{number}", "lookup")
            job = simulation.region.jobs[f"a{number}"]
            worker = next(
                w for w in simulation.region.workers.values() if w.runs
            )
            run = next(iter(worker.runs.values()))
            neighbours.record_end(
                simulation.region, worker, job, run, simulation.now
            )
            simulation.now += 0.25 * neighbours.OBSERVATION_INTERVAL_S
            observed.append(job.is_observed)
        self.assertTrue(observed[0])
        self.assertLessEqual(sum(observed), 4)

    def test_a_run_time_is_corrected_by_the_speed_of_its_worker(self):
        # Otherwise the kinds that run on slow workers would seem disturbed.
        simulation = simulations.RegionSimulation()
        worker_id = _start(simulation, "a1", "lookup")
        region = simulation.region
        job, worker = region.jobs["a1"], region.workers[worker_id]
        (run,) = worker.runs.values()
        speeds = {worker_id: 0.7}
        now = run.confirmed_at + 1.0
        neighbours.record_end(region, worker, job, run, now, speeds.get)
        self.assertAlmostEqual(job.samples[0].run_s, 0.7)

    def test_ended_runs_of_a_removed_worker_are_deleted(self):
        simulation = simulations.RegionSimulation(workers=1)
        region = simulation.region
        ended = neighbourhood.Neighbour("b", 1, 0.0, 1.0)
        neighbourhood.record_ended(region.neighbourhood, "w0", ended, 0.0)
        region.remove_worker("w0")
        self.assertEqual(region.neighbourhood.ended, {})

    def test_overlaps_are_shares_of_the_run(self):
        around = [
            neighbourhood.Neighbour("b", 10_000, 0.0, 1.25),
            neighbourhood.Neighbour("b", 10_000, 1.5, 9.0),
            neighbourhood.Neighbour("", 10_000, 0.0, 9.0),
            neighbourhood.Neighbour("c", 10_000, 0.0, 0.9),
        ]
        overlaps, cpu = neighbourhood.measure_overlaps(around, 1.0, 2.0)
        self.assertEqual(overlaps, {"b": 0.75})
        self.assertEqual(cpu, 17_500)

    def test_ended_runs_are_kept_only_while_they_overlap_a_run(self):
        state = neighbourhood.Neighbourhood()
        for number in range(1000):
            ended = neighbourhood.Neighbour("b", 1, number, number + 1.0)
            neighbourhood.record_ended(state, "w1", ended, 0.0)
        kept = len(state.ended["w1"])
        self.assertEqual(kept, neighbourhood.MAX_ENDED_RUNS)
        ended = neighbourhood.Neighbour("b", 1, 1000.0, 1001.0)
        neighbourhood.record_ended(state, "w1", ended, float("inf"))
        self.assertEqual(state.ended, {})

    def test_a_second_claim_keeps_what_was_learned(self):
        simulation = simulations.RegionSimulation()
        _know_pair(simulation)
        rebuilt = recovery.rebuild_region(simulation.region, 2, simulation.now)
        self.assertEqual(
            rebuilt.neighbourhood.model.pairs, {("victim", "noisy"): PAIR}
        )


class EmulationTest(unittest.TestCase):
    """Learning and placement together, under an emulated load."""

    def _run(self, factors, enabled, length_s):
        simulation = emulations.Simulation(
            24, factors=factors, features=features.ALL if enabled else OFF
        )
        outcomes = simulation.run(loads.draw(0.8, length_s, seed=1))
        return simulation, outcomes

    def test_without_interference_decisions_are_the_same(self):
        _, expected = self._run({}, False, 8.0)
        simulation, found = self._run({}, True, 8.0)
        self.assertEqual(
            [outcome.took_s for outcome in found],
            [outcome.took_s for outcome in expected],
        )
        self.assertEqual(simulation.region.neighbourhood.model.pairs, {})

    def test_a_disturbing_pair_is_found_and_kept_apart(self):
        factors = {("check", "release"): 1.8, ("release", "check"): 1.8}
        _, before = self._run(factors, False, 20.0)
        simulation, after = self._run(factors, True, 20.0)
        state = simulation.region.neighbourhood
        self.assertIn(("check", "release"), state.model.pairs)
        self.assertLessEqual(set(state.model.pairs), set(factors))
        self.assertGreater(state.changed_placements, 0)
        late = [
            sum(o.get_earned_share() < 1.0 for o in outcomes)
            for outcomes in (before, after)
        ]
        self.assertLess(late[1], late[0])


class SwitchTest(unittest.TestCase):
    """With the feature off, nothing is measured."""

    def test_no_samples_are_taken(self):
        simulation = simulations.RegionSimulation()
        simulation.region.features = OFF
        _start(simulation, "a1", "noisy")
        job = simulation.region.jobs["a1"]
        worker = next(w for w in simulation.region.workers.values() if w.runs)
        (run,) = worker.runs.values()
        neighbours.record_end(
            simulation.region, worker, job, run, simulation.now + 1.0
        )
        self.assertIsNone(job.samples)
