"""Tests of tasks whose earlier attempts were removed, and of old clock readings."""

import unittest
from unittest import mock

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import intake
from pollenladder.scheduling import lease_expiry
from pollenladder.scheduling import recovery
from pollenladder.scheduling import runs
from pollenladder.service import sessions
from tests.scheduling import simulations


class RemovedAttemptTest(unittest.TestCase):
    """Guards against tasks that wait until their deadline without need."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region
        for gateway_id in ("far", "near"):
            self._hear(gateway_id)
        self.simulation.submit("a1", "far", tasks=1, budget_s=9.0)
        (start,) = self.simulation.take_starts()
        self.simulation.confirm(start)
        self.simulation.submit("a1", "near", tasks=1, budget_s=9.0)
        self.simulation.list_workers(["w0", "w1"])

    def _hear(self, gateway_id: str) -> None:
        self.region.gateways_heard_at[gateway_id] = self.simulation.now

    def _count_starts_within(self, seconds: float, *gateway_ids: str) -> int:
        starts = 0
        until = self.simulation.now + seconds
        while self.simulation.now < until:
            for gateway_id in gateway_ids:
                self._hear(gateway_id)
            self.simulation.step(0.1)
            starts += len(self.simulation.take_starts())
        return starts

    def test_task_goes_on_after_the_caller_of_another_attempt_has_left(self):
        # The gateway has cancelled the attempt for its caller at each owner.
        number = simulations.get_attempt("far")
        reason = jobs.Reason.CALLER_LEFT
        intake.cancel_attempt(
            self.region, "a1", number, reason, self.simulation.now
        )
        self.simulation.lose("w0")
        self.assertEqual(self._count_starts_within(5.0, "near", "far"), 1)

    def test_task_goes_on_after_the_silent_gateway_has_returned(self):
        now = self.simulation.now
        attempt_leases.end_expired(self.region, {"far": 1.0}, now)
        self.simulation.submit(
            "a1", "far", tasks=1, may_have_begun=True, first_run=33
        )
        self.simulation.lose("w0")
        self.assertEqual(self._count_starts_within(5.0, "near", "far"), 1)

    def test_silence_of_a_removed_attempt_is_known_after_another_claim(self):
        # The silent gateway may have moved it. Only the region is rebuilt.
        now = self.simulation.now
        attempt_leases.end_expired(self.region, {"far": 1.0}, now)
        rebuilt = recovery.rebuild_region(self.region, 2, now)
        self.assertEqual(
            rebuilt.jobs["a1"].served_at, self.region.jobs["a1"].served_at
        )


class OldClockReadingTest(unittest.TestCase):
    """Guards against a release while a slow clock still counts the lease."""

    def test_lease_granted_after_a_pause_counts_by_a_slow_clock(self):
        for pause_s in (0.0, 1.0, 3.0, 5.0):
            with self.subTest(pause_s=pause_s):
                simulation = simulations.RegionSimulation(workers=1)
                worker = simulation.region.workers["w0"]
                replied_at = simulation.now
                simulation.poll("w0")
                polled_s = worker.polled_clock_s
                now = replied_at + pause_s
                session = sessions.Session(
                    simulation.region, worker, mock.Mock(), lambda now=now: now
                )
                until_s = session._extend_lease()
                rate = 1 - runs.MAX_CLOCK_DRIFT
                ends_at = replied_at + (until_s - polled_s) / rate
                self.assertGreaterEqual(
                    lease_expiry.find_expiry(worker), ends_at
                )
