"""Admission of jobs for which there is room, at the highest pressure."""

import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import admission
from tests.scheduling import simulations


class RoomUnderPressureTest(unittest.TestCase):
    """Load: pressure is at its maximum after a burst, and workers are idle.

    Guards against refusals while there is room: under pressure, a large job was
    asked for a margin that it cannot have even if it starts at once.
    """

    def setUp(self):
        # Each worker has capacity for two tasks.
        self.simulation = simulations.RegionSimulation(workers=6)
        self.region = self.simulation.region
        # Another group may serve in time what is refused here.
        self.region.service_shares = {simulations.SERVICE: 0.5}
        self.state = self.region.admission
        for _ in range(50):
            admission.record_decision(self.state, "lookup", 5.4, True)
        self.state.pressure = 1.0

    def _submit(self, job_id: str, **changes: object) -> list[jobs.Answer]:
        self.simulation.submit(job_id, **changes)
        return self.simulation.take_answers()

    def test_a_large_job_that_can_start_at_once_is_admitted(self):
        limit = admission.choose_max_lateness(self.state, "lookup", 54.0)
        self.assertLess(limit, -0.8)
        answers = self._submit("a1", tasks=2, estimate_s=1.0)
        self.assertEqual(answers, [])
        self.assertEqual(len(self.simulation.take_starts()), 2)

    def test_a_waiting_job_that_needs_more_does_not_matter(self):
        # Leaves 31 cores free on each worker, so that no task of 40 cores fits.
        self._submit("full", tasks=6, cpu_milli=33_000)
        self.state.pressure = 0.0
        self._submit("wide", tasks=1, cpu_milli=40_000, slack_s=2.0)
        self.assertIn("wide", self.region.waiting)
        self.state.pressure = 1.0
        answers = self._submit("a1", tasks=6, estimate_s=1.0)
        self.assertEqual(answers, [])

    def test_without_room_a_margin_is_still_required(self):
        self._submit("full", tasks=12, estimate_s=0.1)
        (answer,) = self._submit("a1", tasks=2, estimate_s=0.1)
        self.assertIs(answer.reason, jobs.Reason.NO_ROOM_IN_TIME)

    def test_a_job_that_would_be_too_late_is_refused_despite_room(self):
        (answer,) = self._submit("a1", age_s=0.8)
        self.assertIs(answer.reason, jobs.Reason.NO_ROOM_IN_TIME)
