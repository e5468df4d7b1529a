"""Tests of attempts whose gateway's link to the owner has changed."""

import unittest

from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import gateway_links
from pollenladder.scheduling import lease_limits
from tests.scheduling import simulations

GRACE_S = gateway_links.GATEWAY_GRACE_S
CONFIRMATION_S = gateway_links.CONFIRMATION_S
RUN_LIMIT_S = lease_limits.choose_limit_s(
    1.3, attempt_leases.choose_lease_s(1.3)
)
A1_TASKS = {"a1.0.0.0", "a1.0.0.1"}


class LinkChangeTest(unittest.TestCase):
    """Attempts that a gateway does not forward again are removed within a lease.

    Behind a network partition, the gateway forwards its jobs to another owner,
    which starts them again once the leases have expired. Tasks would then run
    twice. The end is neither sent nor kept, because it would contradict the other
    owner's answer.
    """

    def setUp(self):
        self.simulation = simulations.RegionSimulation()
        self.simulation.submit("a1", gateway_id="far", budget_s=5.0)
        self.simulation.submit("b2", gateway_id="near", budget_s=5.0)
        self.starts = self.simulation.take_starts()
        for order in self.starts:
            self.simulation.confirm(order)
        self.next_first_run = 1

    def _change_link(self, is_linked: bool) -> None:
        gateway_links.record_change(
            self.simulation.region, "far", is_linked, self.simulation.now
        )

    def _forward_again(self) -> None:
        self.next_first_run += 32
        self.simulation.submit(
            "a1",
            gateway_id="far",
            budget_s=5.0,
            may_have_begun=True,
            first_run=self.next_first_run,
        )

    def _take_stopped(self) -> set[str]:
        return {order.task for order in self.simulation.take_stops()}

    def test_runs_of_a_lost_gateway_are_stopped_within_a_lease(self):
        self._change_link(False)
        self.simulation.step(GRACE_S + 0.02)
        self.assertEqual(self._take_stopped(), A1_TASKS)
        self.assertNotIn("a1", self.simulation.region.jobs)
        self.assertLess(GRACE_S + 0.1, simulations.LEASE_S)

    def test_runs_end_in_time_though_the_next_process_of_a_gateway_is_heard(
        self,
    ):
        # Before, a gateway that was back under its id counted as heard for attempts
        # of its earlier process, so that a run whose stop gets no reply outlasted the
        # time after which the caller submits the job again.
        region = self.simulation.region
        region.run_limit_s = RUN_LIMIT_S
        changed_at = self.simulation.now
        self._change_link(False)
        self.simulation.step(0.3)
        self._change_link(True)
        while "a1" in region.jobs:
            region.gateways_heard_at["far"] = self.simulation.now
            self.simulation.step(0.02)
        limits = {run.ends_by for run in region.runs["a1"]}
        self.assertEqual(limits, {changed_at + RUN_LIMIT_S})

    def test_jobs_of_other_gateways_continue(self):
        self._change_link(False)
        self.simulation.step(GRACE_S + 0.02)
        self.assertIn("b2", self.simulation.region.jobs)

    def test_a_gateway_that_reconnects_and_forwards_again_keeps_its_jobs(self):
        self._change_link(False)
        self.simulation.step(0.2)
        self._change_link(True)
        self.simulation.step(0.03)
        self._forward_again()
        self.simulation.step(2 * GRACE_S)
        self.assertEqual(self.simulation.take_stops(), [])
        self.assertIn("a1", self.simulation.region.jobs)

    def test_job_whose_cancellation_was_lost_with_the_link_is_stopped(self):
        # Before, a link that was made again cleared the loss, and the job ran on
        # for nobody, beside the caller's next attempt.
        self._change_link(False)
        self.simulation.step(0.2)
        self._change_link(True)
        self.simulation.step(GRACE_S)
        self.assertEqual(self._take_stopped(), A1_TASKS)

    def test_job_whose_cancellation_was_lost_with_a_replaced_link_is_stopped(
        self,
    ):
        # Before, a new link that replaced one without its end counted as nothing.
        self._change_link(True)
        self.simulation.step(GRACE_S + 0.02)
        self.assertEqual(self._take_stopped(), A1_TASKS)

    def test_gateway_that_reconnects_late_has_time_to_forward_again(self):
        self._change_link(False)
        self.simulation.step(GRACE_S - 0.01)
        self._change_link(True)
        self.simulation.step(CONFIRMATION_S - 0.02)
        self._forward_again()
        self.simulation.step(GRACE_S)
        self.assertEqual(self.simulation.take_stops(), [])

    def test_links_that_keep_changing_do_not_extend_the_grace_for_good(self):
        # Guards against a job that runs on for nobody, on a flapping link.
        until = self.simulation.now + GRACE_S + CONFIRMATION_S
        is_linked = False
        while self.simulation.now < until:
            self._change_link(is_linked)
            is_linked = not is_linked
            self.simulation.step(0.1)
        self.simulation.step(0.02)
        self.assertEqual(self._take_stopped(), A1_TASKS)

    def test_attempt_that_was_forwarded_again_is_unconfirmed_after_a_change(
        self,
    ):
        # Guards against a confirmation that counts for later changes.
        self._change_link(True)
        self._forward_again()
        self.simulation.step(0.3)
        self._change_link(False)
        self.simulation.step(GRACE_S + 0.02)
        self.assertNotIn("a1", self.simulation.region.jobs)

    def test_the_end_is_neither_sent_nor_kept(self):
        self._change_link(False)
        self.simulation.step(GRACE_S + 0.02)
        self.assertEqual(self.simulation.take_answers(), [])
        self.assertNotIn("a1", self.simulation.region.recent_ends)

    def test_job_goes_on_for_the_attempt_of_another_gateway(self):
        # Guards against a job that is stopped although a caller waits for it.
        self.simulation.submit("a1", gateway_id="near", budget_s=5.0)
        self._change_link(False)
        self.simulation.step(GRACE_S + 0.02)
        self.assertEqual(self.simulation.take_stops(), [])
        self.assertEqual(
            set(self.simulation.region.jobs["a1"].attempts),
            {simulations.get_attempt("near")},
        )
        self.assertEqual(self.simulation.region.confirmations_due, {})
