"""Tests of leases that end soon after the last contact with a gateway."""

import math
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import candidates
from pollenladder.scheduling import gateway_links
from pollenladder.scheduling import intake
from pollenladder.scheduling import lease_limits
from pollenladder.scheduling import recovery
from pollenladder.scheduling import replies
from pollenladder.scheduling import runs
from tests.scheduling import simulations

RESUBMISSION_S = 1.3
ATTEMPT_LEASE_S = attempt_leases.choose_lease_s(RESUBMISSION_S)


class LeaseLimitTest(unittest.TestCase):
    """Guards against runs that outlive a silent gateway and their owner."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation()
        self.region = self.simulation.region
        self.region.run_limit_s = lease_limits.choose_limit_s(
            RESUBMISSION_S, ATTEMPT_LEASE_S
        )
        self.began_at = self.simulation.now
        self._hear("far")
        self.simulation.submit(
            "a1", gateway_id="far", attempt=11, tasks=1, budget_s=9.0
        )
        (self.start,) = self.simulation.take_starts()
        self.simulation.confirm(self.start)
        self.worker = self.region.workers[self.start.worker_id]

    def _hear(self, gateway_id: str) -> None:
        self.region.gateways_heard_at[gateway_id] = self.simulation.now

    def _choose_expiry(self) -> float | None:
        return lease_limits.choose_expiry(
            self.region, self.worker, self.simulation.now
        )

    def _find_lease_s(self) -> float:
        """Return for how long the next poll renews the leases of the worker."""
        expiry = self._choose_expiry()
        self.assertIsNotNone(expiry)
        return expiry - self.simulation.now

    def _check_over_when_caller_returns(self) -> None:
        """Check that a slow clock's lease ends before the caller returns.

        The caller's connection has broken after `began_at`.
        """
        ends_at = self.simulation.now + self._find_lease_s() * (
            1 + runs.MAX_CLOCK_DRIFT
        )
        self.assertLess(ends_at, self.began_at + RESUBMISSION_S)

    def test_lease_is_whole_while_the_gateway_is_heard(self):
        self.simulation.now += 0.2
        self.assertAlmostEqual(self._find_lease_s(), simulations.LEASE_S)

    def test_lease_never_outlasts_the_return_of_the_caller(self):
        # The owner may be killed or suspended right after any of these polls.
        for _ in range(round(ATTEMPT_LEASE_S / 0.05)):
            self.simulation.now += 0.05
            if self.simulation.now > self.began_at + 0.3:
                self._check_over_when_caller_returns()

    def test_contacts_of_another_process_of_the_gateway_extend_no_lease(self):
        # The gateway was killed, and its next process does not know the attempt.
        self.began_at = self.simulation.now
        for is_linked in (False, True):
            gateway_links.record_change(
                self.region, "far", is_linked, self.simulation.now
            )
        for _ in range(9):
            self.simulation.now += 0.05
            self._hear("far")
        self._check_over_when_caller_returns()

    def test_any_attempt_that_is_heard_suffices(self):
        self.simulation.now += 0.9
        self._hear("near")
        self.simulation.submit("a1", gateway_id="near", attempt=12)
        self.assertAlmostEqual(self._find_lease_s(), simulations.LEASE_S)

    def test_own_callers_set_no_limit(self):
        self.region.gateways_heard_at.clear()
        self.simulation.now += 5.0
        self.assertAlmostEqual(self._find_lease_s(), simulations.LEASE_S)

    def test_lease_ends_if_the_stop_of_a_silent_attempt_gets_no_reply(self):
        self.simulation.now += ATTEMPT_LEASE_S + 0.04
        attempt_leases.end_expired(
            self.region, {"far": 1.0}, self.simulation.now
        )
        for _ in range(20):
            self._check_over_when_caller_returns()
            self.simulation.step(0.05)
            self.simulation.poll(self.worker.listing.worker_id)

    def test_lease_ends_if_the_stop_of_a_cancelled_attempt_gets_no_reply(self):
        self.simulation.now = self.began_at + 3.0
        self._hear("far")
        self.began_at = self.simulation.now
        intake.cancel_attempt(
            self.region,
            "a1",
            11,
            jobs.Reason.CALLER_LEFT,
            self.simulation.now,
        )
        self.assertAlmostEqual(self._find_lease_s(), simulations.LEASE_S)
        for _ in range(40):
            self.simulation.step(0.05)
            self._hear("far")
            self.simulation.poll(self.worker.listing.worker_id)
        self._check_over_when_caller_returns()

    def test_lease_is_whole_again_once_the_run_is_over(self):
        self.simulation.now += ATTEMPT_LEASE_S + 0.04
        attempt_leases.end_expired(
            self.region, {"far": 1.0}, self.simulation.now
        )
        self.simulation.end(self.start, fleet.RunEnd.STOPPED)
        self.assertAlmostEqual(self._find_lease_s(), simulations.LEASE_S)

    def test_run_that_its_job_adopts_goes_on(self):
        self.simulation.poll("w1", running=(("c3.0.0.0", 1, 10.0),))
        self.worker = self.region.workers["w1"]
        self.simulation.now += 0.1
        self.assertIsNone(self._choose_expiry())
        self.simulation.submit(
            "c3", gateway_id="near", tasks=1, may_have_begun=True
        )
        self.assertAlmostEqual(self._find_lease_s(), simulations.LEASE_S)

    def test_leases_beside_an_unclaimed_run_are_not_extended(self):
        # Neither before it is stopped nor while its stop gets no reply.
        self.worker = self.region.workers["w1"]
        self.simulation.poll("w1", running=(("gone.0.0.0", 1, 10.0),))
        for _ in range(20):
            self.assertIsNone(self._choose_expiry())
            self.simulation.step(0.05)
            self.simulation.poll("w1")
        self.simulation.poll("w1", running=())
        self.assertAlmostEqual(self._find_lease_s(), simulations.LEASE_S)

    def test_leases_beside_a_second_run_of_a_task_are_not_extended(self):
        # Its job is known here, but needs another run.
        other_id = next(
            worker_id
            for worker_id in self.region.workers
            if worker_id != self.worker.listing.worker_id
        )
        self.worker = self.region.workers[other_id]
        self.simulation.poll(other_id, running=(("a1.0.0.0", 9, 10.0),))
        self.assertIsNone(self._choose_expiry())

    def test_leases_beside_a_run_under_another_number_are_not_extended(self):
        # Guards against a second run: whoever has started it may count its lease.
        worker_id = self.worker.listing.worker_id
        self.simulation.poll(worker_id, running=((self.start.task, 9, 10.0),))
        (stop,) = self.simulation.take_stops()
        self.assertEqual(stop.number, 9)
        self.assertIsNone(self._choose_expiry())
        self.assertFalse(candidates.can_run(self.worker, self.simulation.now))
        self.simulation.poll(worker_id)
        self.assertAlmostEqual(self._find_lease_s(), simulations.LEASE_S)

    def test_limit_stays_after_another_claim(self):
        rebuilt = recovery.rebuild_region(self.region, 2, self.simulation.now)
        self.assertEqual(rebuilt.run_limit_s, self.region.run_limit_s)

    def test_limit_leaves_time_to_stop_a_silent_attempt(self):
        for resubmission_s in (0.1, 1.0, 1.3, 9.0, math.inf):
            lease_s = attempt_leases.choose_lease_s(resubmission_s)
            limit_s = lease_limits.choose_limit_s(resubmission_s, lease_s)
            with self.subTest(resubmission_s=resubmission_s):
                self.assertGreaterEqual(
                    limit_s - lease_s, lease_limits.STOP_TIME_S
                )


class TwoOwnersTest(unittest.TestCase):
    """Guards against a second run, as a second owner keeps the first one alive.

    A partition cuts the worker off from its owner. Another owner inside polls it and
    gets none of the jobs.
    """

    def setUp(self):
        self.outside = simulations.RegionSimulation(workers=2)
        self.outside.submit("a1", tasks=1, budget_s=9.0)
        (self.start,) = self.outside.take_starts()
        self.outside.confirm(self.start)
        self.inside = simulations.RegionSimulation(workers=0, epoch=2)
        self.lease_until = 0.0

    def _renew(self, simulation: simulations.RegionSimulation) -> None:
        """Renew the leases of the worker like a poll, if its owner may."""
        worker = simulation.region.workers[self.start.worker_id]
        expiry = lease_limits.choose_expiry(
            simulation.region, worker, simulation.now
        )
        if expiry is not None:
            worker.lease_until_s = expiry + worker.clock_ahead_s
            self.lease_until = max(self.lease_until, expiry)

    def _advance(self, until: float, step_s: float = 0.02) -> None:
        while self.inside.now < until:
            self.inside.step(step_s)
            if self.inside.now < self.lease_until:
                running = ((self.start.task, self.start.number, 10.0),)
                self.inside.poll(self.start.worker_id, running=running)
                self._renew(self.inside)

    def test_run_is_over_when_its_owner_starts_the_next_one(self):
        worker_id = self.start.worker_id
        self._renew(self.outside)
        cut_at = self.outside.now
        self.outside.miss_polls(worker_id)
        self.inside.now = cut_at + simulations.LEASE_S - 0.2
        self.inside.list_workers([worker_id], synced=False)
        self._advance(cut_at + 2 * simulations.LEASE_S)
        while not self.outside.take_starts():
            self.outside.step(0.02)
            self.assertLess(self.outside.now, cut_at + 3.0)
        self.assertLess(self.lease_until, self.outside.now)


class EarlierOwnerTest(unittest.TestCase):
    """Guards against a second run beside one that an earlier owner keeps alive."""

    def test_run_outlasts_the_short_leases_of_a_new_owner(self):
        # The earlier owner has renewed the lease of the worker, which applies to
        # all of its runs, just before this owner polls it.
        simulation = simulations.RegionSimulation(workers=1)
        polled_at = simulation.now
        simulation.submit("a1", tasks=1, budget_s=9.0)
        (start,) = simulation.take_starts()
        simulation.confirm(start)
        simulation.list_workers(["w0", "w1"])
        simulation.miss_polls("w0")
        while simulation.now < polled_at + simulations.LEASE_S:
            self.assertEqual(simulation.take_starts(), [])
            simulation.step(0.05)
        simulation.step(0.1)
        (start,) = simulation.take_starts()
        self.assertEqual(start.worker_id, "w1")


class RestartedWorkerTest(unittest.TestCase):
    """Guards against a task that waits for a lease of the worker's earlier process.

    The clock of a worker starts anew with its process.
    """

    def test_runs_of_a_restarted_worker_expire_when_it_is_lost(self):
        simulation = simulations.RegionSimulation(workers=1)
        worker = simulation.region.workers["w0"]
        # The last lease by the clock of the earlier process.
        worker.lease_until_s = simulation.now + worker.clock_ahead_s + 1.0
        simulation.poll("w0", running=(), started_ms=2_000, clock_s=0.5)
        simulation.submit("a1", tasks=1, budget_s=9.0)
        (start,) = simulation.take_starts()
        simulation.confirm(start)
        simulation.miss_polls("w0")
        simulation.step(replies.ORDER_ARRIVAL_S)
        self.assertEqual(simulation.list_logged("task_requeued"), [])
        simulation.expire_lease()
        (requeued,) = simulation.list_logged("task_requeued")
        self.assertEqual(requeued["reason"], "lease_expired")
