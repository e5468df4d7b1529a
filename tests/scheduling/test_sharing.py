"""The choice of a group for a job, by the loads that owners report."""

import dataclasses
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import sharing
from tests.scheduling import simulations

CAPACITY = 100_000
FREE = fleet.ServiceLoad(CAPACITY, CAPACITY, 0.0)
FULL = fleet.ServiceLoad(CAPACITY, 0, 0.0)
NEARBY = frozenset(["a"])


def _build_load(free_milli: int, waiting_s: float = 0.0) -> fleet.ServiceLoad:
    return fleet.ServiceLoad(CAPACITY, free_milli, waiting_s * CAPACITY)


class ChooseGroupTest(unittest.TestCase):
    """A job of two tasks, submitted to a gateway near the group "a"."""

    def setUp(self):
        self.job = dataclasses.replace(
            simulations.build_submission("a1"), tasks=2, cpu_milli=10_000
        )

    def _choose(self, needs_room: bool = False, **loads: object) -> str:
        return sharing.choose_group(self.job, loads, NEARBY, needs_room)

    def test_nearby_group_with_room(self):
        self.assertEqual(self._choose(a=_build_load(30_000), b=FREE), "a")

    def test_another_group_if_the_nearby_one_has_too_little_room(self):
        self.assertEqual(self._choose(a=_build_load(21_000), b=FREE), "b")

    def test_another_group_if_jobs_wait_in_the_nearby_one(self):
        waiting = _build_load(CAPACITY, waiting_s=0.1)
        self.assertEqual(self._choose(a=waiting, b=FREE), "b")

    def test_jobs_are_spread_in_proportion_to_the_room(self):
        counts = {"b": 0, "c": 0}
        for number in range(400):
            self.job = dataclasses.replace(self.job, job_id=f"{number:016x}")
            group = self._choose(a=FULL, b=FREE, c=_build_load(CAPACITY // 3))
            counts[group] += 1
        self.assertAlmostEqual(counts["b"] / 400, 0.75, delta=0.08)

    def test_shortest_wait_if_none_has_room(self):
        group = self._choose(
            a=_build_load(0, 0.4), b=_build_load(0, 0.1), c=_build_load(0, 0.2)
        )
        self.assertEqual(group, "b")

    def test_nearby_group_if_all_wait_equally_long(self):
        self.assertEqual(self._choose(b=FULL, a=FULL), "a")

    def test_none_if_room_is_needed_and_none_has_any(self):
        self.assertEqual(self._choose(needs_room=True, a=FULL, b=FULL), "")

    def test_group_of_a_new_owner_without_a_report(self):
        unknown = fleet.ServiceLoad(0, 0, 0.0)
        self.assertEqual(self._choose(a=unknown), "a")

    def test_no_group(self):
        self.assertEqual(self._choose(), "")


class FirstGroupTest(unittest.TestCase):
    """The group that a job first goes to."""

    def test_all_gateways_choose_the_same_group(self):
        first = sharing.choose_first_group("a1", ["a", "b", "c"])
        second = sharing.choose_first_group("a1", ["c", "b", "a"])
        self.assertEqual(first, second)

    def test_a_group_without_an_owner_moves_only_its_own_jobs(self):
        for number in range(100):
            job_id = f"{number:016x}"
            before = sharing.choose_first_group(job_id, ["a", "b", "c"])
            after = sharing.choose_first_group(job_id, ["a", "b"])
            if before != "c":
                self.assertEqual(after, before)

    def test_no_group(self):
        self.assertEqual(sharing.choose_first_group("a1", []), "")


class SubmittedAgainTest(unittest.TestCase):
    """A job that one of several groups has refused."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region
        self.region.service_shares = {
            worker.listing.service: 0.5
            for worker in self.region.workers.values()
        }
        self.simulation.submit("a1", cpu_milli=10**9)

    def _take_outcomes(self) -> list[jobs.Outcome]:
        outcomes = [
            effect.answer.outcome
            for effect in self.simulation.effects
            if isinstance(effect, effects.AnswerJob)
        ]
        self.simulation.effects.clear()
        return outcomes

    def test_it_is_not_run_here_while_another_group_may_run_it(self):
        self.assertEqual(self._take_outcomes(), [jobs.Outcome.REFUSED])
        self.simulation.submit("a1", "g2", tasks=1)
        self.assertEqual(self._take_outcomes(), [jobs.Outcome.GIVEN_UP])
        self.assertNotIn("a1", self.region.jobs)

    def test_it_is_run_once_its_gateway_has_released_it(self):
        attempt = simulations.get_attempt("g1")
        job_ends.release_refusal(self.region, "a1", attempt)
        self.simulation.submit("a1", "g2", tasks=1)
        self.assertIn("a1", self.region.jobs)

    def test_it_is_forgotten_after_its_deadline(self):
        self.simulation.step(60.0)
        self.assertEqual(self.region.refusals, {})


class MeasureLoadsTest(unittest.TestCase):
    """The load that an owner reports."""

    def test_load_of_available_workers(self):
        simulation = simulations.RegionSimulation(workers=2)
        before = sharing.measure_loads(simulation.region, simulation.now)
        (service,) = before
        self.assertEqual(
            before[service].free_milli, before[service].capacity_milli
        )
        simulation.submit("a1")
        after = sharing.measure_loads(simulation.region, simulation.now)
        self.assertLess(after[service].free_milli, before[service].free_milli)
