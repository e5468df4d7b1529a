"""Runs of a job that its gateway forwards from one owner to another."""

import unittest

from pollenladder.cluster import groups
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import intake
from pollenladder.scheduling import lease_limits
from pollenladder.service import gateway as gateways
from pollenladder.service import gateway_callbacks
from pollenladder.service import handover_delays
from tests.scheduling import simulations

STEP_S = 0.02
RESUBMISSION_S = 1.3
LEASE_S = attempt_leases.choose_lease_s(RESUBMISSION_S)
RUN_LIMIT_S = lease_limits.choose_limit_s(RESUBMISSION_S, LEASE_S)
GATEWAY = "g1"
NEXT_GROUP = "norte/0"


class MovedAttemptTest(unittest.TestCase):
    """Guards against two runs, as the earlier owner still hears the gateway.

    A gateway, two owners and a worker of each. Neither owner reaches the worker of
    the other one, so neither is fenced there.
    """

    def setUp(self):
        self.now = 100.0
        self.group = groups.REGION_GROUP
        self.owner_id = "a"
        self.owners = {
            "a": simulations.RegionSimulation(workers=0),
            "b": simulations.RegionSimulation(workers=0, epoch=2),
        }
        for owner in self.owners.values():
            owner.region.run_limit_s = RUN_LIMIT_S
            owner.region.handover_delay_s = (
                handover_delays.bound_handover_delay_s(LEASE_S)
            )
        self.owners["a"].list_workers(["w0"])
        self.now = self.owners["a"].now
        # The run on the worker of the first owner, and when its lease ends.
        self.run: tuple[str, int] | None = None
        self.lease_until = 0.0
        self.gateway = gateways.Gateway(
            gateway_callbacks.Callbacks(
                find_owner=lambda group: self.owner_id,
                get_ownerless_s=lambda group: 0.0,
                has_group=lambda group: group == self.group,
                count_groups=lambda: 1,
                choose_first_group=lambda job_id, is_first: self.group,
                rank_registrars=lambda job_id: [self.group],
                reserve=lambda message: True,
                choose_group=lambda job, excluded, needs_room: self.group,
                list_passed_over=lambda job_id, group: (),
                tell_runs_elsewhere=lambda message: True,
                find_room=lambda job, asked: "",
                get_shed_share=lambda group: 0.0,
                submit=self._submit,
                cancel_attempt=self._cancel_attempt,
                release=lambda group, job_id, attempt: None,
                on_refused_with_room=lambda: None,
                on_answered=lambda queue, answer, took_s: None,
            ),
            lambda: self.now,
        )

    def _submit(
        self, owner_id: str, group: str, submission: jobs.Submission
    ) -> bool:
        owner = self.owners[owner_id]
        intake.submit(owner.region, submission, GATEWAY, self.now)
        owner.step()
        return True

    def _cancel_attempt(
        self, owner_id: str, job_id: str, attempt: int, reason: jobs.Reason
    ) -> bool:
        owner = self.owners[owner_id]
        intake.cancel_attempt(owner.region, job_id, attempt, reason, self.now)
        owner.step()
        return True

    def _begin(self) -> None:
        """Submit a job, which the first owner starts."""
        submission = simulations.build_submission("j1", tasks=1, budget_s=9.0)
        self.gateway.submit(submission)
        (start,) = self.owners["a"].take_starts()
        self.owners["a"].confirm(start)
        self.run = (start.task, start.number)
        self._advance(0.5)
        self.assertIsNotNone(self.run)

    def _advance(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self._step()

    def _step(self) -> None:
        """Advance all clocks; the gateway is heard by both owners."""
        self.now += STEP_S
        self.gateway.forward_open_jobs()
        for owner in self.owners.values():
            owner.region.gateways_heard_at = {GATEWAY: self.now}
            owner.step(self.now - owner.now)
        self._stop_run()
        self._poll_first_worker()
        if "w1" in self.owners["b"].region.workers:
            self.owners["b"].poll("w1")

    def _stop_run(self) -> None:
        """Carry out the stop orders of the first owner, and the end of leases."""
        stopped = {(s.task, s.number) for s in self.owners["a"].take_stops()}
        if self.run in stopped or self.now > self.lease_until > 0.0:
            self.run = None

    def _poll_first_worker(self) -> None:
        """Poll the first owner's worker, and renew its leases if it may."""
        region = self.owners["a"].region
        worker = region.workers["w0"]
        expiry = lease_limits.choose_expiry(region, worker, self.now)
        if expiry is not None:
            worker.lease_until_s = expiry + worker.clock_ahead_s
            self.lease_until = max(self.lease_until, expiry)
        running = ((*self.run, 10.0),) if self.run else ()
        self.owners["a"].poll("w0", running=running)

    def _expect_start_after_the_first_run(self) -> None:
        """Check that the next owner starts the task once its run is over."""
        moved_at = self.now
        while not self.owners["b"].take_starts():
            self._step()
            self.assertLess(self.now, moved_at + 5.0)
        self.assertIsNone(self.run)

    def test_next_owner_of_the_group_starts_once_the_first_run_is_over(self):
        # It does not reach the worker of the first owner, which has not heard of it.
        self._begin()
        self.owners["b"].list_workers(["w0", "w1"], synced=False)
        self.owners["b"].poll("w1")
        self.owner_id = "b"
        self._expect_start_after_the_first_run()

    def test_next_group_starts_once_the_run_of_a_dropped_group_is_over(self):
        # The first owner has not read the layout that drops its group.
        self._begin()
        self.owners["b"].list_workers(["w1"])
        self.group = NEXT_GROUP
        self.owner_id = "b"
        self._expect_start_after_the_first_run()
