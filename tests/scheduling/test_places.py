"""Tests of the registrar of a job."""

import unittest

from pollenladder.scheduling import job_ends
from pollenladder.scheduling import places
from pollenladder.scheduling import reservations
from tests.scheduling import simulations

NOW = 100.0


class PlacesTest(unittest.TestCase):
    """The groups of jobs, until their deadlines."""

    def setUp(self):
        self.places = places.Places()

    def _record(self, until: float, now: float = NOW, attempt: int = 1) -> None:
        place = places.Place("bern/0", until, frozenset({attempt}))
        self.places.record("a1", place, now)

    def _find(self, now: float) -> str:
        place = self.places.find("a1", now)
        return place.group if place else ""

    def test_group_of_a_job_is_known_until_its_deadline(self):
        self._record(NOW + 2.0)
        self.assertEqual(self._find(NOW + 1.9), "bern/0")
        self.assertEqual(self._find(NOW + 2.0), "")

    def test_second_attempt_does_not_shorten_the_time(self):
        self._record(NOW + 2.0)
        self._record(NOW + 1.0)
        self.assertEqual(self._find(NOW + 1.5), "bern/0")

    def test_place_is_forgotten_once_all_attempts_were_refused(self):
        self._record(NOW + 2.0, attempt=1)
        self._record(NOW + 2.0, attempt=2)
        self.places.release("a1", 1)
        self.assertEqual(self._find(NOW), "bern/0")
        self.places.release("a1", 2)
        self.assertEqual(self._find(NOW), "")

    def test_attempt_that_lasts_longer_holds_the_place(self):
        # Guards against an attempt that has ended and hides one that is open.
        self._record(NOW + 2.0, attempt=1)
        ended = places.Place("aarau/0", NOW + 1.0, frozenset({2}))
        self.places.record("a1", ended, NOW)
        self.assertEqual(self._find(NOW), "bern/0")

    def test_attempt_that_moves_takes_its_place_along(self):
        self._record(NOW + 2.0, attempt=1)
        moved = places.Place("aarau/0", NOW + 1.0, frozenset({1}))
        self.places.record("a1", moved, NOW)
        self.assertEqual(self._find(NOW), "aarau/0")

    def test_expired_jobs_do_not_accumulate(self):
        # Guards against memory that grows with each job.
        for number in range(1000):
            now = NOW + number
            place = places.Place("bern/0", now + 2.0, frozenset({number}))
            self.places.record(f"{number:016x}", place, now)
        self.assertLess(len(self.places), 10)

    def test_place_that_is_over_on_arrival_is_forgotten(self):
        # Guards against a failure on a message that was on its way for long.
        self._record(NOW - 1.0)
        self.assertEqual(len(self.places), 0)

    def test_jobs_of_a_long_deadline_do_not_keep_the_others(self):
        # Guards against memory that grows with each job while one waits for long.
        place = places.Place("bern/0", NOW + 5000.0, frozenset({1}))
        self.places.record("a1", place, NOW)
        for number in range(1000):
            now = NOW + number
            place = places.Place("bern/0", now + 2.0, frozenset({number}))
            self.places.record(f"{number:016x}", place, now)
        self.assertLess(len(self.places), 10)
        self.assertEqual(self._find(NOW + 1000), "bern/0")


class ReserveTest(unittest.TestCase):
    """The registrar, which is the owner of a group."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region
        self.region.group = "olten/0"

    def _reserve(
        self, group: str, attempt: int, is_there: bool = False
    ) -> places.Reservation:
        now = self.simulation.now
        return reservations.reserve(
            self.region, "a1", attempt, group, 1.5, is_there, now
        )

    def test_first_attempt_goes_where_its_gateway_wants(self):
        found = self._reserve("bern/0", 1)
        self.assertEqual(found, places.Reservation("bern/0", is_first=True))

    def test_second_attempt_goes_to_the_group_of_the_first(self):
        # Guards against two data centres that execute one job.
        self._reserve("bern/0", 1)
        found = self._reserve("aarau/0", 2)
        self.assertEqual(found, places.Reservation("bern/0", is_first=False))

    def test_second_attempt_in_the_same_group_is_not_a_first_one(self):
        # Guards against another group that starts it, as that one has no owner.
        self._reserve("bern/0", 1)
        self.assertFalse(self._reserve("bern/0", 2).is_first)

    def test_attempt_that_is_asked_for_again_is_still_the_first(self):
        self._reserve("bern/0", 1)
        self.assertTrue(self._reserve("bern/0", 1).is_first)

    def test_second_attempt_follows_a_refused_job(self):
        self._reserve("bern/0", 1)
        self._reserve("aarau/0", 1, is_there=True)
        self.assertEqual(self._reserve("bern/0", 2).group, "aarau/0")

    def test_attempt_that_is_there_beside_another_one_is_told_of_it(self):
        # Guards against two groups whose gateways both tell a new registrar.
        self._reserve("bern/0", 1, is_there=True)
        found = self._reserve("aarau/0", 2, is_there=True)
        self.assertEqual(found, places.Reservation("bern/0", is_first=False))

    def test_second_attempt_goes_to_the_registrar_that_has_the_job(self):
        self.simulation.submit("a1")
        found = self._reserve("bern/0", 2)
        self.assertEqual(found, places.Reservation("olten/0", is_first=False))

    def test_late_copy_of_an_answered_job_goes_to_the_group_that_has_its_answer(
        self,
    ):
        # Guards against a job that runs again in another data centre, seconds after
        # its caller was answered. The group keeps the answer for so long.
        self._reserve("bern/0", 1)
        self.simulation.step(0.9 * job_ends.ANSWER_RETENTION_S)
        self.assertEqual(self._reserve("aarau/0", 2).group, "bern/0")

    def test_job_is_free_again_once_its_answer_is_forgotten(self):
        self._reserve("bern/0", 1)
        self.simulation.now += 1.5 + job_ends.ANSWER_RETENTION_S
        self.assertTrue(self._reserve("aarau/0", 2).is_first)
