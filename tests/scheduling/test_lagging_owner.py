"""Leases of an owner whose event loop is slow."""

import unittest

from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import lease_limits
from tests.scheduling import simulations

RESUBMISSION_S = 1.3
ATTEMPT_LEASE_S = attempt_leases.choose_lease_s(RESUBMISSION_S)


class LaggingOwnerTest(unittest.TestCase):
    """Guards against runs that lapse, as their owner's event loop is slow."""

    def _count_lapses(self, gateway_id: str, lag_s: float) -> int:
        """Return the number of renewals after which a lease ends too early.

        All that has arrived is read in each iteration, which takes `lag_s`.
        """
        now = 100.0
        contacts = attempt_leases.Contacts(now, "own")
        contacts.record_submission(gateway_id)
        simulation = simulations.RegionSimulation(workers=1)
        region = simulation.region
        region.gateways_heard_at = contacts.heard_at
        region.run_limit_s = lease_limits.choose_limit_s(
            RESUBMISSION_S, ATTEMPT_LEASE_S
        )
        simulation.now = now
        simulation.submit("a1", gateway_id, tasks=1, budget_s=99.0)
        worker = region.workers["w0"]
        lapses = 0
        for _ in range(20):
            now += lag_s
            contacts.record_tick({"far": now}, now)
            # The poll is sent somewhere in the iteration, the next in the next.
            expiry = lease_limits.choose_expiry(region, worker, now)
            lapses += expiry < now + lag_s
        return lapses

    def test_runs_of_own_callers_do_not_lapse(self):
        for lag_s in (0.1, 0.3, 0.41, 0.45, 0.6, 0.9):
            with self.subTest(lag_s=lag_s):
                self.assertEqual(self._count_lapses("own", lag_s), 0)

    def test_runs_of_other_callers_do_not_lapse(self):
        for lag_s in (0.1, 0.3, 0.41, 0.45, 0.6, 0.9):
            with self.subTest(lag_s=lag_s):
                self.assertEqual(self._count_lapses("far", lag_s), 0)
