"""Tests of when the leases of runs on a lost worker are known to have expired."""

import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import gateway_links
from pollenladder.scheduling import intake
from pollenladder.scheduling import replies
from pollenladder.scheduling import runs
from tests.scheduling import simulations


class LeaseExpiryTest(unittest.TestCase):
    """Guards against a run that another owner keeps alive beside the next one.

    A gateway may have forwarded the job to an owner that reaches the worker.
    """

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region
        self._hear("far")
        self.simulation.submit("a1", "far", tasks=1, budget_s=9.0)
        (start,) = self.simulation.take_starts()
        self.simulation.confirm(start)
        self.simulation.list_workers(["w0", "w1"])

    def _hear(self, gateway_id: str) -> None:
        self.region.gateways_heard_at[gateway_id] = self.simulation.now

    def _lose_worker(self) -> None:
        self.simulation.lose("w0")
        self.simulation.expire_lease()

    def _count_starts(self) -> int:
        self.simulation.step()
        return len(self.simulation.take_starts())

    def test_task_waits_until_its_gateway_is_heard(self):
        self._lose_worker()
        self.assertEqual(self._count_starts(), 0)
        self._hear("far")
        self.assertEqual(self._count_starts(), 1)

    def test_contact_before_the_expiry_does_not_count(self):
        self.simulation.lose("w0")
        self.simulation.step(simulations.LEASE_S)
        self._hear("far")
        self.simulation.step(0.1)
        self.assertEqual(self._count_starts(), 0)

    def test_task_waits_for_a_clock_that_was_slow_during_a_pause(self):
        # The lease was granted 5 s after the last reply, for 1 s.
        self.simulation.now += 5.0
        self.simulation.lose("w0")
        slowest_s = 6.0 / (1 - runs.MAX_CLOCK_DRIFT) - 5.0
        self.simulation.step(slowest_s)
        self._hear("far")
        self.assertEqual(self._count_starts(), 0)

    def test_task_waits_while_its_attempt_is_unconfirmed(self):
        # The gateway may have forwarded it to another owner while there was no
        # link, and be heard again.
        self.simulation.lose("w0")
        self.simulation.step(simulations.LEASE_S)
        self._hear("far")
        self.simulation.step(0.1)
        now = self.simulation.now
        gateway_links.record_change(self.region, "far", False, now)
        gateway_links.record_change(self.region, "far", True, now)
        self.simulation.now += 0.1
        self._hear("far")
        self.assertEqual(self._count_starts(), 0)
        self.simulation.submit(
            "a1", "far", tasks=1, may_have_begun=True, first_run=33
        )
        self.assertEqual(self._count_starts(), 1)

    def test_task_waits_for_the_gateways_of_all_attempts(self):
        self._hear("near")
        self.simulation.submit("a1", "near", tasks=1)
        self._lose_worker()
        self._hear("near")
        self.assertEqual(self._count_starts(), 0)
        self._hear("far")
        self.assertEqual(self._count_starts(), 1)

    def test_task_waits_if_a_silent_gateway_may_have_moved_its_attempt(self):
        self._hear("near")
        self.simulation.submit("a1", "near", tasks=1)
        now = self.simulation.now
        attempt_leases.end_expired(self.region, {"far": 1.0}, now)
        self._lose_worker()
        self._hear("near")
        self.assertEqual(self._count_starts(), 0)

    def test_task_of_an_own_caller_waits_for_the_lease_only(self):
        self.region.gateways_heard_at.clear()
        self._lose_worker()
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_task_waits_while_the_worker_follows_another_owner(self):
        replies.handle_fenced(self.region, "w0")
        self.simulation.expire_lease()
        self._hear("far")
        self.assertEqual(self._count_starts(), 0)

    def test_loss_of_the_worker_is_counted_once(self):
        self._lose_worker()
        for _ in range(3):
            self.simulation.step(0.02)
        self._hear("far")
        self.simulation.step()
        (task,) = self.region.jobs["a1"].tasks
        self.assertEqual(task.crashes.lost_workers, 1)

    def test_run_of_a_cancelled_job_needs_no_gateway(self):
        number = simulations.get_attempt("far")
        intake.cancel_attempt(
            self.region, "a1", number, jobs.Reason.CALLER_LEFT, 0.0
        )
        self._lose_worker()
        self.assertEqual(self.region.workers["w0"].runs, {})
