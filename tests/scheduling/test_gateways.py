"""Tests of jobs whose gateway lost its link to the owner."""

import unittest

from pollenladder.scheduling import maintenance
from tests.scheduling import simulations


class LostGatewayTest(unittest.TestCase):
    """Jobs of a lost gateway are cancelled within a lease.

    Behind a network partition, the gateway forwards them to another owner,
    which starts them again once the leases have expired. Tasks would then run
    twice. The cancellation is neither sent nor kept, because it would
    contradict the other owner's answer.
    """

    def setUp(self):
        self.simulation = simulations.RegionSimulation()
        self.simulation.submit("a1", gateway_id="far")
        self.simulation.submit("b2", gateway_id="near")
        self.starts = self.simulation.take_starts()
        for order in self.starts:
            self.simulation.confirm(order)

    def test_runs_of_a_lost_gateway_are_stopped_within_a_lease(self):
        maintenance.mark_gateway_lost(
            self.simulation.region, "far", self.simulation.now
        )
        self.simulation.step(maintenance.GATEWAY_GRACE_S + 0.02)
        stopped = {order.task for order in self.simulation.take_stops()}
        self.assertEqual(stopped, {"a1.0.0.0", "a1.0.0.1"})
        self.assertNotIn("a1", self.simulation.region.jobs)
        self.assertLess(maintenance.GATEWAY_GRACE_S + 0.1, simulations.LEASE_S)

    def test_jobs_of_other_gateways_continue(self):
        maintenance.mark_gateway_lost(
            self.simulation.region, "far", self.simulation.now
        )
        self.simulation.step(maintenance.GATEWAY_GRACE_S + 0.02)
        self.assertIn("b2", self.simulation.region.jobs)

    def test_a_gateway_that_reconnects_soon_keeps_its_jobs(self):
        maintenance.mark_gateway_lost(
            self.simulation.region, "far", self.simulation.now
        )
        self.simulation.step(0.2)
        maintenance.mark_gateway_connected(self.simulation.region, "far")
        self.simulation.step(maintenance.GATEWAY_GRACE_S)
        self.assertEqual(self.simulation.take_stops(), [])

    def test_the_cancellation_is_neither_sent_nor_kept(self):
        maintenance.mark_gateway_lost(
            self.simulation.region, "far", self.simulation.now
        )
        self.simulation.step(maintenance.GATEWAY_GRACE_S + 0.02)
        self.assertEqual(self.simulation.take_answers(), [])
        self.assertNotIn("a1", self.simulation.region.answered)
